"""Tests of the admission control under load."""
