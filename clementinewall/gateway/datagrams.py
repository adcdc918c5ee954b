"""The datagram socket of a gateway.

asyncio's own protocol is used because it hands over each datagram without a
task that has to be woken, and sends without a pass through the event loop.
"""

import asyncio
import socket

from clementinewall import errors
from clementinewall import logs

_log = logs.PartLog("peers")


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends datagrams and hands over those that come."""

    def __init__(self, port, take):
        """Call ``take(raw, ip)`` for each datagram; peers listen on ``port``.

        ``take`` must not raise.
        """
        self._port = port
        self._take = take
        self._transport = None

    def connection_made(self, transport):
        """Begin."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Hand over a datagram."""
        self._take(data, addr[0])

    def error_received(self, exc):
        """Note that a datagram could not be sent; its peer may be gone."""
        _log.debug("not sent", why=repr(exc))

    def send(self, raw, ips):
        """Send the same bytes to each of ``ips``."""
        for ip in ips:
            self._transport.sendto(raw, (ip, self._port))

    def close(self):
        """Close the socket."""
        self._transport.close()


async def open_socket(ip, port, take):
    """Return :class:`Datagrams` on ``ip``.

    :raises SettingsError: naming the address, which can't be used.
    """
    loop = asyncio.get_running_loop()
    try:
        _, datagrams = await loop.create_datagram_endpoint(
            lambda: DatagramSocket(port, take),
            local_addr=(ip, port),
            family=socket.AF_INET,
        )
    except OSError as exc:
        raise errors.SettingsError(f"cannot listen on {ip}:{port}: {exc}")
    return datagrams
