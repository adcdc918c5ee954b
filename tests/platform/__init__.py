"""Tests of ``clementinewall.platform``."""
