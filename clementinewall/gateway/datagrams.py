"""The UDP socket of a gateway.

An asyncio protocol is used because it delivers each datagram without waking a
task, and sends without a pass through the event loop.
"""

import asyncio
import socket

from clementinewall import errors
from clementinewall import logs

_log = logs.PartLog("peers")


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends datagrams and passes received ones to a callback."""

    def __init__(self, port, take):
        """Call ``take(raw, ip)`` for each datagram; peers listen on ``port``.

        ``take`` must not raise.
        """
        self._port = port
        self._take = take
        self._transport = None
        # Whether the socket is of no more use.
        self.is_closed = False

    def connection_made(self, transport):
        """Store the transport."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Pass a datagram to the callback."""
        self._take(data, addr[0])

    def connection_lost(self, exc):
        """Record that nothing is sent or received any more."""
        self.is_closed = True

    def error_received(self, exc):
        """Log a datagram that was not sent; the peer may be unreachable."""
        _log.debug("not sent", why=repr(exc))

    def send(self, raw, ips):
        """Send the same bytes to each of ``ips``."""
        for ip in ips:
            self._transport.sendto(raw, (ip, self._port))

    def close(self):
        """Close the socket."""
        self._transport.close()


async def open_socket(ip, port, take):
    """Return a :class:`DatagramSocket` on ``ip``.

    :raises SettingsError: if the address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    try:
        _, datagrams = await loop.create_datagram_endpoint(
            lambda: DatagramSocket(port, take),
            local_addr=(ip, port),
            family=socket.AF_INET,
        )
    except OSError as exc:
        raise errors.SettingsError(
            f"cannot listen on {ip}:{port}: {exc}"
        ) from exc
    return datagrams
