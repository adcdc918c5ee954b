"""Tests of the tools in bench."""
