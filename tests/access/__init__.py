"""Tests of :mod:`clementinewall.access`."""
