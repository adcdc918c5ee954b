"""Tests of the orders of engines."""
