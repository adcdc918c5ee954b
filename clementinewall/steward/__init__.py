"""The steward: applies the published configuration to the endpoints."""
