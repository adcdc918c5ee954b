"""Decisions as pure functions of observations and settings."""
