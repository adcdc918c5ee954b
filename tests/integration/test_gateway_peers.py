"""Two gateways that exchange heartbeats and updates."""

import json
import socket
import time
import zlib

from standins import bringup
from standins import scripted
from tests.integration import gateway_base

route = gateway_base.route


class Peers(gateway_base.GatewayCase):
    """Gateways on two addresses of the loopback network."""

    def setUp(self):
        """Publish a route and start both."""
        super().setUp()
        self.publish(route("look", "app", "safe"))

    def both(self):
        """Start two gateways and wait until each lists the other."""
        fronts = [
            self.start_without_waiting("gateway-1", "127.0.0.1"),
            self.start_without_waiting("gateway-2", "127.0.0.2"),
        ]
        bringup.wait_until(
            lambda: (
                self.is_ready("gateway-1")
                and self.is_ready("gateway-2")
                and len(self.addresses("gateway-1")) == 2
                and len(self.addresses("gateway-2")) == 2
            ),
            what="acquaintance",
        )
        return fronts

    def test_a_dead_gateway_leaves_the_answers(self):
        # A gateway is killed.  Callers that ask where to connect must not
        # be sent to it for long.
        self.endpoint("one", lambda _e, request: [scripted.answer(request)])
        fronts = self.both()
        self.dep.kill("gateway-2")
        start = time.monotonic()
        bringup.wait_until(
            lambda: self.addresses("gateway-1") == fronts[:1],
            what="one address",
        )
        self.assertLess(time.monotonic() - start, 2.5)

    def test_foreign_datagrams_change_nothing(self):
        # Another program sends to the gateways' port.  An uncaught error in
        # one datagram would end the receiving task and the process.
        self.endpoint("one", lambda _e, request: [scripted.answer(request)])
        first, _ = self.both()
        sign = ["127.0.0.8", "x", "a", 1, 0]
        state = {"sign": sign, "away": {}, "work": {}}
        sound = {"state": state, "read": [], "marks": []}
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for text in (
                b"\xff",
                b"[" * 5_000,
                b"[1, 2, 3]",
                b"7",
                b"{}",
                json.dumps({"state": state}).encode(),
                json.dumps({**sound, "read": [["one", 7]]}).encode(),
                json.dumps({**sound, "marks": 7}).encode(),
                json.dumps({"state": {**state, "away": 7}}).encode(),
                json.dumps({"state": {**state, "sign": []}}).encode(),
                json.dumps({"signs": [[1, 2]]}).encode(),
                json.dumps({"signs": [["", "", "", 1, "late"]]}).encode(),
                json.dumps({"news": {"topic": "keyed.servers"}}).encode(),
            ):
                where = "127.0.0.1", self._peer_port()
                sender.sendto(text, where)
                sender.sendto(zlib.compress(text), where)
        time.sleep(0.3)
        self.assertEqual(self.ask(first, "/look/x").status_code, 200)
        self.assertTrue(self.is_ready("gateway-1"))

    def in_force(self, front, name):
        """Wait until a gateway serves a route; return how long it took."""
        start = time.monotonic()
        bringup.wait_until(
            lambda: self.ask(front, f"/{name}/x").status_code == 200,
            what=f"route {name}",
        )
        return time.monotonic() - start

    def test_changes_reach_those_that_do_not_read(self):
        # One gateway reads the store and updates the other.  Both must apply
        # a change in time, also if the reader died and is not missed yet.
        self.endpoint("one", lambda _e, request: [scripted.answer(request)])
        fronts = self.both()
        bringup.wait_until(
            lambda: (
                self.dep.log_of("gateway-2").count("updated by another") >= 2
            ),
            what="a listener of both topics",
        )
        routes = [route("look", "app", "safe"), route("new", "app", "safe")]
        self.publish(*routes)
        for front in fronts:
            self.assertLess(self.in_force(front, "new"), 2.0)
        self.dep.kill("gateway-1")
        self.publish(*routes, route("newer", "app", "safe"))
        self.assertLess(self.in_force(fronts[1], "newer"), 2.0)

    def test_a_paused_gateway_comes_back(self):
        self.endpoint("one", lambda _e, request: [scripted.answer(request)])
        self.both()
        self.dep.pause("gateway-2")
        bringup.wait_until(
            lambda: len(self.addresses("gateway-1")) == 1, what="one address"
        )
        self.dep.resume("gateway-2")
        bringup.wait_until(
            lambda: len(self.addresses("gateway-1")) == 2, what="both"
        )

    def test_a_request_that_crashes_endpoints_is_known_to_all(self):
        # One request crashes each endpoint that runs it, and its caller
        # retries it at every gateway.  Without crash records shared between
        # gateways it would take the whole service down.
        def script(endpoint, request):
            if request.body == b"poison":
                endpoint.close()
                yield scripted.RESET
            else:
                yield scripted.answer(request)

        endpoints = [
            self.endpoint(name, script) for name in ("one", "two", "three")
        ]
        first, second = self.both()
        self.ask(first, "/look/x", "a1", content=b"poison")
        time.sleep(0.6)
        before = sum(len(e.requests) for e in endpoints)
        self.assertEqual(before, 2)
        for number, front in enumerate((first, second, second)):
            answer = self.ask(
                front, "/look/x", f"b{number}", content=b"poison"
            )
            self.assertEqual(answer.status_code, 502)
        self.assertEqual(sum(len(e.requests) for e in endpoints), before)
        sound = self.ask(second, "/look/x", "c1", content=b"pears")
        self.assertEqual(sound.status_code, 200)
