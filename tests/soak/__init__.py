"""Tests of the soak, and a short run of it."""
