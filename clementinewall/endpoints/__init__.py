"""Clients for engines and services, and decoding of what they send."""
