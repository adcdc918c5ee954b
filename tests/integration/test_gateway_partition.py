"""Gateways that reach no endpoint, while callers and peers reach them."""

import threading
import time

import httpx

from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_streams as streams

route = gateway_base.route

GATEWAYS = 4
CUT = ("gateway-1", "gateway-2")
ENGINES = 4
SERVICES = 3
CALLERS_PER_GATEWAY = 3
CALL_SECONDS = 0.03
REQUEST_GAP_SECONDS = 0.03
# From this time after the start of a cut on, the platform's rule holds.
STABLE_SECONDS = 3.0
JUDGED_SECONDS = 2.5
# Gateways that are cut off serve at least this fraction of the others' share,
# or fail in no more requests than these.
MIN_FRACTION = 2 / 3
FAILURES_SLACK = 10
FAILURES_RATIO = 1 / 50


class Partition(gateway_base.GatewayCase):
    """Four gateways, two of which are cut off from all endpoints."""

    has_egress = True

    def setUp(self):
        """Start endpoints and gateways that know each other."""
        super().setUp()
        self.outcomes = []
        # Whether services close each connection after one answer.
        self.is_closing = False
        self.event_seconds = CALL_SECONDS
        self.runs = []
        self.publish(
            route("look", "app", "safe"),
            route("book", "app", "unsafe"),
            route("chat", "model", "stream", resumable=True),
        )
        for number in range(SERVICES):
            self.endpoint(f"app-{number}", self._serve_call)
        for number in range(ENGINES):
            self.engine(f"engine-{number}", self._serve_stream)
        self.fronts = self.gateways(GATEWAYS, budget_slack=100)
        self._stop = threading.Event()
        self.addCleanup(self._stop.set)

    def _serve_call(self, _endpoint, request):
        self.runs.append(request.header_by_name.get("attempt-id"))
        yield CALL_SECONDS
        if self.is_closing:
            yield scripted.answer(request, Connection="close")
            yield scripted.CLOSE
        yield scripted.answer(request)

    def _serve_stream(self, _endpoint, request):
        if "attempt-id" not in request.header_by_name:
            yield scripted.answer(request, b"", 404)
            return
        last = int(request.header_by_name.get("last-event-id", 0))
        yield scripted.stream_head(request)
        for number in range(last + 1, 6):
            yield scripted.chunk(scripted.event(number))
            yield self.event_seconds
        yield scripted.chunk(b"")

    def _send_requests(self, number, caller, path):
        """Send requests to a gateway until the test stops them."""
        serial = 0
        while not self._stop.is_set():
            serial += 1
            attempt = f"{number}-{caller}-{serial}"
            at = time.monotonic()
            is_served = self._is_served(self.fronts[number], path, attempt)
            self.outcomes.append((f"gateway-{number + 1}", at, is_served))
            time.sleep(REQUEST_GAP_SECONDS)

    def _is_served(self, front, path, attempt):
        headers = streams.MODEL_HEADERS if path == "/chat/x" else {}
        try:
            # Requests with equal bodies would be taken for repeats of one.
            body = attempt.encode()
            answer = self.ask(front, path, attempt, content=body, **headers)
        except httpx.HTTPError:
            return False
        if answer.status_code != 200:
            return False
        is_stream = path == "/chat/x"
        return not is_stream or streams.positions(answer.content) == [
            1,
            2,
            3,
            4,
            5,
        ]

    def run_callers(self, path, mode):
        """Call all gateways while some are cut; return when the cut began."""
        callers = base.Background(
            self._send_requests,
            [
                (number, caller, path)
                for number in range(GATEWAYS)
                for caller in range(CALLERS_PER_GATEWAY)
            ],
        )
        time.sleep(1)
        for name in CUT:
            self.cut(name, mode)
        began = time.monotonic()
        time.sleep(STABLE_SECONDS + JUDGED_SECONDS)
        self._stop.set()
        callers.join()
        self.assertEqual(callers.errors, [])
        return began

    def check_callers(self, path, mode):
        """Check that callers of the cut gateways are served as others are."""
        judged_from = self.run_callers(path, mode) + STABLE_SECONDS
        judged = [row for row in self.outcomes if row[1] >= judged_from]
        cut = [is_served for name, _, is_served in judged if name in CUT]
        others = [
            is_served for name, _, is_served in judged if name not in CUT
        ]
        self.assertGreater(sum(others), 50)
        served = f"{sum(cut)} of {len(cut)}, {sum(others)} of {len(others)}"
        failures = len(cut) - sum(cut)
        share = sum(cut) / max(1, len(cut))
        other_share = sum(others) / len(others)
        is_kept = (
            share >= MIN_FRACTION * other_share
            or failures <= FAILURES_SLACK + FAILURES_RATIO * len(cut)
        )
        self.assertTrue(is_kept, served)

    def test_streams_of_gateways_whose_links_hang_are_served(self):
        # Guards against gateways that know no other way to the engines.
        self.check_callers("/chat/x", "hang")

    def test_streams_of_gateways_whose_links_are_reset_are_served(self):
        # Guards against gateways that know no other way to the engines.
        self.check_callers("/chat/x", "reset")

    def test_calls_of_gateways_whose_links_hang_are_served(self):
        # Guards against gateways that know no other way to the services.
        self.check_callers("/look/x", "hang")

    def test_calls_of_gateways_that_are_refused_new_links_are_served(self):
        # Guards against gateways that know no other way to the services.
        self.is_closing = True
        self.check_callers("/look/x", "refuse")

    def test_bookings_of_gateways_that_are_cut_off_run_once(self):
        # Guards against bookings that two gateways pass on.
        self.check_callers("/book/x", "reset")
        self.assertEqual(len(self.runs), len(set(self.runs)))

    def test_a_cut_of_all_gateways_makes_no_part_of_prompts_harmful(self):
        # Guards against refusing all prompts that share a part after a cut.
        self.event_seconds = 0.3
        callers = base.Background(
            self._send_requests,
            [
                (number, caller, "/chat/x")
                for number in range(GATEWAYS)
                for caller in range(CALLERS_PER_GATEWAY)
            ],
        )
        names = [f"gateway-{number + 1}" for number in range(GATEWAYS)]
        time.sleep(0.7)
        for mode in ("reset", "ok"):
            for name in names:
                self.cut(name, mode)
            time.sleep(1.5)
        self.event_seconds = CALL_SECONDS
        began = time.monotonic()
        time.sleep(JUDGED_SECONDS)
        self._stop.set()
        callers.join()
        judged = [served for _, at, served in self.outcomes if at >= began]
        self.assertGreater(sum(judged), 0.9 * len(judged))
