"""Base class of the tests beside engines of several software versions."""

import contextlib
import itertools
import time

import httpx

from standins import scripted
from tests.integration import base
from tests.integration import gateway_base

ENGINES_PER_VERSION = 2
EVENTS = 12
FIRST_EVENTS = 4
# Streams that may hold events of two versions.
MAX_MIXED = 2
# Of the streams that are taken up again, this fraction goes on.
MIN_RESUMED = 0.8
BORN = 1_000
RESTARTED_BORN = 2_000


class Stream:
    """What a caller received of one stream, over all of its tries."""

    def __init__(self, name, begun_at=None):
        """Start without events; ``name`` is the id of the first attempt.

        ``begun_at`` is the position of the gateway that the caller asks first.
        """
        self.name = name
        self.begun_at = begun_at
        self.rows = []

    @property
    def numbers(self):
        """Return the positions of the events."""
        return [number for number, _ in self.rows]

    @property
    def versions(self):
        """Return the software versions that made the events."""
        return {version for _, version in self.rows}

    @property
    def is_complete(self):
        """Return whether every event came, once and in order."""
        return self.numbers == list(range(1, EVENTS + 1))


def parse_events(body):
    """Return the position and the version of each complete event."""
    rows = []
    for event in body.split(b"\n\n")[:-1]:
        head, data = event.decode().split("\n")
        rows.append((int(head.removeprefix("id: ")), data.split()[1]))
    return rows


def report(born):
    """Return what an engine's process of this birth reports of itself."""
    return b'{"sequence":0,"born":%d}' % born


class VersionCase(gateway_base.GatewayCase):
    """Engines of several versions; callers that take streams up again."""

    stream_count = 36
    caller_count = 12
    event_seconds = 0.02

    def setUp(self):
        """Publish a resumable route."""
        super().setUp()
        self.is_breaking = False
        self.publish(
            gateway_base.route(
                "chat",
                "model",
                "stream",
                resumable=True,
                max_attempts=3,
                timeout_ms=9_000,
                goal_ms=2_000,
            )
        )
        # Idle engines are chosen by id, so later ones go first.
        self._serial = itertools.count(99, -1)

    def add_engines(self, version, count=ENGINES_PER_VERSION, **more):
        """Start engines of a version; return their endpoints by id."""

        def script(_endpoint, request):
            yield from self._serve(version, request)

        names = [f"engine-{next(self._serial)}" for _ in range(count)]
        return {
            name: self.endpoint(
                name,
                script,
                "model",
                **{"stage": "decode", "version": version, **more},
            )
            for name in names
        }

    def _serve(self, version, request):
        headers = request.header_by_name
        if "attempt-id" not in headers:
            yield scripted.answer(request, report(BORN))
            return
        last = int(headers.get("last-event-id", 0))
        yield scripted.stream_head(request)
        for number in range(last + 1, EVENTS + 1):
            if self.is_breaking and not last and number > FIRST_EVENTS:
                yield scripted.RESET
            yield scripted.chunk(scripted.event(number, version))
            yield self.event_seconds
        yield scripted.chunk(b"")

    def send(
        self, front, stream, attempt, max_events=EVENTS, stay_seconds=0.0
    ):
        """Send one attempt of a stream; leave after ``max_events``.

        The caller stays ``stay_seconds`` longer without reading.

        Return the status, ``None`` if there was no answer.
        """
        # Without parts of prompts, caches don't lead a caller back.
        headers = {"Model": "m", "Token_Usage": "100,20"}
        headers["Deadline_Ms"] = "5000"
        if stream.rows:
            headers["Last_Event_Id"] = str(stream.rows[-1][0])
            headers["Resumes"] = stream.name
        named = {key.replace("_", "-"): v for key, v in headers.items()}
        body = b""
        with (
            contextlib.suppress(httpx.HTTPError),
            httpx.stream(
                "POST",
                f"http://{front}/chat/x",
                headers={
                    "Host": gateway_base.HOST,
                    "Attempt-Id": attempt,
                    **named,
                },
                content=stream.name.encode(),
                timeout=10,
                trust_env=False,
                verify=False,
            ) as answer,
        ):
            if answer.status_code != 200:
                return answer.status_code
            for part in answer.iter_raw():
                body += part
                if len(parse_events(body)) >= max_events:
                    time.sleep(stay_seconds)
                    break
            stream.rows += parse_events(body)
            return answer.status_code
        stream.rows += parse_events(body)
        return None

    def run_streams(self, work, streams=None):
        """Run ``work(number, stream)`` for each of many streams."""
        if streams is None:
            streams = [
                Stream(f"first-{number}")
                for number in range(self.stream_count)
            ]

        def call(caller):
            for number in range(caller, len(streams), self.caller_count):
                work(number, streams[number])

        rows = [(number,) for number in range(self.caller_count)]
        callers = base.Background(call, rows)
        callers.join()
        self.assertEqual(callers.errors, [])
        return streams

    def check(self, streams):
        """Check that streams went on, each at one version."""
        mixed = [s for s in streams if len(s.versions) > 1]
        self.assertLessEqual(len(mixed), MAX_MIXED)
        complete = sum(s.is_complete for s in streams)
        self.assertGreaterEqual(complete, MIN_RESUMED * len(streams))
        for stream in streams:
            self.assertEqual(
                stream.numbers, list(range(1, len(stream.rows) + 1))
            )

    def restart(self, old, version, seconds=0.0):
        """Let another process of an engine listen at its address."""
        host, _, port = old.address.rpartition(":")
        old.close()
        time.sleep(seconds)

        def script(_endpoint, request):
            if "attempt-id" not in request.header_by_name:
                yield scripted.answer(request, report(RESTARTED_BORN))
            else:
                yield from self._serve(version, request)

        restarted = scripted.Endpoint(script, (host, int(port)))
        self.addCleanup(restarted.close)
