"""Duties that one gateway at a time has for all, under a lease."""
