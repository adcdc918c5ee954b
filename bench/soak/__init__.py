"""A randomized soak of the gateways on one machine.

Real gateway processes run between callers and scripted endpoints, with a
proxy on each connection path.  Faults are injected from outside the gateways:
by signals, proxies, the store's stand-in and the endpoints; a run may also
consist of planned work alone.  The service guarantees are checked against
what callers, endpoints and the operator recorded.
"""
