"""Base class of the tests with gateways that reach no endpoint."""

import threading
import time

import httpx

from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_streams as streams

route = gateway_base.route

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


class PartitionCase(gateway_base.GatewayCase):
    """Gateways some of which are cut off from all endpoints.

    ``data_centres`` has a letter for each gateway, ``cut_numbers`` are those
    that are cut off, and ``called_numbers`` those that have callers.
    """

    has_egress = True
    data_centres = "aaaa"
    cut_numbers = (1, 2)
    called_numbers = (1, 2, 3, 4)

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
        self.data_centre_by_gateway = {
            f"gateway-{number}": data_centre
            for number, data_centre in enumerate(self.data_centres, 1)
        }
        self.cut_names = [f"gateway-{number}" for number in self.cut_numbers]
        self.fronts = self.gateways(len(self.data_centres), budget_slack=100)
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
            front = self.fronts[number - 1]
            is_served = self._is_served(front, path, attempt)
            self.outcomes.append((f"gateway-{number}", at, is_served))
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

    def start_callers(self, path):
        """Call the gateways until the test stops that."""
        return base.Background(
            self._send_requests,
            [
                (number, caller, path)
                for number in self.called_numbers
                for caller in range(CALLERS_PER_GATEWAY)
            ],
        )

    def set_links(self, mode, names=None):
        """Cut off gateways, by default those of the test, or end that."""
        for name in self.cut_names if names is None else names:
            self.cut(name, mode)

    def stop_callers(self, callers):
        """End the calls of :meth:`start_callers`."""
        self._stop.set()
        callers.join()
        self.assertEqual(callers.errors, [])

    def check_callers(self, path, mode):
        """Check that callers of the cut gateways are served as others are."""
        callers = self.start_callers(path)
        time.sleep(1)
        self.set_links(mode)
        judged_from = time.monotonic() + STABLE_SECONDS
        time.sleep(STABLE_SECONDS + JUDGED_SECONDS)
        self.stop_callers(callers)
        self.check_served(judged_from)

    def check_served(self, since, until=float("inf")):
        """Check that callers of the cut gateways were served as others."""
        judged = [row for row in self.outcomes if since <= row[1] < until]
        cut = [served for name, _, served in judged if name in self.cut_names]
        others = [
            served for name, _, served in judged if name not in self.cut_names
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
