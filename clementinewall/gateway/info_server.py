"""What the platform and callers ask beside their requests.

Whether this gateway is ready, which gateways to connect to, and its metrics:
questions with short answers, each on a listener of its own.
"""

import random

from clementinewall.http1 import messages
from clementinewall.http1 import server
from clementinewall.http1 import stream as streams
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import addresses

_log = logs.PartLog("ports")

# How long callers keep the addresses that they were told.  Short, so that a
# gateway that died is not tried for long.
ADDRESSES_TTL_MS = 2_000


class InfoHandlers:
    """Answers the questions; ``is_ready`` tells whether callers may come."""

    def __init__(self, settings, peers, is_ready):
        """Answer from what the peers told."""
        self._settings = settings
        self._peers = peers
        self._is_ready = is_ready

    def handlers(self):
        """Return pairs of an address and what answers there."""
        settings = self._settings
        rows = [
            (settings.ready, self._on_ready),
            (settings.directory, self._on_directory),
        ]
        if settings.metrics_port is not None:
            where = f"{settings.ip}:{settings.metrics_port}"
            rows.append((where, _on_metrics))
        return rows

    def _on_ready(self, request):
        if request.target.split(b"?")[0] != addresses.READY_PATH:
            return _empty(404, b"Not Found")
        if self._is_ready():
            return _empty(200, b"OK")
        return _empty(503, b"Service Unavailable")

    def _on_directory(self, request):
        if request.target.split(b"?")[0] != addresses.PATH:
            return _empty(404, b"Not Found")
        near = addresses.asked_data_centre(request.target)
        rows = [
            (peer.data_centre != near, random.random(), peer.callers)
            for peer in self._peers.table.live()
            if peer.ready
        ]
        if self._is_ready():
            own = self._settings.data_centre != near
            rows.append((own, random.random(), self._settings.callers))
        if not rows:
            return _empty(503, b"Service Unavailable")
        body = addresses.answer(
            [row[2] for row in sorted(rows)], self._ttl_ms()
        )
        head = messages.Head(
            200, b"OK", ((b"Content-Type", b"application/json"),)
        )
        return head, body

    def _ttl_ms(self):
        return min(ADDRESSES_TTL_MS, self._settings.bounds.addresses_ttl_ms)


async def serve(address, handle, group):
    """Answer the questions that come to an address; return the listener."""

    async def serve_one(stream):
        connection = server.Connection(stream, server.Limits())
        try:
            await _answer_all(connection, handle)
        except (server.Refused, server.CallerGone) as exc:
            _log.debug("question not answered", why=str(exc))
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


def _on_metrics(_request):
    head = messages.Head(200, b"OK", ((b"Content-Type", b"text/plain"),))
    return head, metrics.render().encode()


def _empty(status, reason):
    return messages.Head(status, reason, ()), b""
