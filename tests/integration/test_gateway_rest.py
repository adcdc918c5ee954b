"""Endpoints that turn requests away and ask for a span without any."""

import math
import time

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_streams

route = gateway_base.route
MODEL_HEADERS = test_gateway_streams.MODEL_HEADERS

REST_SECONDS = 3
CALLERS = 6
# Requests that began before the span end one after the other within it.
LONG_REQUESTS = 10
LONG_STEP_SECONDS = 0.25
# Requests that are under way when the answer arrives may still reach it.
UNDER_WAY_SECONDS = 0.5
MAX_ARRIVALS = 2


def serve(request, **headers):
    """Return a whole answer to a call, a prefill or a stream."""
    if request.header_by_name.get("stage") == "prefill":
        body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
        return scripted.answer(request, body, **headers)
    if "token-usage" not in request.header_by_name:
        return scripted.answer(request, b"done", **headers)
    parts = list(test_gateway_streams.whole_stream(request, (1, 2)))
    for name, value in headers.items():
        line = f"\r\n{name.replace('_', '-')}: {value}\r\n\r\n".encode()
        parts[0] = parts[0].replace(b"\r\n\r\n", line)
    return b"".join(parts)


class Resting:
    """The script of an endpoint that serves at first, then asks for rest."""

    def __init__(self):
        """Serve until ``asked_at`` is set."""
        self.arrivals = []
        self.asked_at = math.inf

    def __call__(self, _endpoint, request):
        """Answer a request, and record when it arrived."""
        now = time.monotonic()
        self.arrivals.append(now)
        if self.asked_at <= now < self.asked_at + REST_SECONDS:
            yield scripted.answer(
                request,
                b"",
                503,
                Not_Executed="1",
                Retry_After=str(REST_SECONDS),
            )
            return
        attempt = request.header_by_name.get("attempt-id", "")
        if attempt.startswith("long"):
            yield int(attempt[4:]) * LONG_STEP_SECONDS
        yield serve(request)

    def arrivals_in_span(self):
        """Return how many requests came although it had asked for rest."""
        start = self.asked_at + UNDER_WAY_SECONDS
        end = self.asked_at + REST_SECONDS
        return sum(start < at < end for at in self.arrivals)


class EndpointRest(gateway_base.GatewayCase):
    """One gateway, and endpoints of which some ask for rest."""

    def setUp(self):
        """Publish a route of calls and one of streams."""
        super().setUp()
        self.publish(
            route("look", "app", "safe"),
            route("chat", "model", "stream", resumable=True),
        )

    def ask_through_span(self, path, resting, **headers):
        """Send requests until the span is over; return answers within it."""
        front = self.gateway()
        long_requests = base.Background(
            lambda number: self.ask(front, path, f"long{number}", **headers),
            [(number,) for number in range(1, LONG_REQUESTS + 1)],
        )
        time.sleep(LONG_STEP_SECONDS)
        resting.asked_at = time.monotonic()
        asked = base.Background(
            self.ask_in_turn,
            [(front, path, resting, n, headers) for n in range(CALLERS)],
        )
        answers = [answer for _, rows in asked.join() for answer in rows]
        long_requests.join()
        self.assertEqual(asked.errors + long_requests.errors, [])
        self.assertLessEqual(resting.arrivals_in_span(), MAX_ARRIVALS)
        bringup.wait_until(
            lambda: (
                self.ask(front, path, **headers).status_code == 200
                and resting.arrivals[-1] > resting.asked_at + REST_SECONDS
            ),
            seconds=5,
            what="a request at the endpoint after its span",
        )
        return answers

    def ask_in_turn(self, front, path, resting, caller, headers):
        """Send the requests of one caller; return those answered in time."""
        answers = []
        end = resting.asked_at + REST_SECONDS
        while True:
            attempt = f"{caller}-{len(answers)}"
            answer = self.ask(front, path, attempt, **headers)
            if time.monotonic() > end:
                return answers
            answers.append(answer)
            time.sleep(0.02)

    def test_plain_endpoint_gets_nothing_in_the_span_that_it_asked_for(self):
        # Guards against requests that an overloaded endpoint turns away.
        resting = Resting()
        self.endpoint("one", resting)
        self.endpoint("two", lambda _, request: iter([serve(request)]))
        answers = self.ask_through_span("/look/x", resting)
        self.assertEqual({a.status_code for a in answers}, {200})

    def test_decode_engine_gets_nothing_in_the_span_that_it_asked_for(self):
        # Guards against prompts that are read in vain for a resting engine.
        resting = Resting()
        self.engine("one", resting)
        prefill_engine = self.engine(
            "two", lambda _, request: iter([serve(request)]), "prefill"
        )
        headers = dict(MODEL_HEADERS, Token_Usage="30000,2")
        answers = self.ask_through_span("/chat/x", resting, **headers)
        self.assertLess(len(prefill_engine.requests), len(answers))

    def test_prefill_engine_gets_nothing_in_the_span_that_it_asked_for(self):
        # Guards against prefills that an overloaded engine turns away.
        resting = Resting()
        self.engine("one", resting, "prefill")
        self.engine("two", lambda _, request: iter([serve(request)]))
        headers = dict(MODEL_HEADERS, Token_Usage="30000,2")
        self.ask_through_span("/chat/x", resting, **headers)

    def test_requests_are_refused_at_once_while_all_engines_rest(self):
        # Guards against sends that must fail, and callers that wait for them.
        resting = Resting()
        self.engine("one", resting)
        answers = self.ask_through_span("/chat/x", resting, **MODEL_HEADERS)
        for answer in answers:
            self.assertIn(answer.status_code, (429, 503))
            self.assertLess(answer.elapsed.total_seconds(), 0.3)
            self.assertLessEqual(float(answer.headers["retry-after"]), 3)
