"""The platform's log service: streams of records with offsets.

``POST /faults`` with ``{"mode": ...}`` sets what goes wrong: ``ok``,
``down`` (503 to all), ``lose_answers`` (appends take effect, then the
connection breaks), ``slow``.  ``POST /trim`` drops old records.
"""

import collections

import anyio
from starlette import routing

from standins import base

SLOW_SECONDS = 1.5


class Stream:
    """Records kept, with the offset of the first."""

    def __init__(self, keep):
        """Keep at most ``keep`` records."""
        self.first = 0
        self.records = collections.deque()
        self.keep = keep
        self.changed = anyio.Event()

    def append(self, record):
        """Add a record and return its offset."""
        self.records.append(record)
        self.trim(self.keep)
        changed, self.changed = self.changed, anyio.Event()
        changed.set()
        return self.first + len(self.records) - 1

    def trim(self, keep):
        """Drop the oldest records."""
        while len(self.records) > keep:
            self.records.popleft()
            self.first += 1

    def read(self, start, limit):
        """Return the answer to a read."""
        skip = max(0, start - self.first)
        end = min(len(self.records), skip + limit)
        rows = [
            {"offset": self.first + i, "record": self.records[i]}
            for i in range(skip, end)
        ]
        # "next" says where to read on; it stands still at the end.
        return {
            "first": self.first,
            "next": self.first + end if rows else start,
            "records": rows,
        }


class Service:
    """The log service."""

    def __init__(self, keep, slow_ms):
        """Start with no streams."""
        self.mode = "ok"
        self.keep = keep
        self.slow = slow_ms / 1000
        self.appends = 0
        self.reads = 0
        self.by_name = {}

    def stream(self, name):
        """Return the stream, made when first named."""
        if name not in self.by_name:
            self.by_name[name] = Stream(self.keep)
        return self.by_name[name]

    async def on_append(self, request):
        """Append the body as one record."""
        if self.mode == "down":
            return base.reply({"error": "down"}, 503)
        record = await base.body_of(request)
        await anyio.sleep(SLOW_SECONDS if self.mode == "slow" else self.slow)
        offset = self.stream(request.path_params["name"]).append(record)
        self.appends += 1
        if self.mode == "lose_answers":
            await anyio.sleep(60)
        return base.reply({"offset": offset})

    async def on_read(self, request):
        """Read on from an offset, waiting a while for the next record."""
        if self.mode == "down":
            return base.reply({"error": "down"}, 503)
        self.reads += 1
        query = request.query_params
        start = int(query.get("from", 0))
        limit = int(query.get("limit", 1000))
        stream = self.stream(request.path_params["name"])
        wait = int(query.get("wait_ms", 0)) / 1000
        if start >= stream.first + len(stream.records) and wait:
            changed = stream.changed
            with anyio.move_on_after(wait):
                await changed.wait()
        return base.reply(stream.read(start, limit))

    async def on_faults(self, request):
        """Set what goes wrong from now on."""
        self.mode = (await base.body_of(request))["mode"]
        return base.reply({"mode": self.mode})

    async def on_trim(self, request):
        """Drop all but the newest records of every stream."""
        keep = (await base.body_of(request))["keep"]
        for stream in self.by_name.values():
            stream.trim(keep)
        return base.reply({})

    async def on_counts(self, _request):
        """Tell how much the service was used."""
        return base.reply({"appends": self.appends, "reads": self.reads})


async def main(options):
    """Serve the log."""
    service = Service(int(options["--keep"]), int(options["--slow-ms"]))
    path = "/streams/{name}/records"
    routes = [
        routing.Route(path, service.on_append, methods=["POST"]),
        routing.Route(path, service.on_read, methods=["GET"]),
        routing.Route("/faults", service.on_faults, methods=["POST"]),
        routing.Route("/trim", service.on_trim, methods=["POST"]),
        routing.Route("/counts", service.on_counts),
    ]
    await base.serve(routes, options["ADDRESS"])
