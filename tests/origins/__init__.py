"""Tests of ``clementinewall.origins``."""
