"""Tests of ``clementinewall.policy``."""
