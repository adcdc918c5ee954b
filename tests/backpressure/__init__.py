"""Tests of the bounds of what is held for callers and at engines."""
