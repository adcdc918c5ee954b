"""Streams of engines that fall silent and go on, or never do."""

import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_streams as streams

route = gateway_base.route


class Silence(gateway_base.GatewayCase):
    """Engines that send nothing for a while."""

    def setUp(self):
        """Publish a resumable route."""
        super().setUp()
        self.publish(route("chat", "model", "stream", resumable=True))

    def test_stream_of_an_engine_that_was_silent_for_a_second_is_complete(
        self,
    ):
        # Guards against a cut answer: engines may pause and then go on.
        arrivals = []

        def script(_endpoint, request):
            arrivals.append(request)
            if len(arrivals) > 1:
                yield scripted.answer(request, b"", 503, Not_Executed="1")
                return
            yield from streams.whole_stream(request, (1, 2), end=False)
            yield 1.3
            for number in (3, 4, 5):
                yield scripted.chunk(scripted.event(number))
            yield scripted.chunk(b"")

        for name in ("one", "two"):
            self.engine(name, script)
        front = self.gateway()
        answer = self.ask(front, "/chat/x", **streams.MODEL_HEADERS)
        self.assertEqual(streams.positions(answer.content), [1, 2, 3, 4, 5])

    def test_silent_engine_is_waited_for_if_the_other_starts_draining(self):
        # Guards against a cut answer when the engine that could have taken
        # over is gone by the time that the silence is noticed.
        def script(_endpoint, request):
            yield from streams.whole_stream(request, (1, 2), end=False)
            yield 2.4
            for number in (3, 4, 5):
                yield scripted.chunk(scripted.event(number))
            yield scripted.chunk(b"")

        engine_by_name = {
            name: self.engine(name, script) for name in ("one", "two")
        }
        front = self.gateway()
        asked = base.Background(
            lambda where: self.ask(where, "/chat/x", **streams.MODEL_HEADERS),
            [(front,)],
        )
        bringup.wait_until(
            lambda: any(e.requests for e in engine_by_name.values()),
            what="the request",
        )
        for name, engine in engine_by_name.items():
            if not engine.requests:
                self.register(
                    name,
                    engine.address,
                    "model",
                    stage="decode",
                    state="draining",
                )
        results = asked.join()
        self.assertEqual(asked.errors, [])
        ((_, answer),) = results
        self.assertEqual(streams.positions(answer.content), [1, 2, 3, 4, 5])

    def test_dead_engine_is_left_before_the_caller_gives_up(self):
        # Guards against callers that abandon a stream after a pause of 2 s
        # while another engine could have resumed it.
        def hang(endpoint, request):
            if not request.header_by_name.get("last-event-id"):
                yield from streams.whole_stream(request, (1, 2), end=False)
                yield 20
            yield from streams.resume_stream(endpoint, request)

        for name in ("one", "two"):
            self.engine(name, hang)
        front = self.gateway()
        received = []
        with httpx.stream(
            "POST",
            f"http://{front}/chat/x",
            headers={
                "Host": gateway_base.HOST,
                "Attempt-Id": "a1",
                "Token-Usage": "100,20",
            },
            timeout=2,
            trust_env=False,
        ) as answer:
            received.extend(answer.iter_raw())
        self.assertEqual(
            streams.positions(b"".join(received)), [1, 2, 3, 4, 5]
        )

    def test_callers_are_refused_at_once_while_all_engines_are_dead(self):
        # Guards against holding each caller until its deadline when no engine
        # sends anything, and none can take over from another.
        def hang(_endpoint, _request):
            yield 20

        for name in ("one", "two"):
            self.engine(name, hang)
        front = self.gateway()
        asked = base.Background(
            lambda number: self.ask(
                front, "/chat/x", f"b{number}", **streams.MODEL_HEADERS
            ),
            [(number,) for number in range(6)],
        )
        bringup.wait_until(
            lambda: self.dep.log_of("gateway-1").count("waiting on") >= 4,
            what="the failures of both engines",
        )
        # One of these may probe an engine in each interval.
        later = base.Background(
            lambda number: self.timed_status(front, f"c{number}"),
            [(number,) for number in range(4)],
        )
        results = later.join()
        asked.join()
        self.assertEqual(asked.errors + later.errors, [])
        refused = [
            seconds for _, (status, seconds) in results if status == 429
        ]
        self.assertGreaterEqual(len(refused), 2)
        self.assertLess(max(refused), 1)

    def timed_status(self, front, attempt):
        """Send a request; return the status and how many seconds it took."""
        start = time.monotonic()
        answer = self.ask(front, "/chat/x", attempt, **streams.MODEL_HEADERS)
        return answer.status_code, time.monotonic() - start

    def test_silent_prefill_is_waited_for_if_it_is_the_only_attempt(self):
        # Guards against failing a request of a route with one attempt when
        # its prefill engine pauses: the decode would have been sent once.
        self.publish(route("single", "model", "stream", max_attempts=1))

        def prefill_script(_endpoint, request):
            yield 1.3
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        for name in ("one", "two"):
            self.engine(name, prefill_script, "prefill")
        self.engine("three", streams.resume_stream)
        front = self.gateway()
        usage = dict(streams.MODEL_HEADERS, Token_Usage="10000,20")
        answer = self.ask(front, "/single/x", **usage)
        self.assertEqual(answer.status_code, 200)
        self.assertEqual(streams.positions(answer.content), [1, 2, 3, 4, 5])

    def test_dead_prefill_is_refused_if_it_is_the_only_attempt(self):
        # Guards against holding a request until its deadline at a dead
        # prefill engine although its caller could retry elsewhere.
        self.publish(route("single", "model", "stream", max_attempts=1))

        def hang(_endpoint, _request):
            yield 20

        for name in ("one", "two"):
            self.engine(name, hang, "prefill")
        self.engine("three", streams.resume_stream)
        front = self.gateway()
        usage = dict(streams.MODEL_HEADERS, Token_Usage="10000,20")
        start = time.monotonic()
        answer = self.ask(front, "/single/x", **usage)
        self.assertEqual(answer.status_code, 503)
        self.assertLess(time.monotonic() - start, 2)

    def test_prefills_of_engines_that_all_pause_are_waited_for(self):
        # Guards against using up all attempts at prefill engines that pause
        # at the same time.
        def prefill_script(_endpoint, request):
            yield 1.3
            body = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'
            yield scripted.answer(request, body)

        for name in ("one", "two", "three"):
            self.engine(name, prefill_script, "prefill")
        for name in ("four", "five"):
            self.engine(name, streams.resume_stream)
        front = self.gateway()
        usage = dict(streams.MODEL_HEADERS, Token_Usage="10000,20")
        answer = self.ask(front, "/chat/x", **usage)
        self.assertEqual(answer.status_code, 200)
        self.assertEqual(streams.positions(answer.content), [1, 2, 3, 4, 5])
