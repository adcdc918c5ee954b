"""Tests of what is known of streams in the store."""
