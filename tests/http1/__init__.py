"""Tests of ``clementinewall.http1``."""
