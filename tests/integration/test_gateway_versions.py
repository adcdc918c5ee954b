"""Streams beside engines of several software versions."""

import contextlib
import itertools
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base

route = gateway_base.route

VERSIONS = ("v1", "v1.1", "v1.2")
ENGINES_PER_VERSION = 2
GATEWAYS = 3
STREAMS = 36
CALLERS = 12
EVENTS = 12
FIRST_EVENTS = 4
EVENT_SECONDS = 0.02
RETURN_SECONDS = 0.15
# The shortest time after which a crashed engine is back.
RESTART_SECONDS = 1.5
# Streams that may hold events of two versions.
MAX_MIXED = 2
# Of the streams that are taken up again, this fraction goes on.
MIN_RESUMED = 0.8


class Stream:
    """What a caller received of one stream, over all of its tries."""

    def __init__(self, name):
        """Start without events; ``name`` is the id of the first attempt."""
        self.name = name
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


class Versions(gateway_base.GatewayCase):
    """Engines of several versions; callers that take streams up again."""

    def setUp(self):
        """Publish a resumable route."""
        super().setUp()
        self.is_breaking = False
        self.publish(
            route(
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
            yield scripted.answer(request, b'{"sequence":0,"born":1000}')
            return
        last = int(headers.get("last-event-id", 0))
        yield scripted.stream_head(request)
        for number in range(last + 1, EVENTS + 1):
            if self.is_breaking and not last and number > FIRST_EVENTS:
                yield scripted.RESET
            yield scripted.chunk(scripted.event(number, version))
            yield EVENT_SECONDS
        yield scripted.chunk(b"")

    def send(self, front, stream, attempt, max_events=EVENTS):
        """Send one attempt of a stream; leave after ``max_events``.

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
                    break
            stream.rows += parse_events(body)
            return answer.status_code
        stream.rows += parse_events(body)
        return None

    def take_up_all(self, fronts, streams):
        """Take all streams up again at ``fronts``."""

        def work(number, stream):
            front = fronts[number % len(fronts)]
            self.send(front, stream, f"{stream.name}-1")

        self.run_streams(work, streams)

    def run_streams(self, work, streams=None):
        """Run ``work(number, stream)`` for each of many streams."""
        if streams is None:
            streams = [Stream(f"first-{number}") for number in range(STREAMS)]

        def call(caller):
            for number in range(caller, STREAMS, CALLERS):
                work(number, streams[number])

        callers = base.Background(call, [(n,) for n in range(CALLERS)])
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

    def take_up(self, fronts, number, stream, again):
        """Take a stream up at other gateways, ``again`` times."""
        for serial in range(1, again + 1):
            time.sleep(RETURN_SECONDS)
            front = fronts[(number + serial) % len(fronts)]
            upto = EVENTS if serial == again else FIRST_EVENTS
            self.send(front, stream, f"{stream.name}-{serial}", upto)

    def check_broken_off(self):
        """Check streams that their first engines break off."""
        for version in VERSIONS:
            self.add_engines(version)
        front = self.gateway(budget_slack=400)
        self.is_breaking = True
        self.check(self.run_streams(lambda _, s: self.send(front, s, s.name)))

    def test_a_stream_that_breaks_goes_on_at_its_version(self):
        # Guards against answers that join events of two versions.
        self.check_broken_off()

    def test_a_stream_goes_on_at_its_version_with_separate_prefill(self):
        # Guards against a version that a prefill on another engine decides.
        self.add_prefill_engines()
        self.check_broken_off()

    def add_prefill_engines(self):
        """Start two engines that only prefill."""

        def script(_endpoint, request):
            body = b'{"cache_handle":"h","token_count":1,"version":1}'
            yield scripted.answer(request, body)

        for name in ("prefill-1", "prefill-2"):
            self.endpoint(name, script, "model", stage="prefill", version="v1")

    def check_returns(self, times):
        """Check streams that their callers take up elsewhere some times."""
        for version in VERSIONS:
            self.add_engines(version)
        fronts = self.gateways(GATEWAYS, budget_slack=400)

        def work(number, stream):
            front = fronts[number % GATEWAYS]
            self.send(front, stream, stream.name, FIRST_EVENTS)
            self.take_up(fronts, number, stream, times)

        self.check(self.run_streams(work))

    def test_a_caller_that_returns_elsewhere_gets_its_version(self):
        # Guards against gateways that don't know what others began.
        self.check_returns(1)

    def test_a_caller_that_returns_twice_gets_its_version(self):
        # Guards against a version that is kept for one return only.
        self.check_returns(2)

    def test_callers_of_a_killed_gateway_get_their_versions(self):
        # Guards against versions that only the gateway that began knows.
        for version in VERSIONS:
            self.add_engines(version)
        fronts = self.gateways(GATEWAYS, budget_slack=400)
        streams = self.run_streams(
            lambda _, s: self.send(fronts[0], s, s.name, FIRST_EVENTS)
        )
        self.dep.kill("gateway-1")
        self.take_up_all(fronts[1:], streams)
        self.check(streams)

    def test_streams_begun_at_the_only_version_stay_there(self):
        # Guards against versions that nobody told while there was only one.
        self.add_engines("v1")
        fronts = self.gateways(GATEWAYS, budget_slack=400)
        streams = self.run_streams(
            lambda _, s: self.send(fronts[0], s, s.name, FIRST_EVENTS)
        )
        for version in VERSIONS[1:]:
            self.add_engines(version)
        time.sleep(1.5)
        self.take_up_all(fronts[1:], streams)
        self.check(streams)

    def test_a_stream_whose_version_is_gone_is_refused_at_once(self):
        # Guards against events of another version, and against a long wait.
        engines = self.add_engines("v1")
        front = self.gateway(budget_slack=400)
        stream = Stream("first")
        self.send(front, stream, stream.name, FIRST_EVENTS)
        self.add_engines("v2")
        for name, engine in engines.items():
            self.put(gateway_base.ENDPOINTS_TOPIC, name, b"")
            engine.close()
        bringup.wait_until(
            lambda: self.send(front, Stream("new"), "new") == 200,
            what="a stream at the new version",
        )
        time.sleep(1)
        began = time.monotonic()
        status = self.send(front, stream, "second")
        self.assertEqual(status, 503)
        self.assertLess(time.monotonic() - began, 0.5)
        self.assertEqual(len(stream.rows), FIRST_EVENTS)

    def test_an_engine_restarted_at_another_version_is_recognized(self):
        # Guards against the version of an earlier process under the same id.
        self.add_engines("v1", 1)
        self.add_engines("v2", 1)
        [old] = self.add_engines("v1", 1).values()
        front = self.gateway(budget_slack=400)
        stream = Stream("first")
        self.send(front, stream, stream.name, FIRST_EVENTS)
        self.assertEqual(len(stream.rows), FIRST_EVENTS)
        # The gateway learns nothing more: the record stays that of v1.
        self.set_store_mode("silent")
        self.restart(old, "v2")
        self.check_streams_that_return(front)

    def test_the_first_engine_of_a_second_version_is_recognized(self):
        # Guards against the version of a record that the engine's next process
        # hasn't replaced yet, while nobody knows of another version.
        engines = self.add_engines("v1")
        fronts = self.gateways(GATEWAYS, budget_slack=400)
        for front in fronts:
            stream = Stream(f"early at {front}")
            self.send(front, stream, stream.name, FIRST_EVENTS)
            self.assertEqual(len(stream.rows), FIRST_EVENTS)
        old = list(engines.values())[-1]
        self.restart(old, "v2", RESTART_SECONDS)
        self.check_streams_that_return(*fronts)

    def restart(self, old, version, seconds=0.0):
        """Let another process of an engine listen at its address."""
        host, _, port = old.address.rpartition(":")
        old.close()
        time.sleep(seconds)

        def script(_endpoint, request):
            if "attempt-id" not in request.header_by_name:
                report = b'{"sequence":0,"born":2000}'
                yield scripted.answer(request, report)
            else:
                yield from self._serve(version, request)

        restarted = scripted.Endpoint(script, (host, int(port)))
        self.addCleanup(restarted.close)

    def check_streams_that_return(self, *fronts):
        """Check streams whose callers take them up at once."""

        def work(number, stream):
            front = fronts[number % len(fronts)]
            self.send(front, stream, stream.name, FIRST_EVENTS)
            self.send(front, stream, f"{stream.name}-1")

        self.check(self.run_streams(work))
