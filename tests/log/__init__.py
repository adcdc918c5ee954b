"""Tests of ``clementinewall.log``."""
