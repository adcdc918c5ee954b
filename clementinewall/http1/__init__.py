"""HTTP/1.1 with control over which bytes were sent and received.

Whether a failed request may have run, whether an answer is complete and to
which request it belongs depends on the bytes on its connection.  Frameworks
and pooling clients hide these, so the gateway uses ``h11`` over the
connections of :mod:`stream`: :mod:`server` serves callers, :mod:`client`
calls endpoints and the platform's store.
"""
