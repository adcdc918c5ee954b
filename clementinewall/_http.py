"""Construction of the HTTP clients that all programs use.

All traffic goes to IP addresses inside the deployment, so clients use no
proxy and verify no certificate; loading the system's certificates for each
client would cost time and memory.
"""

import httpx

from clementinewall import clock

MAX_CONNECTIONS = 2_000
# What is read of an answer at most, as it is kept until it is complete.
MAX_ANSWER_BYTES = 8_000_000
# Extension of a request whose answer is passed on as it comes.
IS_STREAMED = "is_streamed"


class _BoundedStream(httpx.AsyncByteStream):
    """The body of an answer, which fails beyond a number of bytes."""

    def __init__(self, stream, max_bytes):
        self._stream = stream
        self._max_bytes = max_bytes

    async def __aiter__(self):
        size = 0
        async for part in self._stream:
            size += len(part)
            if size > self._max_bytes:
                raise httpx.ReadError(
                    f"the answer's body is over {self._max_bytes} bytes"
                )
            yield part

    async def aclose(self):
        await self._stream.aclose()


class _BoundedTransport(httpx.AsyncHTTPTransport):
    """Bounds the bodies of answers that are kept."""

    def __init__(self, max_answer_bytes, **options):
        super().__init__(**options)
        self._max_answer_bytes = max_answer_bytes

    async def handle_async_request(self, request):
        answer = await super().handle_async_request(request)
        # Only successes are passed on.
        is_kept = IS_STREAMED not in request.extensions
        if is_kept or answer.status_code != 200:
            answer.stream = _BoundedStream(
                answer.stream, self._max_answer_bytes
            )
        return answer


def client(
    timeout_ms,
    connect_ms=None,
    keeps_connections=True,
    max_answer_bytes=MAX_ANSWER_BYTES,
):
    """Return a client, whose requests raise ``httpx.HTTPError``.

    ``timeout_ms`` bounds each step of an exchange (``None``: no bound);
    ``connect_ms`` bounds connecting, ``timeout_ms`` by default.  Without
    keep-alive each call opens a connection: if the peer closes an idle
    connection just as a call is sent on it, the call fails and it is
    unknown whether it ran.  An answer longer than ``max_answer_bytes`` fails,
    unless its request has the extension :data:`IS_STREAMED`.
    """
    timeout = None if timeout_ms is None else clock.seconds(timeout_ms)
    connect = timeout if connect_ms is None else clock.seconds(connect_ms)
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS,
        max_keepalive_connections=MAX_CONNECTIONS if keeps_connections else 0,
    )
    return httpx.AsyncClient(
        timeout=httpx.Timeout(timeout, connect=connect),
        transport=_BoundedTransport(
            max_answer_bytes, limits=limits, verify=False, trust_env=False
        ),
        trust_env=False,
    )
