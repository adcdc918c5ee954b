"""Streams of model engines through a gateway, with engine failures."""

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
    """Yield a stream of the events ``numbers``, with its end if ``end``."""
    yield scripted.stream_head(request)
    for number in numbers:
        yield scripted.chunk(scripted.event(number))
    if end:
        yield scripted.chunk(b"")


def resume_stream(_endpoint, request):
    """Stream the events after the request's Last-Event-ID, up to five."""
    last = int(request.header_by_name.get("last-event-id", 0))
    yield from whole_stream(request, range(last + 1, 6))


def positions(body):
    """Return the numbers of the events in a body."""
    lines = body.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


class Streams(gateway_base.GatewayCase):
    """One decode engine or two, with and without a prefill engine."""

    def setUp(self):
        """Publish a resumable route and one that is not resumable."""
        super().setUp()
        self.publish(
            route("chat", "model", "stream", resumable=True),
            route("once", "model", "stream", max_attempts=2),
        )

    def test_whole_stream(self):
        def script(_endpoint, request):
            yield from whole_stream(request, range(1, 6))

        engine = self.engine("one", script)
        front = self.gateway()
        answer = self.ask(front, "/chat/x", **MODEL_HEADERS)
        self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])
        seen = engine.requests[0].header_by_name
        self.assertEqual(seen["prompt-prefix"], "aa:40,bb:40,cc:20")

    def test_broken_stream_is_resumed_by_another_engine(self):
        # Guards against lost, repeated or partial events when an engine
        # crashes in the middle of an event and another one resumes.
        def crash(_endpoint, request):
            yield from whole_stream(request, (1, 2), end=False)
            yield scripted.chunk(scripted.event(3)[:5])
            yield 0.05
            yield scripted.RESET

        self.check_resumed(crash, MODEL_HEADERS)

    def test_broken_stream_is_resumed_after_its_target_has_passed(self):
        # Guards against refusing the rest of a stream that breaks after the
        # target for its first event has passed.  A new request would be
        # refused as late; here the caller would get a truncated answer.
        def crash(_endpoint, request):
            yield from whole_stream(request, (1, 2), end=False)
            yield 0.6
            yield scripted.RESET

        self.check_resumed(crash, dict(MODEL_HEADERS, Token_Usage="8000,20"))

    def check_resumed(self, crash, headers):
        """Check that callers of a crashing engine get complete answers."""
        crashing = self.engine("one", crash)
        front = self.gateway()
        second = self.engine("two", resume_stream)
        bringup.wait_until(
            lambda: self.both_seen(front, crashing, second), what="both"
        )
        before = len(crashing.requests)

        def asked_again():
            # An engine that broke off twice gets no requests for some
            # seconds, so this may take several tries.
            answer = self.ask(front, "/chat/x", "again", **headers)
            self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])
            return len(crashing.requests) > before

        bringup.wait_until(asked_again, 30, "a request at the crashing one")

    def both_seen(self, front, first, second):
        """Send a request; tell whether each of two engines got one so far."""
        try:
            self.ask(front, "/chat/x", "warm", **MODEL_HEADERS)
        except httpx.HTTPError:
            return False
        return first.requests and second.requests

    def test_refused_connections_cost_no_attempt(self):
        # Guards against failures while healthy engines are idle.  Records of
        # crashed engines stay in the store for some seconds.  On a route with
        # one attempt, a refused connection must not use it up.
        self.publish(route("single", "model", "stream", max_attempts=1))
        for name in ("a", "b", "c"):
            unused = f"127.0.0.1:{bringup.free_port()}"
            self.register(name, unused, "model", stage="decode")
        self.engine("z", resume_stream)
        front = self.gateway()
        for number in range(4):
            answer = self.ask(
                front, "/single/x", f"s{number}", **MODEL_HEADERS
            )
            self.assertEqual(answer.status_code, 200)
            self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])

    def test_stream_that_may_not_be_resumed_is_cut(self):
        # Guards against running such a request twice when its engine crashes.
        # The caller sees that its answer is truncated.
        def crash(_endpoint, request):
            yield from whole_stream(request, (1, 2), end=False)
            yield 0.05
            yield scripted.RESET

        engines = [self.engine(name, crash) for name in ("one", "two")]
        front = self.gateway()
        with self.assertRaises(httpx.RemoteProtocolError):
            self.ask(front, "/once/x", **MODEL_HEADERS)
        self.assertEqual(sum(len(e.requests) for e in engines), 1)

    def test_missing_event_fails_the_stream(self):
        def script(_endpoint, request):
            yield from whole_stream(request, (1, 2, 4))

        self.engine("one", script)
        front = self.gateway()
        with self.assertRaises(httpx.RemoteProtocolError):
            self.ask(front, "/once/x", **MODEL_HEADERS)

    def test_prefill_on_its_own_engine_is_fetched_for_decode(self):
        def prefill_script(_endpoint, request):
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        def decode_script(_endpoint, request):
            yield from whole_stream(request, (1, 2))

        first = self.engine("one", prefill_script, "prefill")
        second = self.engine("two", decode_script)
        front = self.gateway()
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        answer = self.ask(front, "/chat/x", **usage)
        self.assertEqual(positions(answer.content), [1, 2])
        seen = first.requests[0].header_by_name
        self.assertEqual(seen["stage"], "prefill")
        seen = second.requests[0].header_by_name
        self.assertEqual(seen["kv-source"], f"{first.address}/h1")

    def test_prefill_handle_is_freed_if_decode_is_refused(self):
        # Guards against leaked memory on a prefill engine when the decode
        # engine refuses the request and so never fetches the prompt.
        def prefill_script(_endpoint, request):
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        def full(_endpoint, request):
            yield scripted.answer(request, b"", 503, Not_Executed="1")

        first = self.engine("one", prefill_script, "prefill")
        self.engine("two", full)
        front = self.gateway()
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        answer = self.ask(front, "/once/x", **usage)
        self.assertEqual(answer.status_code, 503)
        bringup.wait_until(
            lambda: any(r.method == "DELETE" for r in first.requests),
            what="the release of the handle",
        )

    def test_engine_that_drains_during_the_prefill_gets_no_request(self):
        # Guards against new work on a decode engine that starts draining
        # after it was chosen, while the prefill runs on another engine.  The
        # work would delay its stop or be cut off by it.
        def prefill_script(_endpoint, request):
            yield 1.2
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        self.engine("one", prefill_script, "prefill")
        draining = self.engine("three", resume_stream)
        staying = self.engine("two", resume_stream)
        front = self.gateway()
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        asked = base.Background(
            lambda where: self.ask(where, "/chat/x", **usage), [(front,)]
        )
        time.sleep(0.3)
        self.register(
            "three",
            draining.address,
            "model",
            stage="decode",
            state="draining",
        )
        ((_, answer),) = asked.join()
        self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])
        self.assertEqual(draining.requests, [])
        self.assertEqual(len(staying.requests), 1)

    def test_slow_prefill_has_no_timeout_without_retry_budget(self):
        # Guards against giving up a slow prefill that the retry budget does
        # not allow to repeat on another engine.
        def prefill_script(_endpoint, request):
            yield 1.6
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        self.engine("one", prefill_script, "prefill")
        self.engine("two", resume_stream)
        front = self.gateway(budget_ratio=0, budget_slack=0)
        usage = dict(MODEL_HEADERS, Token_Usage="30000,20")
        answer = self.ask(front, "/chat/x", **usage)
        self.assertEqual(positions(answer.content), [1, 2, 3, 4, 5])

    def test_disconnected_caller_cancels_the_stream(self):
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
        disconnected_at = time.monotonic()
        bringup.wait_until(
            lambda: engine.closed_by_peer,
            seconds=2,
            what="the end of the stream",
        )
        self.assertLess(time.monotonic() - disconnected_at, 0.5)


class RetryBudget(gateway_base.GatewayCase):
    """Further sends, prefills included, stay within the budget."""

    def test_repeated_prefill_draws_on_the_budget(self):
        # Guards against retries over the deployment's bound.  Decode engines
        # refuse, as they do right after they were replaced.  Each retry
        # repeats the prefill, so it reaches two engines; counted as one send,
        # retries exceeded the bound while the engines were overloaded.
        def prefill_script(_endpoint, request):
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        def full(_endpoint, request):
            yield scripted.answer(request, b"", 503, Not_Executed="1")

        self.publish(route("chat", "model", "stream", resumable=True))
        engines = [
            self.endpoint("one", prefill_script, "model", stage="prefill"),
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
