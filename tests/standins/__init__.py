"""Tests of ``standins``."""
