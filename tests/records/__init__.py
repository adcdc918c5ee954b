"""Tests of ``clementinewall.records``."""
