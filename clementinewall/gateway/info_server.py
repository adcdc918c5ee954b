"""HTTP listeners for readiness, the directory of gateways, and metrics.

The platform and callers ask whether this gateway is ready, which gateways to
connect to, and for its metrics.  Each of these has its own listener.
"""

import random

from clementinewall.http1 import messages
from clementinewall.http1 import server
from clementinewall.http1 import stream as streams
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import addresses

_log = logs.PartLog("ports")

# How long callers may cache the addresses of gateways.  Short, so that they
# soon stop trying a gateway that has crashed.
ADDRESSES_TTL_MS = 2_000


class InfoHandlers:
    """Handlers; ``is_ready`` returns whether the gateway takes callers."""

    def __init__(self, settings, peers, is_ready):
        """Answer from the state that peers announced."""
        self._settings = settings
        self._peers = peers
        self._is_ready = is_ready

    def handlers(self):
        """Return pairs of an address to listen on and its handler."""
        settings = self._settings
        rows = [
            (settings.ready, self._handle_ready),
            (settings.directory, self._handle_directory),
        ]
        if settings.metrics_port is not None:
            address = f"{settings.ip}:{settings.metrics_port}"
            rows.append((address, _handle_metrics))
        return rows

    def _handle_ready(self, request):
        if request.target.split(b"?")[0] != addresses.READY_PATH:
            return _empty_response(404, b"Not Found")
        if self._is_ready():
            return _empty_response(200, b"OK")
        return _empty_response(503, b"Service Unavailable")

    def _handle_directory(self, request):
        if request.target.split(b"?")[0] != addresses.PATH:
            return _empty_response(404, b"Not Found")
        requested = addresses.requested_data_centre(request.target)
        rows = [
            (peer.data_centre != requested, random.random(), peer.callers)
            for peer in self._peers.table.live()
            if peer.ready
        ]
        if self._is_ready():
            own = self._settings.data_centre != requested
            rows.append((own, random.random(), self._settings.callers))
        if not rows:
            return _empty_response(503, b"Service Unavailable")
        body = addresses.encode_answer(
            [row[2] for row in sorted(rows)], self._ttl_ms()
        )
        head = messages.Head(
            200, b"OK", ((b"Content-Type", b"application/json"),)
        )
        return head, body

    def _ttl_ms(self):
        return min(ADDRESSES_TTL_MS, self._settings.bounds.addresses_ttl_ms)


async def serve(address, handle, group):
    """Answer requests that arrive at an address; return the listener."""

    async def serve_one(stream):
        connection = server.Connection(stream, server.Limits)
        try:
            await _answer_all(connection, handle)
        except (server.Refused, server.CallerDisconnected) as exc:
            _log.debug("request not answered", why=str(exc))
        finally:
            connection.close()

    return await streams.listen(address, serve_one, group)


async def _answer_all(connection, handle):
    request = await connection.read_request()
    while request is not None:
        await connection.answer(*handle(request))
        if not connection.next_request():
            return
        request = await connection.read_request()


def _handle_metrics(_request):
    head = messages.Head(200, b"OK", ((b"Content-Type", b"text/plain"),))
    return head, metrics.render().encode()


def _empty_response(status, reason):
    return messages.Head(status, reason, ()), b""
