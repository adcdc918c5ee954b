"""The gateway, which serves callers on the users' platform.

A gateway is one process on one instance.  It follows the configuration and
the list of endpoints in the platform's store, answers callers that ask which
gateways to use, and forwards each request to an endpoint and the response
back.  No gateway depends on another: the load that gateways announce to each
other only improves their placement of requests.
"""
