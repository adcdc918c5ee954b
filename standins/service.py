"""A plain service: bookings that must run at most once, and look-ups.

``GET /executions`` tells how often each key was run: the oracle of the
checkers.  ``POST /faults`` sets ``ok``, ``lose_answers`` (run, then break
the connection), ``stall`` (run, answer much later), ``refuse`` (503 before
running) or ``crash`` (the process ends while it runs the next call).
"""

import collections
import os
import secrets

import anyio
from starlette import routing

from standins import base

STALL_SECONDS = 8.0


class Service:
    """Runs calls and counts them."""

    def __init__(self, name, delay_ms):
        """Start idle."""
        self.name = name
        self.delay = delay_ms / 1000
        self.mode = "ok"
        self.running = 0
        self.boot = secrets.token_hex(4)
        self.executions_by_key = collections.Counter()

    async def on_call(self, request):
        """Run a call under its key."""
        raw = await request.body()
        if self.mode == "refuse":
            return base.reply({"error": "refused"}, 503, {"Not-Run": "1"})
        if self.mode == "crash" or b"poison" in raw:
            os._exit(1)
        key = request.headers.get("idempotency-key", "none")
        self.running += 1
        self.executions_by_key[key] += 1
        base.record("execution", by=self.name, key=key)
        serial = self.executions_by_key.total()
        await anyio.sleep(self.delay)
        if self.mode in ("stall", "lose_answers"):
            await anyio.sleep(STALL_SECONDS)
        self.running -= 1
        return base.reply(
            {
                "by": self.name,
                "serial": serial,
                "path": request.url.path,
                "key": key,
            }
        )

    async def on_executions(self, _request):
        """Tell how often each key was run."""
        return base.reply(dict(self.executions_by_key))

    async def on_faults(self, request):
        """Set what goes wrong from now on."""
        self.mode = (await base.body_of(request))["mode"]
        return base.reply({"mode": self.mode})

    async def on_state(self, _request):
        """Report the load and state."""
        return base.reply(
            {
                "kind": "service",
                "running": self.running,
                "boot": self.boot,
            }
        )


async def main(options):
    """Serve the calls."""
    service = Service(options["--id"], int(options["--delay-ms"]))
    routes = [
        routing.Route("/executions", service.on_executions),
        routing.Route("/faults", service.on_faults, methods=["POST"]),
        routing.Route("/state", service.on_state),
        routing.Route(
            "/call/{rest:path}", service.on_call, methods=["POST", "GET"]
        ),
    ]
    await base.serve(routes, options["ADDRESS"])
