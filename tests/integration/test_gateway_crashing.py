"""A request that crashes engines, beside many others that run there."""

import itertools
import threading
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_streams

route = gateway_base.route

HARMFUL = b"harmful"
GATEWAYS = 4
ENGINES = 5
CALLERS = 100
STREAM_EVENTS = 80
EVENT_SECONDS = 0.05
# How long an engine works on the harmful request before it crashes.
CRASH_SECONDS = 0.03
RESTART_SECONDS = 1.0
# After this time from its third crash on, a request may arrive at engines
# only so often.
KNOWN_SECONDS = 3.0
MAX_LATE_ARRIVALS = 3
# How long the first endpoint works on a request that turns out harmful.
EARLY_SECONDS = 1.0


class Engine:
    """An engine that a harmful request crashes with all that runs there."""

    restart_seconds = RESTART_SECONDS

    def __init__(self, case, number, serial=0):
        """Register under a new id; ``case`` keeps what happens here."""
        self._case = case
        self._number = number
        self._serial = serial
        self._crashed = threading.Event()
        self._name = f"engine-{number}-{serial}"
        self._endpoint = case.endpoint(
            self._name, self._script, "model", stage="decode", slot_count=128
        )

    def _script(self, _endpoint, request):
        if request.body == HARMFUL:
            self._case.arrivals.append(time.monotonic())
            yield scripted.stream_head(request)
            yield CRASH_SECONDS
            self._crash()
        else:
            yield scripted.stream_head(request)
            for number in range(1, STREAM_EVENTS):
                if self._crashed.is_set():
                    break
                yield scripted.chunk(scripted.event(number))
                yield EVENT_SECONDS
        yield scripted.RESET if self._crashed.is_set() else scripted.chunk(b"")

    def _crash(self):
        if not self._crashed.is_set():
            self._crashed.set()
            self._case.crashes.append(time.monotonic())
            self._endpoint.close()
            self._case.run_later(self.restart_seconds, self._restart)

    def _restart(self):
        self._case.put(gateway_base.ENDPOINTS_TOPIC, self._name, b"")
        type(self)(self._case, self._number, self._serial + 1)


class CrashingEngines(gateway_base.GatewayCase):
    """Gateways that tell each other of crashes of engines."""

    def start_engines(self, engine_class, count):
        """Publish a resumable route and start engines and gateways."""
        self.arrivals = []
        self.crashes = []
        self._stop = threading.Event()
        self.addCleanup(self._stop.set)
        self._timers = []
        self.publish(
            route("chat", "model", "stream", resumable=True, timeout_ms=9_000)
        )
        for number in range(count):
            engine_class(self, number)
        self.fronts = self.gateways(GATEWAYS, budget_slack=400)

    def run_later(self, seconds, action):
        """Call ``action`` later, unless the test ends before."""
        timer = threading.Timer(seconds, action)
        self._timers.append(timer)
        timer.start()

    def stop(self, callers):
        """Stop callers, and engines that would start again."""
        self._stop.set()
        callers.join()
        for timer in self._timers:
            timer.cancel()


class HarmfulRequests(CrashingEngines):
    """Callers of streams, of which one crashes engines."""

    def setUp(self):
        """Start engines and gateways."""
        super().setUp()
        self.start_engines(Engine, ENGINES)

    def send_streams(self, caller):
        """Send streams one after the other, each at the next gateway."""
        for number in itertools.count(caller):
            if self._stop.is_set():
                return
            front = self.fronts[number % GATEWAYS]
            name = f"{caller}-{number}"
            try:
                self.send(front, name, name.encode())
            except httpx.HTTPError:
                time.sleep(0.1)

    def send(self, front, attempt, body):
        """Send a stream's request and return the answer."""
        headers = test_gateway_streams.MODEL_HEADERS
        return self.ask(front, "/chat/x", attempt, content=body, **headers)

    def send_harmful(self, fronts):
        """Send the harmful request at some gateways in turn."""
        for front in fronts:
            try:
                self.send(front, f"harmful-{time.monotonic_ns()}", HARMFUL)
            except httpx.HTTPError:
                # The stream was cut by a crash.
                continue

    def test_a_crash_beside_many_streams_becomes_known_to_all(self):
        # Guards against crash records that those of other requests displace.
        callers = base.Background(
            self.send_streams, [(number,) for number in range(CALLERS)]
        )
        time.sleep(2)
        self.send_harmful(self.fronts[:2])
        time.sleep(KNOWN_SECONDS)
        self.send_harmful(self.fronts[2:])
        self.stop(callers)
        third = self.crashes[2] if len(self.crashes) > 2 else time.monotonic()
        late = [at for at in self.arrivals if at > third + KNOWN_SECONDS]
        self.assertLessEqual(len(late), MAX_LATE_ARRIVALS)


class LaterSends(gateway_base.GatewayCase):
    """A request that turns out to be harmful while it is being served."""

    def setUp(self):
        """Publish routes of calls and streams; start four endpoints each."""
        super().setUp()
        self.publish(
            route("look", "app", "safe", max_attempts=3),
            route("chat", "model", "stream", resumable=True, max_attempts=3),
        )
        self.attempts = []
        for number in range(4):
            self.endpoint(f"app-{number}", self._script)
            self.engine(f"engine-{number}", self._script)
        self.front = self.gateway(budget_slack=400)

    def _script(self, endpoint, request):
        attempt = request.header_by_name.get("attempt-id")
        if attempt is None:
            yield scripted.answer(request, b"", 404)
            return
        self.attempts.append(attempt)
        if attempt == "early":
            yield EARLY_SECONDS
        endpoint.close()
        yield scripted.RESET

    def check(self, path):
        """Check that the early request gets no endpoint after the others."""
        headers = test_gateway_streams.MODEL_HEADERS
        early = base.Background(
            lambda: self.ask(
                self.front, path, "early", content=HARMFUL, **headers
            ),
            [()],
        )
        bringup.wait_until(lambda: self.attempts, what="the early request")
        for attempt in ("second", "third"):
            self.ask(self.front, path, attempt, content=HARMFUL, **headers)
        [(_, answer)] = early.join()
        self.assertEqual(answer.status_code, 502)
        self.assertEqual(self.attempts, ["early", "second", "second"])

    def test_a_call_that_turns_out_harmful_is_not_sent_again(self):
        # Guards against further crashes by requests accepted before.
        self.check("/look/x")

    def test_a_stream_that_turns_out_harmful_is_not_sent_again(self):
        # Guards against further crashes by requests accepted before.
        self.check("/chat/x")


class AnsweredStreams(gateway_base.GatewayCase):
    """Equal streams of many callers, some cut by unrelated crashes."""

    def _script(self, endpoint, request):
        if "attempt-id" not in request.header_by_name:
            yield scripted.answer(request, b"", 404)
        elif request.header_by_name["attempt-id"] == "cut":
            endpoint.close()
            yield scripted.RESET
        else:
            yield from test_gateway_streams.whole_stream(request, (1, 2))

    def test_a_request_that_was_answered_is_not_refused(self):
        # Guards against refusing a frequent request to all of its callers.
        self.publish(route("chat", "model", "stream", resumable=True))
        for number in range(3):
            self.engine(f"engine-{number}", self._script)
        front = self.gateway(budget_slack=400)
        headers = test_gateway_streams.MODEL_HEADERS
        statuses = [
            self.ask(
                front, "/chat/x", attempt, content=b"popular", **headers
            ).status_code
            for attempt in ("first", "cut", "last")
        ]
        self.assertEqual(statuses, [200, 502, 200])
