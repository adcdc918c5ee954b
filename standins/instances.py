"""The platform's list of instances, which lags behind the truth.

A driver writes the list with ``PUT /instances``; readers see it later.
"""

import time

from starlette import routing

from standins import base


class Listing:
    """The list with its lag."""

    def __init__(self, lag_ms):
        """Show each write ``lag_ms`` later."""
        self._lag = lag_ms / 1000
        self._writes = [(0.0, [])]

    async def on_put(self, request):
        """Replace the list."""
        rows = (await base.body_of(request))["instances"]
        self._writes.append((time.monotonic(), rows))
        return base.reply({})

    async def on_get(self, _request):
        """Return the newest list that is old enough."""
        limit = time.monotonic() - self._lag
        rows = [rows for at, rows in self._writes if at <= limit][-1]
        return base.reply({"instances": rows})


async def main(options):
    """Serve the list."""
    listing = Listing(int(options["--lag-ms"]))
    routes = [
        routing.Route("/instances", listing.on_put, methods=["PUT"]),
        routing.Route("/instances", listing.on_get, methods=["GET"]),
    ]
    await base.serve(routes, options["ADDRESS"])
