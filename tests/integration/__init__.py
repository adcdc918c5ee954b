"""Tests with real processes on the loopback interface."""
