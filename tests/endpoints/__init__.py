"""Tests of ``clementinewall.endpoints``."""
