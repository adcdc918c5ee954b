"""Answers of a gateway when endpoints fail in the middle of a call."""

import time

from standins import scripted
from tests.integration import base
from tests.integration import gateway_base

route = gateway_base.route


class PlainCalls(gateway_base.GatewayCase):
    """Calls to a plain service."""

    def setUp(self):
        """Publish a route for unsafe and one for safe calls."""
        super().setUp()
        self.publish(
            route("book", "app", "unsafe", max_attempts=1),
            route("look", "app", "safe"),
        )

    def test_answer_is_unchanged(self):
        def script(_endpoint, request):
            yield scripted.answer(request, b"a body", 201, X_Own="kept")

        endpoint = self.endpoint("one", script)
        front = self.gateway()
        answer = self.ask(
            front, "/book/x?y=1", content=b"pears", Deadline_Ms="2000"
        )
        self.assertEqual(
            (answer.status_code, answer.content), (201, b"a body")
        )
        self.assertEqual(answer.headers["x-own"], "kept")
        self.assertEqual(answer.headers["server-stamp"], "stamp")
        seen = endpoint.requests[0]
        self.assertEqual(
            (seen.method, seen.target, seen.body),
            ("POST", "/book/x?y=1", b"pears"),
        )
        self.assertEqual(seen.header_by_name["expect-instance"], "one")
        self.assertLessEqual(int(seen.header_by_name["deadline-ms"]), 2_000)

    def test_refused_head_request_does_not_end_the_gateway(self):
        # Guards against the loss of all open requests of a gateway.
        def slow(_endpoint, request):
            yield 0.5
            yield scripted.answer(request, b"done")

        self.endpoint("one", slow)
        front = self.gateway()
        asked = base.Background(self.ask, [(front, "/book/x", "a1")])
        time.sleep(0.2)
        refused = self.ask(front, "/none/x", "a2", "HEAD")
        asked.join()
        self.assertEqual(asked.errors, [])
        self.assertEqual(asked.results[0][1].content, b"done")
        self.assertEqual(refused.status_code, 404)
        self.assertEqual(refused.content, b"")

    def test_unsafe_call_is_not_sent_again_after_a_reset(self):
        # Guards against a booking made twice.  The endpoint books and crashes
        # before it answers.  Another endpoint would book again, and after a
        # 503 the caller would send again, so it gets 502.
        def script(_endpoint, _request):
            yield scripted.RESET

        endpoints = [self.endpoint(name, script) for name in ("one", "two")]
        front = self.gateway()
        answer = self.ask(front, "/book/x")
        self.assertEqual(answer.status_code, 502)
        self.assertEqual(sum(len(e.requests) for e in endpoints), 1)

    def test_safe_call_goes_to_another_endpoint(self):
        def crash(_endpoint, _request):
            yield scripted.RESET

        def serve(_endpoint, request):
            yield scripted.answer(request)

        self.endpoint("one", crash)
        self.endpoint("two", serve)
        front = self.gateway()
        for number in range(3):
            answer = self.ask(front, "/look/x", f"a{number}", "GET")
            self.assertEqual(answer.status_code, 200)

    def test_silent_endpoint_is_waited_for_if_it_is_the_only_one(self):
        # Guards against failing a safe call before its deadline although its
        # endpoint pauses and then answers.
        def script(_endpoint, request):
            yield 1.8
            yield scripted.answer(request, b"late")

        self.endpoint("one", script)
        front = self.gateway()
        answer = self.ask(front, "/look/x", method="GET")
        self.assertEqual((answer.status_code, answer.content), (200, b"late"))

    def test_answer_of_an_endpoint_that_was_silent_for_a_second(self):
        # Guards against leaving an endpoint that pauses for one that refuses.
        arrivals = []

        def script(_endpoint, request):
            arrivals.append(request)
            if len(arrivals) > 1:
                yield scripted.answer(request, b"", 503, Not_Executed="1")
                return
            yield 1.3
            yield scripted.answer(request, b"late")

        for name in ("one", "two"):
            self.endpoint(name, script)
        front = self.gateway()
        answer = self.ask(front, "/look/x", method="GET", Deadline_Ms="2400")
        self.assertEqual((answer.status_code, answer.content), (200, b"late"))

    def test_dead_endpoint_is_left_for_another(self):
        # Guards against calls that wait for a dead endpoint until they fail.
        arrivals = []

        def script(_endpoint, request):
            arrivals.append(request)
            if len(arrivals) == 1:
                yield 20
            yield scripted.answer(request)

        for name in ("one", "two"):
            self.endpoint(name, script)
        front = self.gateway()
        answer = self.ask(front, "/look/x", method="GET")
        self.assertEqual(answer.status_code, 200)

    def test_refusal_by_the_endpoint_becomes_a_503_with_retry_after(self):
        # Guards against a lost refusal: a full endpoint states that it did
        # not run the booking, so the caller may send it again later.
        def script(_endpoint, request):
            yield scripted.answer(request, b"", 503, Not_Executed="1")

        self.endpoint("one", script)
        front = self.gateway()
        answer = self.ask(front, "/book/x", Deadline_Ms="1000")
        self.assertEqual(answer.status_code, 503)
        self.assertLessEqual(float(answer.headers["retry-after"]), 1 / 3)

    def test_failure_without_not_executed_header_is_forwarded(self):
        # Guards against reporting a failed call as not run.  Only the
        # endpoint's Not-Executed header says so; its other failures are
        # forwarded unchanged, with its stamp.
        def script(_endpoint, request):
            yield scripted.answer(request, b"broken", 500)

        self.endpoint("one", script)
        front = self.gateway()
        answer = self.ask(front, "/book/x")
        self.assertEqual(
            (answer.status_code, answer.content), (500, b"broken")
        )
        self.assertEqual(answer.headers["server-stamp"], "stamp")

    def test_late_answer_to_another_call_is_dropped(self):
        # Guards against giving one customer the order of another.  An endpoint
        # sends a second answer to an earlier request where the answer to the
        # next one is expected.
        def script(endpoint, request):
            if len(endpoint.requests) == 1:
                yield scripted.answer(request, b"first")
                return
            stray = endpoint.requests[0]
            yield scripted.answer(stray, b"first again")
            yield 0.05
            yield scripted.answer(request, b"second")

        self.endpoint("one", script)
        front = self.gateway()
        self.assertEqual(self.ask(front, "/book/x", "a1").content, b"first")
        self.assertEqual(self.ask(front, "/book/x", "a2").content, b"second")

    def test_bytes_after_an_answer_are_dropped(self):
        def script(_endpoint, request):
            yield scripted.answer(request, b"whole") + b"rubbish"

        endpoint = self.endpoint("one", script)
        front = self.gateway()
        for number in range(3):
            answer = self.ask(front, "/book/x", f"a{number}")
            self.assertEqual(answer.content, b"whole")
        self.assertEqual(endpoint.connections, 3)

    def test_truncated_answer_is_not_forwarded(self):
        def script(_endpoint, request):
            yield scripted.answer(request, b"half of the body")[:-4]
            yield scripted.CLOSE

        self.endpoint("one", script)
        front = self.gateway()
        self.assertEqual(self.ask(front, "/book/x").status_code, 502)

    def test_success_without_stamp_is_not_forwarded(self):
        def script(_endpoint, request):
            whole = scripted.answer(request, b"forged")
            yield whole.replace(b"Server-Stamp: stamp\r\n", b"")

        self.endpoint("one", script)
        front = self.gateway()
        self.assertEqual(self.ask(front, "/book/x").status_code, 502)

    def test_unframed_answer_ends_with_its_connection(self):
        def script(_endpoint, request):
            whole = scripted.answer(request, b"no length")
            yield whole.replace(b"Content-Length: 9\r\n", b"")
            yield scripted.CLOSE

        self.endpoint("one", script)
        front = self.gateway()
        answer = self.ask(front, "/book/x")
        self.assertEqual(
            (answer.status_code, answer.content), (200, b"no length")
        )

    def test_call_without_answer_fails_at_the_route_timeout(self):
        # Guards against calls that wait for the default timeout of 30 s: the
        # endpoint never answers, and the route's timeout is shorter.
        def script(_endpoint, _request):
            yield 30

        self.endpoint("one", script)
        self.publish(route("book", "app", "unsafe", timeout_ms=500))
        front = self.gateway()
        start = time.monotonic()
        answer = self.ask(front, "/book/x", Deadline_Ms="9000")
        self.assertEqual(answer.status_code, 504)
        self.assertLess(time.monotonic() - start, 1.0)

    def test_deadline_of_zero_is_a_limit(self):
        # Guards against a run for a caller that no longer waits.
        def script(_endpoint, request):
            yield scripted.answer(request, b"done")

        endpoint = self.endpoint("one", script)
        front = self.gateway()
        answer = self.ask(front, "/book/x", Deadline_Ms="0")
        self.assertEqual(endpoint.requests, [])
        self.assertEqual(answer.status_code, 504)

    def test_concurrent_route_timeouts_all_answer_504(self):
        def script(_endpoint, _request):
            yield 30

        self.endpoint("one", script)
        self.publish(route("book", "app", "unsafe", timeout_ms=500))
        front = self.gateway()

        def ask(number):
            answer = self.ask(front, "/book/x", f"a{number}")
            return answer.status_code

        for _ in range(4):
            asked = base.Background(ask, [(n,) for n in range(40)])
            statuses = {status for _, status in asked.join()}
            self.assertEqual(statuses, {504})

    def test_internal_headers_of_callers_are_dropped(self):
        # Guards against callers that set internal headers to read the cached
        # prompt of another caller or to raise their priority.
        def script(_endpoint, request):
            yield scripted.answer(request)

        endpoint = self.endpoint("one", script)
        front = self.gateway()
        self.ask(
            front,
            "/book/x",
            Kv_Source="10.0.0.1:1/x",
            Stage="prefill",
            Expect_Instance="other",
            Request_Priority="0",
            Deadline_Ms="100000",
        )
        seen = endpoint.requests[0].header_by_name
        self.assertNotIn("kv-source", seen)
        self.assertNotIn("stage", seen)
        self.assertNotIn("request-priority", seen)
        self.assertEqual(seen["expect-instance"], "one")
        self.assertLessEqual(int(seen["deadline-ms"]), 3_000)

    def test_unknown_path_and_malformed_requests(self):
        def script(_endpoint, request):
            yield scripted.answer(request)

        self.endpoint("one", script)
        front = self.gateway()
        self.assertEqual(self.ask(front, "/nowhere/x").status_code, 404)
        host, _, port = front.rpartition(":")
        for raw in (b"no http at all\r\n\r\n", b"GET / HTTP/1.1\r\n\r\n"):
            with gateway_base.socket.create_connection(
                (host, int(port)), 5
            ) as peer:
                peer.sendall(raw)
                answer = peer.recv(4_096)
                self.assertIn(b" 400 ", answer)
                self.assertIn(b"connection: close", answer.lower())
        self.assertEqual(self.ask(front, "/book/x").status_code, 200)

    def test_disconnected_caller_cancels_the_call(self):
        # Guards against work for a caller that closed its connection: it
        # keeps the endpoint from serving others.
        def script(_endpoint, _request):
            yield 5

        endpoint = self.endpoint("one", script)
        front = self.gateway()
        with self.assertRaises(gateway_base.httpx.ReadTimeout):
            gateway_base.httpx.get(
                f"http://{front}/look/x",
                headers={"Host": gateway_base.HOST, "Attempt-Id": "a1"},
                timeout=0.5,
                trust_env=False,
            )
        disconnected_at = time.monotonic()
        gateway_base.bringup.wait_until(
            lambda: endpoint.closed_by_peer,
            seconds=2,
            what="the end of the call",
        )
        self.assertLess(time.monotonic() - disconnected_at, 0.5)
