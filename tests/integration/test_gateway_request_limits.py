"""Endpoints that name how many requests a second they take."""

import bisect
import itertools
import json
import threading
import time
import typing

import httpx

from bench.soak import bounds
from bench import windows
from standins import bringup
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_rest
from tests.integration import test_gateway_streams

route = gateway_base.route

GATEWAYS = 5
CALLERS = 30
REQUESTS_PER_SECOND = 4.0
MAX_ARRIVALS = (
    bounds.LIMIT_FACTOR * REQUESTS_PER_SECOND * bounds.LIMIT_WINDOW_SECONDS
    + bounds.LIMIT_SLACK
)
LIMITED_SECONDS = bounds.LIMIT_DELAY_SECONDS + 2 * bounds.LIMIT_WINDOW_SECONDS
# Shorter than the time between two requests of one gateway.
MAX_HELD_SECONDS = 0.25


class Answer(typing.NamedTuple):
    """What a caller got; ``status`` is ``None`` if it was no answer."""

    sent_at: float
    status: int | None
    retry_after: float = 0.0


class Limited:
    """The script of an endpoint that names a limit for a time."""

    def __init__(self):
        """Name none until ``is_limited`` is set."""
        self.arrivals = []
        self.named_at = None
        self.is_limited = False

    def __call__(self, _endpoint, request):
        """Serve a request and record when it arrived."""
        now = time.monotonic()
        self.arrivals.append(now)
        headers = {}
        if self.is_limited:
            headers["Server_Limit"] = str(REQUESTS_PER_SECOND)
            self.named_at = self.named_at or now
        yield test_gateway_rest.serve(request, **headers)

    def most_arrivals(self, end):
        """Return how many requests came in the worst window up to ``end``."""
        start = self.named_at + bounds.LIMIT_DELAY_SECONDS
        times = sorted(at for at in self.arrivals if start <= at < end)
        return windows.most_in_window(times, bounds.LIMIT_WINDOW_SECONDS)


class RequestLimits(gateway_base.GatewayCase):
    """Gateways that share the limit of an endpoint."""

    def setUp(self):
        """Publish a route of calls and one of streams."""
        super().setUp()
        self.publish(
            route("look", "app", "safe"),
            route("chat", "model", "stream", resumable=True),
        )
        self.stop = threading.Event()
        self.addCleanup(self.stop.set)
        self.answers = []

    def sound(self, _endpoint, request):
        """Serve any request."""
        yield test_gateway_rest.serve(request)

    def send(self, caller, path, headers):
        """Send requests one after the other, each at the next gateway."""
        for number in itertools.count(caller):
            if self.stop.is_set():
                return
            front = self.fronts[number % GATEWAYS]
            attempt = f"{caller}-{number}"
            at = time.monotonic()
            try:
                answer = self.ask(front, path, attempt, **headers)
            except httpx.HTTPError:
                self.answers.append(Answer(at, None))
            else:
                row = Answer(
                    at,
                    answer.status_code,
                    float(answer.headers.get("retry-after", 0)),
                )
                self.answers.append(row)
            time.sleep(0.05)

    def check(self, path, limited, **headers):
        """Send while a limit is named, and until it is not any more.

        Return the answers of the time in which the limit has to hold.
        """
        self.fronts = self.gateways(GATEWAYS, budget_slack=400)
        callers = base.Background(
            lambda number: self.send(number, path, headers),
            [(number,) for number in range(CALLERS)],
        )
        time.sleep(1)
        limited.is_limited = True
        bringup.wait_until(lambda: limited.named_at, what="an answer")
        end = limited.named_at + LIMITED_SECONDS
        time.sleep(end - time.monotonic())
        self.assertLessEqual(limited.most_arrivals(end), MAX_ARRIVALS)
        self.assertTrue(limited.most_arrivals(end))
        limited.is_limited = False
        bringup.wait_until(
            lambda: (
                len(limited.arrivals)
                > bisect.bisect_left(limited.arrivals, end) + 2 * MAX_ARRIVALS
            ),
            seconds=10,
            what="the end of the limit",
        )
        self.stop.set()
        callers.join()
        start = limited.named_at + bounds.LIMIT_DELAY_SECONDS
        return [row for row in self.answers if start < row.sent_at < end]

    def test_calls_of_all_gateways_keep_to_the_limit(self):
        # Guards against shares of a limit that add up to too much.
        limited = Limited()
        self.endpoint("one", limited)
        self.endpoint("two", self.sound)
        answers = self.check("/look/x", limited)
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_streams_of_all_gateways_keep_to_the_limit(self):
        # Guards against prompts that are read for an engine without room.
        limited = Limited()
        self.engine("one", limited)
        self.engine("two", self.sound)
        self.engine("three", self.sound, "prefill")
        headers = dict(
            test_gateway_streams.MODEL_HEADERS, Token_Usage="8000,2"
        )
        answers = self.check("/chat/x", limited, **headers)
        served = [answer for answer in answers if answer.status == 200]
        self.assertGreater(len(served), 0.9 * len(answers))

    def test_prefills_of_all_gateways_keep_to_the_limit(self):
        # Guards against a limit that holds for runs only.
        limited = Limited()
        self.engine("one", limited, "prefill")
        self.engine("two", self.sound, "prefill")
        self.engine("three", self.sound)
        headers = dict(
            test_gateway_streams.MODEL_HEADERS, Token_Usage="30000,2"
        )
        self.check("/chat/x", limited, **headers)

    def test_callers_are_refused_at_once_while_no_engine_has_room(self):
        # Guards against callers that wait for an engine without room.
        limited = Limited()
        self.engine("one", limited)
        headers = test_gateway_streams.MODEL_HEADERS
        answers = self.check("/chat/x", limited, **headers)
        refused = [a for a in answers if a.status in (429, 503)]
        served = [a for a in answers if a.status == 200]
        self.assertEqual(len(refused) + len(served), len(answers))
        self.assertGreater(len(served), REQUESTS_PER_SECOND)
        self.assertGreater(min(answer.retry_after for answer in refused), 0)
        held = self.held_seconds()
        self.assertGreaterEqual(len(held), len(refused))
        self.assertLess(max(held), MAX_HELD_SECONDS)

    def held_seconds(self):
        """Return how long gateways held the requests that they refused."""
        held = []
        for number in range(1, GATEWAYS + 1):
            accepted_at = {}
            for line in self.dep.log_of(f"gateway-{number}").splitlines():
                row = json.loads(line)
                if row["message"] == "gateway: accepted":
                    accepted_at[row["request"]] = row["time"]
                elif row["message"] == "gateway: failed":
                    self.assertIn(row["status"], (429, 503))
                    held.append(row["time"] - accepted_at[row["request"]])
        return held
