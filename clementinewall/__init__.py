"""A serving system for a fixed fleet of engines and services."""
