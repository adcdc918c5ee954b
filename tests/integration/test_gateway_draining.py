"""Which requests a draining gateway accepts, and how it ends them."""

import http.client
import signal
import socket
import time

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_lifecycle

route = gateway_base.route
long_answer = test_gateway_lifecycle.long_answer
slow = test_gateway_lifecycle.slow

MODEL_HEADERS = test_gateway_lifecycle.MODEL_HEADERS
GRACE_SECONDS = 6
# From this time after SIGTERM on, endpoints are slow.
SLOW_AFTER_SECONDS = 2.0
USUAL_SECONDS = 0.05
SLOW_SECONDS = 1.2
PREFILLED = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'


def by_size(_endpoint, request):
    """Stream one event per token, as many as the request allows."""
    count = int(request.header_by_name["token-usage"].split(",")[1])
    yield from long_answer(count, 0.004)(_endpoint, request)


def slow_prefill(_endpoint, request):
    """Answer a prefill later than predicted."""
    yield 0.5
    yield scripted.answer(request, PREFILLED)


class Draining(gateway_base.GatewayCase):
    """One gateway that stops within three seconds."""

    def publish_streams(self):
        """Publish a route with a timeout longer than the drain."""
        self.publish(
            route("chat", "model", "stream", resumable=True, timeout_ms=20_000)
        )

    def stream(self, front, usage="100,400", attempt="a1", **headers):
        """Ask for a stream."""
        headers = {**MODEL_HEADERS, **headers}
        if usage:
            headers["Token_Usage"] = usage
        return self.ask(front, "/chat/x", attempt, **headers)

    def only_answer(self, asked):
        """Return the answer to a request in the background."""
        asked.join()
        self.assertEqual(asked.errors, [])
        return asked.results[0][1]

    def check_long_one_is_refused(self, front, engine, usual):
        """Check that a long stream is refused after many like ``usual``."""
        for number in range(25):
            self.stream(front, usual, f"s{number}")
        before = len(engine.requests)
        self.terminate()
        time.sleep(1.5)
        answer = self.stream(front, "100,400")
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(len(engine.requests), before)

    def test_drain_refuses_a_long_stream_on_a_route_of_short_ones(self):
        self.publish_streams()
        engine = self.engine("one", by_size)
        front = self.gateway()
        self.check_long_one_is_refused(front, engine, "100,3")

    def test_refusals_by_an_engine_do_not_count_as_durations(self):
        self.publish_streams()

        def script(endpoint, request):
            if request.header_by_name["attempt-id"].startswith("s"):
                yield scripted.answer(request, b"no", 400)
            else:
                yield from by_size(endpoint, request)

        engine = self.engine("one", script)
        front = self.gateway()
        self.check_long_one_is_refused(front, engine, "100,400")

    def test_late_stream_is_not_cut_when_its_engine_slows_down(self):
        # Guards against a cut answer: late in a drain an estimate was enough.
        self.publish_streams()

        def script(_endpoint, request):
            is_usual = request.header_by_name["attempt-id"].startswith("s")
            gap_seconds = 0.004 if is_usual else 0.5
            yield from long_answer(20, gap_seconds)(_endpoint, request)

        engine = self.engine("one", script)
        front = self.gateway(grace_s=6)
        for number in range(25):
            self.stream(front, "100,400", f"s{number}")
        before = len(engine.requests)
        self.terminate()
        time.sleep(3.2)
        answer = self.stream(front, "100,400", "late")
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(len(engine.requests), before)

    def test_late_stream_that_ends_before_the_process_is_served(self):
        # Guards against a refusal of work that the drain cannot cut.
        self.publish_streams()
        self.engine("one", long_answer(20, 0.004))
        front = self.gateway(grace_s=6)
        self.terminate()
        time.sleep(3.2)
        answer = self.stream(front, "100,400", Deadline_Ms="1500")
        self.assertEqual(answer.status_code, 200)

    def test_drain_refuses_a_stream_of_unknown_length(self):
        self.publish_streams()
        engine = self.engine("one", long_answer(400, 0.004))
        front = self.gateway()
        self.terminate()
        time.sleep(1.5)
        answer = self.stream(front, usage=None)
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(engine.requests, [])

    def test_refused_stream_is_not_retried_beyond_the_drain(self):
        # Guards against a retry that the end of the process would cut off.
        # The first engine refused the request, so it has not run.
        self.publish_streams()
        arrivals = []

        def script(_endpoint, request):
            arrivals.append(request)
            if len(arrivals) == 1:
                yield 0.5
                yield scripted.answer(request, b"", 503, Not_Executed="1")
            else:
                yield from long_answer(250, 0.006)(_endpoint, request)

        self.engine("one", script)
        self.engine("two", script)
        front = self.gateway()
        self.terminate()
        time.sleep(0.65)
        answer = self.stream(front, "100,250")
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(len(arrivals), 1)

    def test_prefill_cut_by_the_end_of_the_drain_is_answered_as_not_run(self):
        # Guards against a lost request: callers send an unsafe request again
        # only if the answer says that it has not run.
        self.publish(route("once", "model", "stream", timeout_ms=20_000))

        def prefill_script(_endpoint, request):
            if not request.header_by_name["attempt-id"].startswith("s"):
                yield 3
            yield scripted.answer(request, PREFILLED)

        self.engine("one", prefill_script, "prefill")
        decode_engine = self.engine("two", long_answer(1, 0.01))
        front = self.gateway()
        headers = {**MODEL_HEADERS, "Token_Usage": "30000,1"}
        for number in range(25):
            self.ask(front, "/once/x", f"s{number}", **headers)
        before = len(decode_engine.requests)
        self.terminate()
        time.sleep(1.6)
        answer = self.ask(front, "/once/x", **headers)
        self.assertEqual(len(decode_engine.requests), before)
        self.assertEqual(answer.status_code, 503)

    def test_prefill_during_a_drain_starts_no_stream_that_outlasts_it(self):
        self.publish_streams()
        prefill_engine = self.engine("one", slow_prefill, "prefill")
        decode_engine = self.engine("two", by_size)
        front = self.gateway()
        asked = base.Background(self.stream, [(front, "30000,900")])
        time.sleep(0.2)
        self.terminate()
        answer = self.only_answer(asked)
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(decode_engine.requests, [])
        bringup.wait_until(
            lambda: any(r.method == "DELETE" for r in prefill_engine.requests),
            what="the release of the handle",
        )

    def check_call_survives_signal(self, number):
        """Check that a signal during a drain does not cut an open call."""
        self.publish(route("book", "app", "unsafe"))
        self.endpoint("one", slow(1.0))
        front = self.gateway()
        asked = base.Background(self.ask, [(front, "/book/x", "a1")])
        time.sleep(0.3)
        self.terminate()
        time.sleep(0.2)
        self.dep.process_by_name["gateway-1"].send_signal(number)
        answer = self.only_answer(asked)
        self.assertEqual(answer.content, b"done")
        self.assertEqual(self.dep.wait_end("gateway-1", 4), 0)

    def test_sighup_does_not_end_a_drain_early(self):
        # The platform sends SIGHUP when it has written new settings.
        self.check_call_survives_signal(signal.SIGHUP)

    def test_second_sigterm_does_not_end_a_drain_early(self):
        self.check_call_survives_signal(signal.SIGTERM)

    def test_drain_waits_for_a_request_body_in_transit(self):
        self.publish(route("book", "app", "unsafe", timeout_ms=1_000))
        self.endpoint("one", slow(0))
        front = self.gateway(grace_s=8)
        host, _, port = front.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as caller:
            caller.sendall(
                b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
                b"Attempt-Id: a1\r\nContent-Length: 8\r\n\r\nhalf"
            )
            self.terminate()
            time.sleep(5.1)
            caller.sendall(b"half")
            self.assertIn(b" 200 ", caller.recv(65_536))

    def test_draining_gateway_sends_no_orders(self):
        # Guards against a lease that outlives its gateway and keeps the others
        # from sending orders.
        self.publish_streams()

        def script(_endpoint, request):
            if request.target == "/report":
                yield scripted.answer(request, b'{"sequence": 0}')
            else:
                yield scripted.answer(request, b"{}", 202)

        engines = [self.engine(name, script) for name in ("one", "two")]
        self.gateway(grace_s=6)
        self.terminate()
        self.dep.wait_end("gateway-1", 8)
        targets = [r.target for e in engines for r in e.requests]
        self.assertEqual(targets, [])

    def test_unresponsive_endpoint_leaves_time_for_another_in_a_drain(self):
        self.publish(route("look", "app", "safe", timeout_ms=6_000))
        arrivals = []

        def script(_endpoint, request):
            arrivals.append(request)
            if len(arrivals) == 1:
                yield 5
            yield scripted.answer(request, b"done")

        self.endpoint("one", script)
        self.endpoint("two", script)
        front = self.gateway()
        self.terminate()
        time.sleep(0.5)
        answer = self.ask(front, "/look/x")
        self.assertEqual(answer.status_code, 200)

    def test_deadline_sent_to_an_endpoint_ends_with_the_drain(self):
        self.publish(route("look", "app", "safe", timeout_ms=6_000))
        engine = self.endpoint("one", slow(0))
        front = self.gateway()
        self.terminate()
        time.sleep(0.5)
        self.ask(front, "/look/x")
        given = engine.requests[0].header_by_name["deadline-ms"]
        self.assertLess(int(given), 3_000)


class LateRequests(gateway_base.GatewayCase):
    """Callers whose connections stay open until the process is gone.

    The endpoints turn slow once the gateway has been asked to stop.
    """

    def setUp(self):
        """Start a gateway before an endpoint and an engine."""
        super().setUp()
        self.publish(
            route("book", "app", "unsafe", timeout_ms=20_000),
            route("once", "model", "stream", timeout_ms=20_000),
        )
        self.is_slow = False
        self.reached = set()
        self.endpoint("one", self._answer)
        self.engine("two", self._stream)
        self.front = self.gateway(grace_s=GRACE_SECONDS)

    def _answer(self, _endpoint, request):
        self.reached.add(request.header_by_name.get("attempt-id"))
        yield SLOW_SECONDS if self.is_slow else USUAL_SECONDS
        yield scripted.answer(request)

    def _stream(self, _endpoint, request):
        self.reached.add(request.header_by_name.get("attempt-id"))
        yield scripted.stream_head(request)
        for number in (1, 2):
            yield SLOW_SECONDS if self.is_slow else USUAL_SECONDS
            yield scripted.chunk(scripted.event(number))
        yield scripted.chunk(b"")

    def _call_until_gone(self, caller, path, deadline_ms):
        """Return when each request was sent, and its answer's status.

        The status is ``None`` if the connection ended without an answer, and
        ``"late"`` if that was at the request's own limit.
        """
        host, _, port = self.front.rpartition(":")
        headers = {"Host": gateway_base.HOST, **MODEL_HEADERS}
        headers = {k.replace("_", "-"): v for k, v in headers.items()}
        if deadline_ms:
            headers["Deadline-Ms"] = str(deadline_ms)
        rows = []
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        while self.dep.process_by_name["gateway-1"].poll() is None:
            attempt = f"{caller}-{len(rows)}"
            sent_at = time.monotonic()
            status = None
            try:
                connection.request(
                    "POST", path, headers={**headers, "Attempt-Id": attempt}
                )
                answer = connection.getresponse()
                answer.read()
                status = answer.status
            except (OSError, http.client.HTTPException):
                connection.close()
                took_ms = 1_000 * (time.monotonic() - sent_at)
                if deadline_ms and took_ms >= deadline_ms:
                    status = "late"
            rows.append((attempt, sent_at, status))
            time.sleep(0.02)
        return rows

    def test_requests_taken_late_in_a_stop_are_answered(self):
        # Guards against a process that passes on what it can't finish and
        # closes the connection without an answer.
        kinds = [
            (path, deadline_ms)
            for path in ("/book/x", "/once/x")
            for deadline_ms in (None, 400, 1_500, 6_000)
        ]
        asked = base.Background(
            self._call_until_gone,
            [(n, *kinds[n % len(kinds)]) for n in range(3 * len(kinds))],
        )
        time.sleep(1)
        stopped_at = time.monotonic()
        self.terminate()
        time.sleep(SLOW_AFTER_SECONDS)
        self.is_slow = True
        rows = [row for _, found in asked.join() for row in found]

        late_from = stopped_at + SLOW_AFTER_SECONDS
        late = [row for row in rows if row[1] > late_from]
        self.assertGreater(len(late), 50)
        self.assertTrue(any(row[0] in self.reached for row in late))
        lost = [
            (attempt, round(sent_at - stopped_at, 2))
            for attempt, sent_at, status in late
            if status is None and attempt in self.reached
        ]
        self.assertEqual(lost, [])
        # What says that it has not run has not.
        refused = [
            attempt
            for attempt, _, status in late
            if status == 503 and attempt in self.reached
        ]
        self.assertEqual(refused, [])
