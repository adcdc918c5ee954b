"""Translation between the users' platform and this project, nothing else.

The platform's names of headers, fields, keys and calls stand here only.
Each message is decoded once, into the types of :mod:`clementinewall.domain`;
decisions, state and recovery are made elsewhere.
"""
