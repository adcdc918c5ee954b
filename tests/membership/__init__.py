"""Tests of ``clementinewall.membership``."""
