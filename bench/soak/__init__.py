"""A randomized soak of the gateways on one machine.

Real gateway processes stand between callers and scripted endpoints, with a
proxy on each way between processes.  Faults come from outside of them:
signals, proxies, the store's stand-in and the endpoints; a run may also
consist of planned work alone.  The promises are checked from what callers,
endpoints and the operator saw.
"""
