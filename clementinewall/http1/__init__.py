"""HTTP/1.1 for what must know which bytes were sent and read.

Whether a failed request may have run, whether an answer is whole and whose
answer it is are questions about bytes on a connection.  Frameworks and
pooled clients hide these, so the gateway works on ``h11`` over ``anyio``
streams: :mod:`server` towards callers, :mod:`client` towards endpoints and
the platform's store.
"""
