"""Tests of ``clementinewall.steward``."""
