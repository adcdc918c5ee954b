"""What a gateway that was asked to stop still takes, and how it ends it."""

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
PREFILLED = b'{"cache_handle": "h1", "token_count": 9, "version": 1}'


def by_size(_endpoint, request):
    """Stream one event a token, up to the most that were asked for."""
    count = int(request.header_by_name["token-usage"].split(",")[1])
    yield from long_answer(count, 0.004)(_endpoint, request)


def reading_late(_endpoint, request):
    """Read a prompt more slowly than is predicted."""
    yield 0.5
    yield scripted.answer(request, PREFILLED)


class Draining(gateway_base.GatewayCase):
    """One gateway of which three seconds are left."""

    def publish_streams(self):
        """Publish a route whose streams may last."""
        self.publish(
            route("chat", "model", "stream", resumable=True, timeout_ms=20_000)
        )

    def engine(self, name, script, stage="decode"):
        """Start an engine."""
        return self.endpoint(name, script, "model", stage=stage)

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
        """Ask for a long stream in a stop, after many of ``usual`` usage."""
        for number in range(25):
            self.stream(front, usual, f"s{number}")
        before = len(engine.requests)
        self.terminate()
        time.sleep(1.5)
        answer = self.stream(front, "100,400")
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(len(engine.requests), before)

    def test_a_long_stream_is_not_begun_on_a_route_of_short_ones(self):
        self.publish_streams()
        engine = self.engine("one", by_size)
        front = self.gateway()
        self.check_long_one_is_refused(front, engine, "100,3")

    def test_refusals_by_an_engine_teach_no_durations(self):
        self.publish_streams()

        def script(endpoint, request):
            if request.header_by_name["attempt-id"].startswith("s"):
                yield scripted.answer(request, b"no", 400)
            else:
                yield from by_size(endpoint, request)

        engine = self.engine("one", script)
        front = self.gateway()
        self.check_long_one_is_refused(front, engine, "100,400")

    def test_a_stream_of_unknown_length_is_not_begun(self):
        self.publish_streams()
        engine = self.engine("one", long_answer(400, 0.004))
        front = self.gateway()
        self.terminate()
        time.sleep(1.5)
        answer = self.stream(front, usage=None)
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(engine.requests, [])

    def test_a_refused_stream_is_not_sent_on_if_it_would_outlast_a_stop(self):
        # The first engine refused it, so "not run" is still true.
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

    def test_a_prompt_that_is_still_read_at_the_end_is_told_not_run(self):
        # Callers send an unsafe request again only after a promise.
        self.publish(route("once", "model", "stream", timeout_ms=20_000))

        def reader(_endpoint, request):
            if not request.header_by_name["attempt-id"].startswith("s"):
                yield 3
            yield scripted.answer(request, PREFILLED)

        self.engine("one", reader, "prefill")
        decoder = self.engine("two", long_answer(1, 0.01))
        front = self.gateway()
        headers = {**MODEL_HEADERS, "Token_Usage": "30000,1"}
        for number in range(25):
            self.ask(front, "/once/x", f"s{number}", **headers)
        before = len(decoder.requests)
        self.terminate()
        time.sleep(1.6)
        answer = self.ask(front, "/once/x", **headers)
        self.assertEqual(len(decoder.requests), before)
        self.assertEqual(answer.status_code, 503)

    def test_a_prompt_read_at_a_stop_starts_no_stream_that_outlasts_it(self):
        self.publish_streams()
        reader = self.engine("one", reading_late, "prefill")
        decoder = self.engine("two", by_size)
        front = self.gateway()
        asked = base.Background(self.stream, [(front, "30000,900")])
        time.sleep(0.2)
        self.terminate()
        answer = self.only_answer(asked)
        self.assertEqual(answer.status_code, 503)
        self.assertEqual(decoder.requests, [])
        bringup.wait_until(
            lambda: any(r.method == "DELETE" for r in reader.requests),
            what="the handle's end",
        )

    def check_call_outlasts(self, number):
        """Send a signal during a stop; the call that is open is answered."""
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

    def test_new_settings_do_not_end_a_stop_early(self):
        # The platform sends SIGHUP when it has written new settings.
        self.check_call_outlasts(signal.SIGHUP)

    def test_a_second_stop_does_not_end_the_first_early(self):
        self.check_call_outlasts(signal.SIGTERM)

    def test_a_body_on_its_way_is_waited_for_in_a_stop(self):
        self.publish(route("book", "app", "unsafe", goal_ms=100))
        self.endpoint("one", slow(0))
        front = self.gateway()
        host, _, port = front.rpartition(":")
        with socket.create_connection((host, int(port)), 5) as caller:
            caller.sendall(
                b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\n"
                b"Attempt-Id: a1\r\nContent-Length: 8\r\n\r\nhalf"
            )
            self.terminate()
            time.sleep(2.1)
            caller.sendall(b"half")
            self.assertIn(b" 200 ", caller.recv(65_536))

    def test_a_stopping_gateway_gives_no_orders(self):
        # Its lease would outlive it and keep the others from ordering.
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

    def test_a_silent_endpoint_leaves_time_for_another_one_in_a_stop(self):
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

    def test_an_engine_gets_no_more_time_than_a_stopping_gateway_has(self):
        self.publish(route("look", "app", "safe", timeout_ms=6_000))
        engine = self.endpoint("one", slow(0))
        front = self.gateway()
        self.terminate()
        time.sleep(0.5)
        self.ask(front, "/look/x")
        given = engine.requests[0].header_by_name["deadline-ms"]
        self.assertLess(int(given), 3_000)
