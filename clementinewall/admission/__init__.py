"""Which requests a gateway lately admitted and refused.

:mod:`clementinewall.policy.room` decides by it while the engines of a service
can't serve all requests in time.
"""
