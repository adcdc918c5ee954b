"""The program that answers callers on the users' platform.

A gateway is one process on one instance.  It follows the configuration and
the list of endpoints in the platform's store, tells callers which gateways
to use, and carries each request to an endpoint and the answer back.  No
gateway depends on another: what they tell one another about load only makes
their choices better.
"""
