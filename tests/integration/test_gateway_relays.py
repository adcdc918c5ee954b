"""Requests of a gateway that is cut off, on their way through another one."""

import json
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_streams as streams

route = gateway_base.route

GATEWAYS = 4
CUT = "gateway-1"
EVENTS = 20
EVENT_SECONDS = 0.1
GOAL_MS = 400
# A caller's close has to reach the endpoint within this time.
CLOSE_SECONDS = 0.5
# After the end of a cut all goes directly again within this time.
HEAL_SECONDS = 1.0
# From this time after the start of a cut on, callers get their refusal at
# once.
UNREACHED_SECONDS = 3.0
REFUSAL_SECONDS = 0.3


class Relays(gateway_base.GatewayCase):
    """Four gateways, the first of which is cut off."""

    has_egress = True

    def setUp(self):
        """Publish routes; endpoints and gateways follow in each test."""
        super().setUp()
        self.runs = []
        self.publish(
            route("look", "app", "safe"),
            route("book", "app", "unsafe"),
            route("chat", "model", "stream", resumable=True),
        )

    def start(self, calls=None):
        """Start two endpoints of each service and the gateways."""
        self.engines = [
            self.engine(f"engine-{number}", self._stream)
            for number in range(2)
        ]
        self.services = [
            self.endpoint(f"app-{number}", calls or self._call)
            for number in range(2)
        ]
        self.fronts = self.gateways(GATEWAYS, budget_slack=100)

    def _call(self, _endpoint, request):
        self.runs.append(request.header_by_name.get("attempt-id"))
        yield scripted.answer(request)

    def _stream(self, _endpoint, request):
        if "attempt-id" not in request.header_by_name:
            yield scripted.answer(request, b"", 404)
            return
        self.runs.append(request.header_by_name["attempt-id"])
        last = int(request.header_by_name.get("last-event-id", 0))
        yield scripted.stream_head(request)
        for number in range(last + 1, EVENTS + 1):
            yield scripted.chunk(scripted.event(number))
            yield EVENT_SECONDS
        yield scripted.chunk(b"")

    def ask_stream(self, attempt):
        """Return the answer to a stream's request at the cut gateway."""
        return self.ask(
            self.fronts[0],
            "/chat/x",
            attempt,
            content=attempt.encode(),
            **streams.MODEL_HEADERS,
        )

    def lines(self, name, message):
        """Return the fields of a gateway's log lines with ``message``."""
        rows = []
        for line in self.dep.log_of(name).splitlines():
            if message in line:
                rows.append(json.loads(line))
        return rows

    def relay_of(self, attempt):
        """Return the name of the gateway that carries a request."""

        def find():
            rows = self.lines(CUT, "sent through another gateway")
            ips = [row["by"] for row in rows if row["request"] == attempt]
            return ips and ips[-1]

        ip = bringup.wait_until(find, what="a relayed request")
        return f"gateway-{ip.rpartition('.')[2]}"

    def check_whole(self, answer):
        """Check that a caller got each event of a stream once."""
        self.assertEqual(
            streams.positions(answer.content), list(range(1, EVENTS + 1))
        )

    def test_a_caller_that_leaves_ends_its_relayed_request(self):
        # Guards against endpoints that work for callers that are gone.
        self.start()
        self.cut(CUT, "refuse")
        with httpx.stream(
            "POST",
            f"http://{self.fronts[0]}/chat/x",
            headers={
                "Host": gateway_base.HOST,
                "Attempt-Id": "a1",
                "Model": "m",
                "Token-Usage": "100,20",
            },
            trust_env=False,
        ) as answer:
            next(answer.iter_raw())
        left_at = time.monotonic()
        self.relay_of("a1")
        bringup.wait_until(
            lambda: any(e.closed_by_peer for e in self.engines),
            what="the close",
        )
        [closed_at] = [at for e in self.engines for at in e.closed_by_peer]
        self.assertLess(closed_at - left_at, CLOSE_SECONDS)

    def test_a_stream_whose_relay_is_killed_is_resumed(self):
        # Guards against streams that end with the gateway that carries them.
        self.start()
        self.cut(CUT, "refuse")
        asked = base.Background(self.ask_stream, [("a1",)])
        relay = self.relay_of("a1")
        time.sleep(0.5)
        self.dep.kill(relay)
        [(_, answer)] = asked.join()
        self.check_whole(answer)
        self.assertEqual(len(self.runs), 2)
        for name in ("gateway-1", "gateway-2", "gateway-3", "gateway-4"):
            self.assertEqual(self.lines(name, "crash recorded"), [])

    def test_a_relay_that_stops_finishes_what_it_carries(self):
        # Guards against streams that planned work at another gateway cuts.
        self.start()
        self.cut(CUT, "refuse")
        asked = base.Background(self.ask_stream, [("a1",)])
        relay = self.relay_of("a1")
        time.sleep(0.3)
        self.terminate(relay)
        [(_, answer)] = asked.join()
        self.check_whole(answer)
        self.assertEqual(len(self.runs), 1)
        self.assertEqual(self.dep.wait_end(relay), 0)
        self.assertEqual(self.ask_stream("a2").status_code, 200)
        self.assertNotEqual(self.relay_of("a2"), relay)

    def test_a_relay_that_is_cut_off_in_turn_is_left(self):
        # Guards against requests on tunnels that hang behind another gateway.
        self.start()
        self.cut(CUT, "hang")
        self.ask(self.fronts[0], "/look/x", "a1")
        relay = self.relay_of("a1")
        self.cut(relay, "hang")
        asked = base.Background(
            lambda attempt: self.ask(self.fronts[0], "/look/x", attempt),
            [("b1",), ("b2",), ("b3",)],
        )
        for _, answer in asked.join():
            self.assertEqual(answer.status_code, 200)
        for number in range(6):
            answer = self.ask(self.fronts[0], "/book/x", f"c{number}")
            self.assertEqual(answer.status_code, 200)
            self.assertNotEqual(self.relay_of(f"c{number}"), relay)
        for row in self.lines(CUT, "gateway: answered"):
            if row["request"].startswith("c"):
                self.assertLess(row["took_ms"], GOAL_MS)

    def test_a_booking_whose_relay_is_killed_runs_once(self):
        # Guards against bookings that are sent again on another way.
        def book(_endpoint, request):
            self.runs.append(request.header_by_name.get("attempt-id"))
            yield 1.0
            yield scripted.answer(request)

        self.start(book)
        self.cut(CUT, "refuse")
        asked = base.Background(
            lambda: self.ask(self.fronts[0], "/book/x", "a1"), [()]
        )
        relay = self.relay_of("a1")
        bringup.wait_until(lambda: self.runs, what="the booking")
        self.dep.kill(relay)
        [(_, answer)] = asked.join()
        self.assertEqual(answer.status_code, 502)
        self.assertEqual(self.runs, ["a1"])

    def test_an_answer_without_a_length_ends_only_with_its_endpoint(self):
        # Guards against a cut answer that looks complete to its caller.
        def call(_endpoint, request):
            self.runs.append(request.header_by_name.get("attempt-id"))
            yield (
                b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nConnection: close\r\n"
                b"Attempt-Id: %s\r\n\r\npart"
                % request.header_by_name["attempt-id"].encode()
            )
            yield 1.0
            yield b" and rest"
            yield scripted.CLOSE

        self.start(call)
        self.cut(CUT, "refuse")
        whole = self.ask(self.fronts[0], "/book/x", "a1")
        self.assertEqual(whole.content, b"part and rest")
        asked = base.Background(
            lambda: self.ask(self.fronts[0], "/book/x", "a2"), [()]
        )
        relay = self.relay_of("a2")
        bringup.wait_until(lambda: "a2" in self.runs, what="the call")
        self.dep.kill(relay)
        [(_, answer)] = asked.join()
        self.assertEqual(answer.status_code, 502)

    def test_one_gateway_that_is_left_carries_all(self):
        # Guards against gateways that ask only others that are cut off.
        self.start()
        for number in range(1, GATEWAYS):
            self.cut(f"gateway-{number}", "hang")
        time.sleep(1.5)
        for number, front in enumerate(self.fronts):
            answer = self.ask(front, "/book/x", f"b{number}")
            self.assertEqual(answer.status_code, 200)

    def test_all_goes_directly_again_after_the_cut(self):
        # Guards against gateways that keep to the detour.
        self.start()
        self.cut(CUT, "hang")
        self.assertEqual(self.ask(self.fronts[0], "/look/x").status_code, 200)
        self.relay_of("a1")
        self.cut(CUT, "ok")
        time.sleep(HEAL_SECONDS)
        self.assertEqual(
            self.ask(self.fronts[0], "/look/x", "a2").status_code, 200
        )
        rows = self.lines(CUT, "sent through another gateway")
        self.assertNotIn("a2", [row["request"] for row in rows])

    def test_requests_are_refused_at_once_while_no_gateway_reaches_any(self):
        # Guards against callers that wait for what can't be served.
        self.start()
        for number in range(1, GATEWAYS + 1):
            self.cut(f"gateway-{number}", "hang")
        base.Background(self.ask_stream, [("a1",)])
        self.ask(self.fronts[0], "/look/x", "b1")
        time.sleep(UNREACHED_SECONDS)
        for path in ("/look/x", "/book/x", "/chat/x"):
            started = time.monotonic()
            answer = self.ask(self.fronts[0], path, **streams.MODEL_HEADERS)
            self.assertLess(time.monotonic() - started, REFUSAL_SECONDS)
            self.assertIn(answer.status_code, (429, 503))
            self.assertGreaterEqual(float(answer.headers["retry-after"]), 0.5)

    def test_links_that_are_reset_make_no_request_harmful(self):
        # Guards against callers that are refused since links were cut.
        self.start()
        asked = base.Background(
            self.ask_stream, [(f"a{number}",) for number in range(8)]
        )
        bringup.wait_until(lambda: len(self.runs) >= 8, what="the streams")
        self.cut(CUT, "reset")
        for _, answer in asked.join():
            self.check_whole(answer)
        self.assertEqual(self.lines(CUT, "crash recorded"), [])
