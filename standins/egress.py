"""The network between some gateways and their endpoints, which can be cut.

A gateway started by :mod:`standins.gateway` opens its connections to endpoints
through this process: it sends the target's address and a newline, and is told
whether the target accepts.  ``POST CONTROL/faults`` sets ``ok``, ``hang`` (no
byte passes, and nothing answers a new connection), ``reset`` (open connections
are reset, new ones refused) or ``refuse`` (only new ones are refused), for the
addresses in ``targets`` or for all.
"""

import contextlib
import socket
import struct

import anyio
from anyio import abc
from starlette import routing

from standins import base
from standins import egress_answers

PIECE = 65_536
_LINGER_NONE = struct.pack("ii", 1, 0)
_BROKEN = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class Egress:
    """The fault in force, and the connections that it acts upon."""

    def __init__(self):
        """Start without a fault."""
        self._mode = "ok"
        self._targets = None
        self._mode_changed = anyio.Event()

    async def on_faults(self, request):
        """Set what goes wrong from now on."""
        body = await base.body_of(request)
        self._mode = body["mode"]
        self._targets = body.get("targets")
        self._mode_changed.set()
        self._mode_changed = anyio.Event()
        return base.reply({"mode": self._mode})

    def _mode_of(self, target):
        if self._targets is None or target in self._targets:
            return self._mode
        return "ok"

    async def handle(self, client):
        """Carry one connection."""
        try:
            async with client:
                await self._connect(client)
        except* (*_BROKEN, OSError) as group:
            # An exception here would end the carrying of all others.
            print(f"connection broken: {group.exceptions!r}", flush=True)

    async def _connect(self, client):
        target = b""
        while not target.endswith(b"\n"):
            target += await client.receive(PIECE)
        target = target.decode().strip()
        await self._wait_while_hanging(target)
        if self._mode_of(target) in ("reset", "refuse"):
            await client.send(egress_answers.REFUSED)
            return
        host, _, port = target.rpartition(":")
        try:
            server = await anyio.connect_tcp(host, int(port))
        except OSError:
            await client.send(egress_answers.REFUSED)
            return
        async with server, anyio.create_task_group() as group:
            await client.send(egress_answers.ACCEPTED)
            scope = group.cancel_scope
            group.start_soon(self._pump, client, server, target, scope)
            group.start_soon(self._reset_when_cut, client, server, target)
            await self._pump(server, client, target, scope)
            scope.cancel()

    async def _reset_when_cut(self, client, server, target):
        while self._mode_of(target) != "reset":
            await self._mode_changed.wait()
        # A reset on one side is one on the other side too.
        _reset_on_close(client)
        _reset_on_close(server)
        raise anyio.BrokenResourceError

    async def _pump(self, source, sink, target, scope):
        try:
            while True:
                piece = await source.receive(PIECE)
                await self._wait_while_hanging(target)
                await sink.send(piece)
        except anyio.BrokenResourceError:
            _reset_on_close(source)
            _reset_on_close(sink)
        except (anyio.EndOfStream, anyio.ClosedResourceError):
            pass
        # The end passes no sooner than data would.
        await self._wait_while_hanging(target)
        scope.cancel()

    async def _wait_while_hanging(self, target):
        while self._mode_of(target) == "hang":
            await self._mode_changed.wait()


def _reset_on_close(stream):
    raw = stream.extra(abc.SocketAttribute.raw_socket)
    # The other direction may have closed it already.
    with contextlib.suppress(OSError):
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)


async def main(options):
    """Carry connections and serve the control address."""
    egress = Egress()
    host, _, port = options["ADDRESS"].rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    routes = [routing.Route("/faults", egress.on_faults, methods=["POST"])]
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, egress.handle)
        await base.serve(routes, options["CONTROL"])
        group.cancel_scope.cancel()
