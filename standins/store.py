"""The platform's store as a gateway sees it: topics of keyed records.

``POST /standin/put?topic=T&key=K`` writes a value for the operator or an
endpoint, an empty body removes the key; ``POST /standin/mode`` sets ``ok``,
``busy`` (every call gets 503) or ``silent`` (calls get no answer), and the
pace of the store: ``delay_ms`` of each call, ``queued_per_second`` calls that
are worked off one after the other, whether or not anybody still waits, and
``limit_per_second``, beyond which calls get 429; 0 or nothing ends each.
With ``callers``, a list of IP addresses, the mode is that of the callers that
reach the store at these: it listens on the first few of the loopback network.
``POST /standin/forget?topic=T`` drops the history but not the newest records.
``POST /standin/page?size=N`` has each page of newest records name N at most.
A key may be of bytes that are no text; it is read back with replacements.
"""

import base64
import collections
import struct
import urllib.parse

import anyio
from starlette import requests
from starlette import responses
from starlette import routing

from standins import base

MAX_PAGE_SIZE = 500
LISTEN_IPS = tuple(f"127.0.0.{number}" for number in range(1, 4))
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class Topic:
    """One partition: all records, and the offset of each key's newest."""

    def __init__(self):
        """Begin empty."""
        self.records = []
        self.first = 0
        self.offset_by_key = {}
        self.changed = anyio.Event()

    def append(self, content):
        """Add one raw record."""
        size = content[0]
        key = content[1 : 1 + size]
        self.records.append(content)
        if len(content) > 1 + size:
            self.offset_by_key[key] = len(self.records) - 1
        else:
            self.offset_by_key.pop(key, None)
        self.changed.set()
        self.changed = anyio.Event()


class Pace:
    """How fast calls are answered."""

    def __init__(self, delay_ms=0, queued_per_second=0, limit_per_second=0):
        """Delay and limit nothing by default."""
        self._delay_seconds = delay_ms / 1_000
        self._queued_per_second = queued_per_second
        self._limit_per_second = limit_per_second
        self._free_at = 0.0
        self._taken_at = collections.deque()

    def is_exceeded(self):
        """Count a call; return whether it is beyond the limit."""
        now = anyio.current_time()
        taken = self._taken_at
        while taken and taken[0] <= now - 1:
            taken.popleft()
        if self._limit_per_second and len(taken) >= self._limit_per_second:
            return True
        taken.append(now)
        return False

    async def wait(self):
        """Wait until a call is answered."""
        end = anyio.current_time() + self._delay_seconds
        if self._queued_per_second:
            end = max(end, self._free_at) + 1 / self._queued_per_second
            self._free_at = end
        await anyio.sleep_until(end)


class Store:
    """All topics, and what goes wrong."""

    def __init__(self):
        """Begin empty and well."""
        self.topic_by_name = {}
        self.mode = "ok"
        self.mode_by_caller = {}
        self.pace = Pace()
        self.calls = 0
        self.page_size = MAX_PAGE_SIZE

    def topic(self, request):
        """Return the topic that a call names, made on first use."""
        name = request.query_params["topic"]
        return self.topic_by_name.setdefault(name, Topic())

    def guarded(self, handle):
        """Apply the mode before ``handle``."""

        async def guard(request: requests.Request):
            self.calls += 1
            if self.mode_for(request) == "busy":
                return responses.Response(status_code=503)
            if self.pace.is_exceeded():
                return responses.Response(status_code=429)
            if self.mode_for(request) == "silent":
                await anyio.sleep_forever()
            await self.pace.wait()
            answer = await handle(request)
            # A read that waits for a record must not pass a cut that was made
            # meanwhile.
            if _called_ip(request) in self.mode_by_caller:
                await anyio.sleep_forever()
            return answer

        return guard

    def mode_for(self, request):
        """Return the mode in which a call is answered."""
        return self.mode_by_caller.get(_called_ip(request), self.mode)

    async def on_newest(self, request):
        """Return the newest record of each key, one page."""
        topic = self.topic(request)
        after = _raw_parameter(request, "after")
        rows = sorted(
            row for row in topic.offset_by_key.items() if row[0] > after
        )
        items = [
            {
                "key": key.decode(errors="replace"),
                "value": base64.b64encode(
                    topic.records[offset][1 + len(key) :]
                ).decode(),
                "offset": offset,
            }
            for key, offset in rows[: self.page_size]
        ]
        return base.reply(
            {
                "items": items,
                "has_more": len(rows) > self.page_size,
                "end_offset": len(topic.records),
            }
        )

    async def on_read(self, request):
        """Return the records from an offset on, waiting for the first."""
        topic = self.topic(request)
        start = int(request.query_params["from"])
        wait_ms = int(request.query_params.get("wait_ms", 0))
        if start < topic.first:
            return base.reply({"first_offset": topic.first}, 410)
        if start >= len(topic.records) and wait_ms:
            with anyio.move_on_after(wait_ms / 1_000):
                await topic.changed.wait()
        found = topic.records[start:]
        raw = _OFFSETS.pack(len(topic.records), topic.first) + b"".join(
            _LENGTH.pack(len(record)) + record for record in found
        )
        return responses.Response(raw)

    async def on_append(self, request):
        """Add the records of a call."""
        topic = self.topic(request)
        raw = await request.body()
        start = len(topic.records)
        at = request.query_params.get("at")
        if at is not None and int(at) != start:
            return base.reply({"end_offset": start}, 412)
        while raw:
            (length,) = _LENGTH.unpack_from(raw)
            topic.append(raw[4 : 4 + length])
            raw = raw[4 + length :]
        return base.reply({"offset": start, "end_offset": len(topic.records)})

    async def on_put(self, request):
        """Write or remove a key for a test."""
        key = _raw_parameter(request, "key")
        content = bytes([len(key)]) + key + await request.body()
        self.topic(request).append(content)
        return base.reply({})

    async def on_mode(self, request):
        """Set what goes wrong; return how many calls came so far."""
        body = await base.body_of(request)
        mode = body.pop("mode")
        callers = body.pop("callers", None)
        if callers is None:
            self.mode = mode
            self.pace = Pace(**body)
        for caller in callers or ():
            self.mode_by_caller.pop(caller, None)
            if mode != "ok":
                self.mode_by_caller[caller] = mode
        return base.reply({"calls": self.calls})

    async def on_page(self, request):
        """Set how many newest records a page has at most."""
        self.page_size = int(request.query_params["size"])
        return base.reply({})

    async def on_forget(self, request):
        """Drop the history of a topic."""
        topic = self.topic(request)
        topic.first = len(topic.records)
        return base.reply({})


def _raw_parameter(request, name):
    """Return the bytes of a parameter, which need be no text."""
    query = urllib.parse.parse_qs(
        request.scope["query_string"].decode("ascii"),
        errors="surrogateescape",
    )
    return query.get(name, [""])[0].encode(errors="surrogateescape")


def _called_ip(request):
    """Return the IP address at which the caller reached the store.

    The source address tells no callers apart: the system gives each
    connection on the loopback network that of the first one.
    """
    return request.scope["server"][0]


async def main(options):
    """Serve the store."""
    store = Store()
    guarded = store.guarded
    routes = [
        routing.Route("/log-newest", guarded(store.on_newest)),
        routing.Route("/log-read", guarded(store.on_read)),
        routing.Route(
            "/log-append", guarded(store.on_append), methods=["POST"]
        ),
        routing.Route("/standin/put", store.on_put, methods=["POST"]),
        routing.Route("/standin/mode", store.on_mode, methods=["POST"]),
        routing.Route("/standin/forget", store.on_forget, methods=["POST"]),
        routing.Route("/standin/page", store.on_page, methods=["POST"]),
    ]
    host, _, port = options["ADDRESS"].rpartition(":")
    others = [f"{ip}:{port}" for ip in LISTEN_IPS if ip != host]
    await base.serve(routes, options["ADDRESS"], *others)
