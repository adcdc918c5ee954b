"""Membership: the known instances and their states."""
