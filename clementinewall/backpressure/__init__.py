"""Bounds of what callers and engines make the process or an engine hold."""
