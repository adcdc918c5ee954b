"""Clients of the engines and services."""
