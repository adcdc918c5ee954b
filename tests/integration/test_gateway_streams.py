"""Streams of model engines through a gateway, and what breaks them."""

import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base

route = gateway_base.route

MODEL_HEADERS = {
    "Model": "m",
    "Token_Usage": "100,20",
    "Prompt_Prefix": "aa:40,bb:40,cc:20",
    "Deadline_Ms": "5000",
}


def whole_stream(request, numbers, end=True):
    """Yield a stream with these events."""
    yield scripted.stream_head(request)
    for number in numbers:
        yield scripted.chunk(scripted.event(number))
    if end:
        yield scripted.chunk(b"")


def go_on(_endpoint, request):
    """Stream what follows the event that the request names, up to five."""
    last = int(request.header_by_name.get("last-event-id", 0))
    yield from whole_stream(request, range(last + 1, 6))


def positions(body):
    """Return the numbers of the events in a body."""
    lines = body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


class Streams(gateway_base.GatewayCase):
    """One decode engine or two, with and without a prefill engine."""

    def setUp(self):
        """Publish a route that may be resumed and one that may not."""
        super().setUp()
        self.publish(
            route("chat", "model", "stream", resumable=True),
            route("once", "model", "stream", max_attempts=2),
        )

    def engine(self, name, script, stage="decode"):
        """Start an engine."""
        return self.endpoint(name, script, "model", stage=stage)

    def test_whole_stream(self):
        def script(_endpoint, request):
            yield from whole_stream(request, range(1, 6))

        engine = self.engine("one", script)
        front = self.gateway()
        answer = self.ask(front, "/chat/x", **MODEL_HEADERS)
        self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])
        seen = engine.requests[0].header_by_name
        self.assertEqual(seen["prompt-prefix"], "aa:40,bb:40,cc:20")

    def test_broken_stream_goes_on_elsewhere(self):
        # An engine crashes in the middle of an event.  The caller sees each
        # event once and in order, from two engines.
        def crash(_endpoint, request):
            yield from whole_stream(request, (1, 2), end=False)
            yield scripted.chunk(scripted.event(3)[:5])
            yield 0.05
            yield scripted.RESET

        self.check_resumed(crash, MODEL_HEADERS)

    def test_broken_stream_goes_on_although_its_target_has_passed(self):
        # The engine breaks off long after the first event was due.  Judged
        # like a new request, the rest would come too late and be refused,
        # and the caller be left with half an answer.
        def crash(_endpoint, request):
            yield from whole_stream(request, (1, 2), end=False)
            yield 0.6
            yield scripted.RESET

        self.check_resumed(crash, dict(MODEL_HEADERS, Token_Usage="8000,20"))

    def check_resumed(self, crash, headers):
        """Check that callers of a crashing engine get their whole answers."""
        crashing = self.engine("one", crash)
        front = self.gateway()
        second = self.engine("two", go_on)
        bringup.wait_until(
            lambda: self.both_seen(front, crashing, second), what="both"
        )
        before = len(crashing.requests)

        def asked_again():
            # An engine that broke off twice rests for some seconds, so it
            # may take a while until it gets a request again.
            answer = self.ask(front, "/chat/x", "again", **headers)
            self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])
            return len(crashing.requests) > before

        bringup.wait_until(asked_again, 30, "a request at the crashing one")

    def both_seen(self, front, first, second):
        """Ask until each of two engines got a request."""
        try:
            self.ask(front, "/chat/x", "warm", **MODEL_HEADERS)
        except httpx.HTTPError:
            return False
        return first.requests and second.requests

    def test_engines_that_are_gone_cost_no_attempt(self):
        # Engines crash, and their records stay in the store for some
        # seconds.  Nothing listens where they were.  The route allows one
        # engine a request; if that were used up by a connection that was
        # refused, callers would get failures while sound engines are idle.
        self.publish(route("single", "model", "stream", max_attempts=1))
        for name in ("a", "b", "c"):
            gone = f"127.0.0.1:{bringup.free_port()}"
            self.register(name, gone, "model", stage="decode")
        self.engine("z", go_on)
        front = self.gateway()
        for number in range(4):
            answer = self.ask(
                front, "/single/x", f"s{number}", **MODEL_HEADERS
            )
            self.assertEqual(answer.status_code, 200)
            self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])

    def test_stream_that_may_not_be_resumed_is_cut(self):
        # Started again, such a request would run twice.  The caller sees
        # that its answer is not whole.
        def crash(_endpoint, request):
            yield from whole_stream(request, (1, 2), end=False)
            yield 0.05
            yield scripted.RESET

        engines = [self.engine(name, crash) for name in ("one", "two")]
        front = self.gateway()
        with self.assertRaises(httpx.RemoteProtocolError):
            self.ask(front, "/once/x", **MODEL_HEADERS)
        self.assertEqual(sum(len(e.requests) for e in engines), 1)

    def test_missing_event_is_not_passed_over(self):
        def script(_endpoint, request):
            yield from whole_stream(request, (1, 2, 4))

        self.engine("one", script)
        front = self.gateway()
        with self.assertRaises(httpx.RemoteProtocolError):
            self.ask(front, "/once/x", **MODEL_HEADERS)

    def test_prompt_is_read_apart_and_fetched(self):
        def reader(_endpoint, request):
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        def decoder(_endpoint, request):
            yield from whole_stream(request, (1, 2))

        first = self.engine("one", reader, "prefill")
        second = self.engine("two", decoder)
        front = self.gateway()
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        answer = self.ask(front, "/chat/x", **usage)
        self.assertEqual(positions(answer.content), [1, 2])
        seen = first.requests[0].header_by_name
        self.assertEqual(seen["stage"], "prefill")
        seen = second.requests[0].header_by_name
        self.assertEqual(seen["kv-source"], f"{first.address}/h1")

    def test_handle_is_freed_when_nobody_takes_it(self):
        # The decode engine refuses; the memory of the prompt would stay
        # with the engine that read it, for nobody.
        def reader(_endpoint, request):
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        def full(_endpoint, request):
            yield scripted.answer(request, b"", 503, Not_Executed="1")

        first = self.engine("one", reader, "prefill")
        self.engine("two", full)
        front = self.gateway()
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        answer = self.ask(front, "/once/x", **usage)
        self.assertEqual(answer.status_code, 503)
        bringup.wait_until(
            lambda: any(r.method == "DELETE" for r in first.requests),
            what="the handle's end",
        )

    def test_engine_that_leaves_while_the_prompt_is_read_gets_nothing(self):
        # An engine begins to drain between the choice of it and the end of
        # the prompt's reading elsewhere.  New work would keep it from
        # leaving, or be cut off when it goes.
        def reader(_endpoint, request):
            yield 1.2
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        self.engine("one", reader, "prefill")
        leaving = self.engine("three", go_on)
        staying = self.engine("two", go_on)
        front = self.gateway()
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        asked = base.Background(
            lambda where: self.ask(where, "/chat/x", **usage), [(front,)]
        )
        time.sleep(0.3)
        self.register(
            "three", leaving.address, "model", stage="decode", state="draining"
        )
        ((_, answer),) = asked.join()
        self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])
        self.assertEqual(leaving.requests, [])
        self.assertEqual(len(staying.requests), 1)

    def test_slow_reading_is_waited_for_if_it_may_not_be_done_elsewhere(self):
        # Guards against giving up a prompt that no other engine may read.
        def reader(_endpoint, request):
            yield 1.6
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        self.engine("one", reader, "prefill")
        self.engine("two", go_on)
        front = self.gateway(budget_ratio=0, budget_slack=0)
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        answer = self.ask(front, "/chat/x", **usage)
        self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])

    def test_caller_that_leaves_ends_the_stream(self):
        def script(_endpoint, request):
            yield from whole_stream(request, (1,), end=False)
            yield 5

        engine = self.engine("one", script)
        front = self.gateway()
        with httpx.stream(
            "POST",
            f"http://{front}/chat/x",
            headers={
                "Host": gateway_base.HOST,
                "Attempt-Id": "a1",
                "Token-Usage": "10,10",
            },
            trust_env=False,
        ) as answer:
            next(answer.iter_raw())
        left = time.monotonic()
        bringup.wait_until(
            lambda: engine.closed_by_peer, seconds=2, what="the end"
        )
        self.assertLess(time.monotonic() - left, 0.5)


class RetryBudget(gateway_base.GatewayCase):
    """Further sends stay within the budget, prompts that are read too."""

    def test_reading_a_prompt_again_draws_on_the_budget(self):
        # Decode engines refuse, as they do right after they were replaced.
        # Each retry has the prompt read again, so it reaches two engines.
        # Counted as one, the retries of a bad minute went over what the
        # engines' operators allow, just when the engines had the least to
        # spare.
        def reader(_endpoint, request):
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        def full(_endpoint, request):
            yield scripted.answer(request, b"", 503, Not_Executed="1")

        self.publish(route("chat", "model", "stream", resumable=True))
        engines = [
            self.endpoint("one", reader, "model", stage="prefill"),
            self.endpoint("two", full, "model", stage="decode"),
            self.endpoint("three", full, "model", stage="decode"),
        ]
        slack = 3
        front = self.gateway(budget_slack=slack, budget_ratio=0.0)
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        count = 4
        for number in range(count):
            answer = self.ask(front, "/chat/x", f"c{number}", **usage)
            self.assertEqual(answer.status_code, 503)
        arrivals = sum(
            request.method == "POST"
            for engine in engines
            for request in engine.requests
        )
        self.assertLessEqual(arrivals - 2 * count, slack)
