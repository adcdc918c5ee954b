"""Connections to an endpoint through another gateway.

A gateway asks another one by ``CONNECT`` to connect to an endpoint.  Bytes to
the endpoint then follow as they are; those from it are sent in frames, each a
length of four bytes (big-endian) and so many bytes.  A frame without bytes is
the end of the endpoint's data.  A tunnel that ends without one was broken off:
an answer without a length must not be taken for complete then.
"""

import struct

import anyio
import h11

from clementinewall import clock
from clementinewall.http1 import stream as streams

LENGTH = struct.Struct("!I")
# The statuses by which a gateway says why it is not connected: the endpoint's
# address refuses connections, it cannot be reached from there, or the gateway
# opens no tunnel to it.
ENDPOINT_REFUSED = 502
ENDPOINT_UNREACHED = 504
NOT_RELAYED = 503
# A tunnel ends if the other gateway stays silent on the network for so long.
LOSS_TIMEOUT_MS = 3_000


class NotConnected(Exception):
    """The other gateway has no connection to the endpoint.

    ``status`` is one of those of this module.
    """

    def __init__(self, status):
        """Keep the status of the answer."""
        super().__init__(f"answered with {status}")
        self.status = status


class TunnelStream:
    """A tunnel, with the interface of :class:`streams.Stream`."""

    def __init__(self, stream, relay_ip):
        """Read frames from ``stream``, a connection to the relay."""
        self._stream = stream
        self._buffer = bytearray()
        self.relay_ip = relay_ip

    @property
    def is_idle(self):
        """Tell whether there is neither unread data nor an end."""
        return self._stream.is_idle and not self._buffer

    @property
    def raw_socket(self):
        """Return the socket, to set its options and poll it."""
        return self._stream.raw_socket

    async def send(self, data, limit_ms=None):
        """Write ``data``; as :meth:`streams.Stream.send`."""
        await self._stream.send(data, limit_ms)

    async def flush(self, limit_ms=None):
        """Wait for the writes; as :meth:`streams.Stream.flush`."""
        await self._stream.flush(limit_ms)

    def abort(self):
        """Close abruptly; the endpoint's connection is closed as well."""
        self._stream.abort()

    async def receive(self, limit_ms=None):
        """Return unread bytes, or ``b""`` at the end of the endpoint's data.

        :raises TimeoutError: nothing was received for ``limit_ms``.
        :raises anyio.BrokenResourceError: the tunnel was broken off.
        """
        while True:
            data = self._next_frame()
            if data is not None:
                return data
            received = await self._stream.receive(limit_ms)
            if not received:
                raise anyio.BrokenResourceError
            self._buffer += received

    async def confirm_end(self):
        """Do nothing: the relay confirms the end before it passes it on."""

    def _next_frame(self):
        """Return the bytes of the next frame, ``None`` if it is incomplete."""
        buffer = self._buffer
        if len(buffer) < LENGTH.size:
            return None
        (size,) = LENGTH.unpack_from(buffer)
        end = LENGTH.size + size
        if len(buffer) < end:
            return None
        data = bytes(buffer[LENGTH.size : end])
        del buffer[:end]
        return data


def frame(data):
    """Return ``data`` as a frame; without data it is the end."""
    return LENGTH.pack(len(data)) + data


async def open_tunnel(relay, endpoint, limit_ms):
    """Return a :class:`TunnelStream` through ``relay`` to ``endpoint``.

    Both are addresses, as ``IP:port``.

    :raises NotConnected: the relay has no connection to the endpoint.
    :raises OSError, TimeoutError: the relay does not answer, or the endpoint
        has an address that can't be sent.
    """
    with anyio.fail_after(clock.seconds(limit_ms)):
        stream = await streams.connect(relay, limit_ms)
        is_open = False
        try:
            status = await _request_tunnel(stream, endpoint)
            is_open = status == 200
        except (anyio.BrokenResourceError, h11.ProtocolError) as exc:
            raise ConnectionResetError(f"no tunnel: {exc!r}") from exc
        finally:
            if not is_open:
                stream.abort()
    if not is_open:
        raise NotConnected(status)
    # Fails if the connection was reset meanwhile.
    stream.detect_loss(LOSS_TIMEOUT_MS)
    return TunnelStream(stream, relay.rpartition(":")[0])


async def _request_tunnel(stream, endpoint):
    """Send the request for a tunnel and return the status of its answer."""
    parser = h11.Connection(h11.CLIENT)
    target = endpoint.encode()
    request = h11.Request(
        method=b"CONNECT", target=target, headers=[(b"Host", target)]
    )
    await stream.send(parser.send(request) + parser.send(h11.EndOfMessage()))
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive())
        elif isinstance(event, h11.Response):
            return event.status_code
        else:
            raise ConnectionResetError("no answer to the request for a tunnel")
