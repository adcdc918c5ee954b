"""Tests of ``clementinewall.operator``."""
