"""A TCP proxy that injects faults into what passes.

``POST CONTROL/faults`` sets ``ok``, ``refuse`` (no new connection, those
open are reset), ``blackhole`` (bytes stop both ways), ``to_target`` or
``to_client`` (bytes stop one way), ``cut`` (connections are reset after
``after`` further bytes to the client), ``slow`` (``delay_ms`` a piece).
"""

import contextlib

import anyio
from starlette import routing

from standins import base

PIECE = 65_536
POLL_SECONDS = 0.02


class Proxy:
    """The faults in force and the connections they act upon."""

    def __init__(self, target):
        """Forward to ``target`` as ``IP:port``."""
        host, _, port = target.rpartition(":")
        self.host = host
        self.port = int(port)
        self.mode = "ok"
        self.after = 0
        self.delay = 0.0

    async def on_faults(self, request):
        """Set what goes wrong from now on."""
        body = await base.body_of(request)
        self.mode = body["mode"]
        self.after = body.get("after", 0)
        self.delay = body.get("delay_ms", 0) / 1000
        return base.reply({"mode": self.mode})

    async def handle(self, client):
        """Carry one connection."""
        async with client:
            if self.mode == "refuse":
                return
            try:
                target = await anyio.connect_tcp(self.host, self.port)
            except OSError:
                return
            async with target, anyio.create_task_group() as group:
                scope = group.cancel_scope
                group.start_soon(self._pump, client, target, False, scope)
                await self._pump(target, client, True, scope)

    async def _pump(self, source, sink, to_client, scope):
        broken = (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        )
        with contextlib.suppress(*broken):
            while True:
                piece = await self._receive(source)
                if piece is None or await self._is_cut(piece, to_client):
                    break
                if piece:
                    await sink.send(piece)
        scope.cancel()

    async def _receive(self, source):
        """Return a piece, empty after a pause, ``None`` to break off."""
        if self.mode == "refuse":
            return None
        with anyio.move_on_after(POLL_SECONDS):
            return await source.receive(PIECE)
        return b""

    async def _is_cut(self, piece, to_client):
        stopped = ("blackhole", "to_client" if to_client else "to_target")
        while piece and self.mode in stopped:
            await anyio.sleep(POLL_SECONDS)
        if piece and self.mode == "slow":
            await anyio.sleep(self.delay)
        if self.mode == "cut" and to_client:
            self.after -= len(piece)
            return self.after < 0
        return self.mode == "refuse"


async def main(options):
    """Carry connections and serve the control address."""
    proxy = Proxy(options["TARGET"])
    host, _, port = options["ADDRESS"].rpartition(":")
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    routes = [routing.Route("/faults", proxy.on_faults, methods=["POST"])]
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, proxy.handle)
        await base.serve(routes, options["CONTROL"])
        group.cancel_scope.cancel()
