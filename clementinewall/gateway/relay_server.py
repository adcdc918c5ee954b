"""Carries connections of other gateways to endpoints that they don't reach."""

import socket

import anyio

from clementinewall.gateway import endpoint_path
from clementinewall.http1 import client
from clementinewall.http1 import messages
from clementinewall.http1 import server
from clementinewall.http1 import stream as streams
from clementinewall.http1 import tunnel
from clementinewall import logs
from clementinewall import metrics

_log = logs.PartLog("relay")

CONNECT_TIMEOUT_MS = 200
# Each tunnel takes two descriptors.
MAX_TUNNELS = 1_000


class RelayServer:
    """Opens tunnels to known endpoints, by direct connections only."""

    def __init__(self, endpoints):
        """Connect to the addresses of ``endpoints``."""
        self._endpoints = endpoints
        self._open_tunnels = 0
        self._is_draining = False

    def drain(self):
        """Open no further tunnel; those that are open stay so."""
        self._is_draining = True

    @property
    def is_busy(self):
        """Tell whether any tunnel is open."""
        return bool(self._open_tunnels)

    async def serve(self, stream):
        """Serve one connection of another gateway until it closes."""
        connection = server.Connection(stream, server.Limits)
        try:
            await self._serve_tunnel(connection)
        except (server.Refused, server.CallerDisconnected) as exc:
            _log.info("no tunnel opened", why=str(exc))
        finally:
            connection.close()

    async def _serve_tunnel(self, connection):
        request = await connection.read_request()
        if request is None:
            return
        address = request.target.decode("latin-1")
        status = self._refusal(request, address)
        if status is None:
            endpoint, status = await _connect(address)
        if status == tunnel.ENDPOINT_REFUSED and not await self._is_witness(
            address
        ):
            status = tunnel.ENDPOINT_UNREACHED
        if status is not None:
            metrics.count("tunnels_refused", status=status)
            _log.debug("tunnel refused", address=address, status=status)
            connection.close_after_answer()
            await connection.answer(messages.Head(status, b"", ()), b"")
            return
        self._open_tunnels += 1
        metrics.count("tunnels_carried")
        try:
            caller = await connection.accept_tunnel()
            caller.detect_loss(tunnel.LOSS_TIMEOUT_MS)
            await _carry(caller, endpoint)
        finally:
            self._open_tunnels -= 1
            endpoint.abort()

    async def _is_witness(self, address):
        """Tell whether a refusal here shows that an endpoint is down.

        Links that are cut may refuse connections to all endpoints.
        """
        state = self._endpoints.at_address(address)
        return state is None or await self._endpoints.connects_to_another(
            state
        )

    def _refusal(self, request, address):
        """Return the status to refuse a request with, ``None`` if it may."""
        if request.method != b"CONNECT":
            return 405
        if self._is_draining or self._open_tunnels >= MAX_TUNNELS:
            return tunnel.NOT_RELAYED
        # Anybody may connect to this port, and gets nowhere else.
        state = self._endpoints.at_address(address)
        if state is None:
            return tunnel.NOT_RELAYED
        if state.path.reach is not endpoint_path.Reach.DIRECT:
            return tunnel.ENDPOINT_UNREACHED
        return None


async def _connect(address):
    """Return a stream and ``None``, or ``None`` and the status to answer."""
    try:
        stream = await streams.connect(address, CONNECT_TIMEOUT_MS)
    except ConnectionRefusedError:
        return None, tunnel.ENDPOINT_REFUSED
    except (OSError, TimeoutError):
        return None, tunnel.ENDPOINT_UNREACHED
    stream.raw_socket.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, client.UNACKNOWLEDGED_MS
    )
    return stream, None


async def _carry(caller, endpoint):
    """Pass bytes both ways until either side ends."""
    async with anyio.create_task_group() as group:
        # The endpoint must learn at once that the caller is gone.
        caller.set_close_callback(group.cancel_scope.cancel)
        group.start_soon(_forward_requests, caller, endpoint)
        await _forward_answers(endpoint, caller)
        group.cancel_scope.cancel()
    caller.set_close_callback(None)


async def _forward_requests(caller, endpoint):
    try:
        while data := await caller.receive():
            await endpoint.send(data)
    except anyio.BrokenResourceError as exc:
        # The end of the endpoint's data, or of the caller, ends the tunnel.
        _log.debug("tunnel broken", why=repr(exc))


async def _forward_answers(endpoint, caller):
    try:
        while data := await endpoint.receive():
            await caller.send(tunnel.frame(data))
        await endpoint.confirm_end()
        await caller.send(tunnel.frame(b""))
    except anyio.BrokenResourceError as exc:
        _log.debug("tunnel broken", why=repr(exc))
        caller.abort()
