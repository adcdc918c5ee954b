"""Callers of gateways and versions of the configuration, drawn by a seed."""

import asyncio
import random
import time
import typing

from standins import scripted
from tests.integration import gateway_base

# A request may meet the close of its connection for this time, as long as it
# has reached no endpoint.
CROSSING_SECONDS = 0.2
# Versions published so long before a request may still be in force.
IN_FORCE_SECONDS = 2.5
# A limit counts as reached at this fraction of it.
REACHED_FRACTION = 0.97
ANSWER_SECONDS = 15
LAG_INTERVAL_SECONDS = 0.01
EVENT_SECONDS = 0.02
MAX_EVENTS = 60
LONGEST_CALL_SECONDS = 0.3
PLAIN_ROUTES = ("book", "look")
STREAM_ROUTES = ("chat", "once")
PLAIN_SERVICES = ("app", "app2")
MODEL_SERVICES = ("model", "model2")
MANY_ROUTES = 300
KINDS = ("call", "pair", "parts", "head-parts", "stream", "stream-pair")


class Request(typing.NamedTuple):
    """A request and what its caller saw; times are monotonic seconds.

    ``status`` is ``None`` if no answer began, ``is_complete`` tells whether
    the answer was whole.
    """

    attempt: str
    route: str
    gateway: str
    kind: str
    sent_at: float
    ended_at: float
    status: int | None
    is_complete: bool


class Version(typing.NamedTuple):
    """When a version was published, and the timeouts of its routes."""

    published_at: float
    timeout_ms_by_route: dict[str, int]


class Plan(typing.NamedTuple):
    """What varies between runs."""

    timeouts_ms: tuple[int, ...] = (6_000, 9_000)
    idle_timeouts_ms: tuple[int, ...] = (2_000, 5_000, 15_000)
    header_timeouts_ms: tuple[int, ...] = (1_000, 3_000)
    # Pauses of callers, as fractions of an idle timeout.
    pause_fractions: tuple[float, float] = (0.05, 0.8)


def serve_plain(_endpoint, request):
    """Answer a plain call after a delay that its attempt decides."""
    if request.method != "POST":
        yield scripted.answer(request, b"", 404)
        return
    attempt = request.header_by_name["attempt-id"]
    yield random.Random(attempt).uniform(0.001, LONGEST_CALL_SECONDS)
    yield scripted.answer(request, b"done")


def serve_model(_endpoint, request):
    """Stream as many events as the request allows."""
    if request.method != "POST" or request.target == "/order":
        yield scripted.answer(request, b"", 404)
        return
    usage = request.header_by_name.get("token-usage", "1,3")
    after = int(request.header_by_name.get("last-event-id", 0))
    yield scripted.stream_head(request)
    for number in range(after + 1, int(usage.split(",")[1]) + 1):
        yield scripted.chunk(scripted.event(number))
        yield EVENT_SECONDS
    yield scripted.chunk(b"")


def draw_configuration(rng, plan, number):
    """Return the routes, services and limits of version ``number``."""
    routes = [_draw_route(rng, plan, name) for name in PLAIN_ROUTES]
    routes += [_draw_route(rng, plan, name) for name in STREAM_ROUTES]
    # Now and then a route is missing in a version.
    routes = [row for row in routes if rng.random() < 0.95]
    extra = MANY_ROUTES if rng.random() < 0.2 else rng.randint(0, 5)
    routes += [
        gateway_base.route(f"extra-{number}-{n}", "app", "safe")
        for n in range(extra)
    ]
    services = [{"name": name} for name in PLAIN_SERVICES]
    services += [
        {"name": name, "engine": gateway_base.ENGINE}
        for name in MODEL_SERVICES
    ]
    services = [row for row in services if rng.random() < 0.97]
    limits = {
        "max_header_bytes": rng.choice((2_048, 8_192, 16_384)),
        "max_body_bytes": rng.choice((10_000, 100_000, 4_000_000)),
        "header_timeout_ms": rng.choice(plan.header_timeouts_ms),
        "idle_timeout_ms": rng.choice(plan.idle_timeouts_ms),
    }
    return {"routes": routes, "services": services, "limits": limits}


def _draw_route(rng, plan, name):
    is_stream = name in STREAM_ROUTES
    names = MODEL_SERVICES if is_stream else PLAIN_SERVICES
    kind = {"book": "unsafe", "look": "safe"}.get(name, "stream")
    more = {
        "timeout_ms": rng.choice(plan.timeouts_ms),
        "goal_ms": rng.choice((400, 1_000, 3_000)),
        "max_attempts": rng.randint(1, 3),
        "resumable": name == "chat",
    }
    if rng.random() < 0.3:
        more["traffic_split"] = [
            {"service": service, "weight": rng.random()} for service in names
        ]
    service = rng.choice(names)
    if rng.random() < 0.03:
        service = rng.choice(("unknown", "app", "model"))
    return gateway_base.route(name, service, kind, **more)


class Publisher:
    """Publishes versions, singly and in quick series."""

    def __init__(self, rng, plan, put):
        """Publish with ``put(configuration)``."""
        self._rng = rng
        self._plan = plan
        self._put = put
        self.versions = []

    def publish(self):
        """Publish one version."""
        number = len(self.versions) + 1
        found = draw_configuration(self._rng, self._plan, number)
        timeouts = {row["name"]: row["timeout_ms"] for row in found["routes"]}
        self.versions.append(Version(time.monotonic(), timeouts))
        self._put({"version": number, **found})

    def run(self, until):
        """Publish until the monotonic time ``until``."""
        while time.monotonic() < until:
            for _ in range(self._rng.choice((1, 1, 2, 12))):
                self.publish()
                time.sleep(self._rng.choice((0.02, 0.1)))
            time.sleep(self._rng.uniform(0.2, 1.5))


class _Connection(typing.NamedTuple):
    gateway: str
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class Caller:
    """One caller with a kept connection."""

    def __init__(self, name, rng, plan, address_by_gateway):
        """Call the gateways at the addresses."""
        self._name = name
        self._rng = rng
        self._plan = plan
        self._address_by_gateway = address_by_gateway
        self._count = 0
        self._connection = None
        self.requests = []

    async def run(self, until):
        """Send requests until the monotonic time ``until``."""
        while time.monotonic() < until:
            await self._pause()
            if self._connection is None and not await self._connect():
                continue
            await self._send(self._rng.choice(KINDS))
        self._close()

    async def _pause(self):
        if self._rng.random() < 0.7:
            await asyncio.sleep(self._rng.uniform(0, 0.1))
            return
        low, high = self._plan.pause_fractions
        idle_seconds = min(self._plan.idle_timeouts_ms) / 1_000
        await asyncio.sleep(idle_seconds * self._rng.uniform(low, high))

    async def _connect(self):
        gateway = self._rng.choice(sorted(self._address_by_gateway))
        host, _, port = self._address_by_gateway[gateway].rpartition(":")
        try:
            streams = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.1)
            return False
        self._connection = _Connection(gateway, *streams)
        return True

    def _close(self):
        if self._connection is not None:
            self._connection.writer.close()
            self._connection = None

    async def _send(self, kind):
        connection = self._connection
        if connection.reader.at_eof():
            self._close()
            return
        drawn = [self._draw(kind == "stream" or kind == "stream-pair")]
        if kind.endswith("pair"):
            drawn.append(self._draw(False))
        parts = self._parts(kind, b"".join(raw for _, _, raw in drawn))
        sent_at = time.monotonic()
        try:
            for index, part in enumerate(parts):
                if index:
                    await asyncio.sleep(self._rng.uniform(0.01, 0.4))
                connection.writer.write(part)
                await connection.writer.drain()
                sent_at = time.monotonic()
        except OSError:
            # The connection had ended before the last byte was sent.
            if index + 1 < len(parts):
                self._close()
                return
            sent_at = time.monotonic()
        for attempt, route, _ in drawn:
            status, is_complete, is_last = await _read_answer(connection)
            self.requests.append(
                Request(
                    attempt,
                    route,
                    connection.gateway,
                    kind,
                    sent_at,
                    time.monotonic(),
                    status,
                    is_complete,
                )
            )
            if not is_complete:
                is_last = True
        if is_last:
            self._close()

    def _parts(self, kind, raw):
        if kind == "parts":
            cut = len(raw) - 5
        elif kind == "head-parts":
            cut = self._rng.randint(1, 60)
        else:
            return [raw]
        return [raw[:cut], raw[cut:]]

    def _draw(self, is_stream):
        self._count += 1
        attempt = f"{self._name}-{self._count}"
        names = STREAM_ROUTES if is_stream else PLAIN_ROUTES
        route = self._rng.choice(names)
        body = b"x" * self._rng.choice((10, 1_000, 8_000))
        lines = [
            f"POST /{route}/x HTTP/1.1",
            f"Host: {gateway_base.HOST}",
            f"Attempt-Id: {attempt}",
            f"Content-Length: {len(body)}",
        ]
        if is_stream:
            events = self._rng.randint(1, MAX_EVENTS)
            lines += ["Model: m", f"Token-Usage: 100,{events}"]
        if self._rng.random() < 0.5:
            lines.append("Deadline-Ms: 6000")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        return attempt, route, head + body


async def _read_answer(connection):
    """Return status, whether the answer is complete, and is the last one."""
    status = None
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            raw = await connection.reader.readuntil(b"\r\n\r\n")
            status = int(raw.split(b" ", 2)[1])
            head = raw.lower()
            if b"transfer-encoding: chunked" in head:
                await _read_chunks(connection.reader)
            else:
                length = head.partition(b"content-length: ")[2]
                size = int(length.split(b"\r\n")[0])
                await connection.reader.readexactly(size)
    except (OSError, asyncio.IncompleteReadError, TimeoutError):
        return status, False, True
    return status, True, b"connection: close" in head


async def _read_chunks(reader):
    size = None
    while size != 0:
        size = int(await reader.readuntil(b"\r\n"), 16)
        await reader.readexactly(size + 2)


def find_losses(requests, versions, reached, lag):
    """Return the requests that got neither an answer nor a refusal.

    ``reached`` has the attempts that reached an endpoint; ``lag`` is how many
    seconds late the callers may have seen a close.
    """
    return [
        request
        for request in requests
        if not request.is_complete
        and not _is_crossing(request, reached, lag)
        and not _is_out_of_time(request, versions)
    ]


def _is_crossing(request, reached, lag):
    """Tell whether a request met the close of its connection."""
    waited = request.ended_at - request.sent_at
    return waited <= CROSSING_SECONDS + lag and request.attempt not in reached


def _is_out_of_time(request, versions):
    """Tell whether the timeout of the route was reached."""
    limits = [
        version.timeout_ms_by_route[request.route] / 1_000
        for version, later in zip(versions, [*versions[1:], None], strict=True)
        if request.route in version.timeout_ms_by_route
        and (
            later is None
            or later.published_at > request.sent_at - IN_FORCE_SECONDS
        )
        and version.published_at < request.ended_at
    ]
    waited = request.ended_at - request.sent_at
    return bool(limits) and waited >= REACHED_FRACTION * min(limits)


async def run_callers(callers, until):
    """Run all callers until the monotonic time ``until``.

    Return by how many seconds their event loop was late at most.
    """
    async with asyncio.TaskGroup() as group:
        lag = group.create_task(_measure_lag(until))
        for caller in callers:
            group.create_task(caller.run(until))
    return lag.result()


async def _measure_lag(until):
    lag = 0.0
    while time.monotonic() < until:
        due = time.monotonic() + LAG_INTERVAL_SECONDS
        await asyncio.sleep(LAG_INTERVAL_SECONDS)
        lag = max(lag, time.monotonic() - due)
    return lag
