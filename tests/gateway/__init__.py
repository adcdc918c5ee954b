"""Tests of ``clementinewall.gateway``."""
