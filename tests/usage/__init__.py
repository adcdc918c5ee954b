"""Tests of the counts and reports of usage."""
