"""Tests of ``clementinewall.entry``."""
