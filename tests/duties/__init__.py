"""Tests of :mod:`clementinewall.duties`."""
