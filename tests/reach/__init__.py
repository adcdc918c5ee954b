"""Tests of how ways to endpoints are found."""
