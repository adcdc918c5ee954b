"""Changes of the configuration beside open connections and requests."""

import asyncio
import random
import signal
import socket
import time

from standins import bringup
from tests.integration import base
from tests.integration import configuration_load
from tests.integration import gateway_base
from tests.integration import test_gateway_lifecycle

route = gateway_base.route
slow = test_gateway_lifecycle.slow

LOW_LIMITS = {
    "max_header_bytes": 1_024,
    "max_body_bytes": 1_000,
    "idle_timeout_ms": 900,
}
HIGH_LIMITS = {
    "max_header_bytes": 16_384,
    "max_body_bytes": 100_000,
    "idle_timeout_ms": 8_000,
}
IP_BY_GATEWAY = {"gateway-1": "127.0.0.1", "gateway-2": "127.0.0.2"}
GRACE_SECONDS = 4
CI_SECONDS = 5


def request_bytes(path, attempt, body=b"", filler=""):
    """Return a whole request."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {gateway_base.HOST}\r\n"
        f"Attempt-Id: {attempt}\r\nFiller: {filler}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


class Limits(gateway_base.GatewayCase):
    """Limits of callers' requests change while connections are open."""

    def connect_and_change(self, before, after):
        """Return a connection used once before the limits changed."""
        self.publish(route("book", "app", "unsafe"), **before)
        self.endpoint("one", slow(0))
        front = self.gateway()
        host, _, port = front.rpartition(":")
        peer = socket.create_connection((host, int(port)), timeout=5)
        self.addCleanup(peer.close)
        peer.sendall(request_bytes("/book/x", "a1"))
        self.assertIn(b" 200 ", peer.recv(65_536))
        self.publish(
            route("book", "app", "unsafe"),
            route("new", "app", "safe"),
            **after,
        )
        bringup.wait_until(
            lambda: self.ask(front, "/new/x").status_code == 200,
            what="the new configuration",
        )
        return peer

    def test_raised_body_limit_applies_to_open_connections(self):
        # Guards against refusing what the configuration in force allows.
        peer = self.connect_and_change(
            LOW_LIMITS | {"idle_timeout_ms": 8_000}, HIGH_LIMITS
        )
        peer.sendall(request_bytes("/book/x", "a2", b"x" * 50_000))
        self.assertIn(b" 200 ", peer.recv(65_536))

    def test_raised_header_limit_applies_to_open_connections(self):
        # Guards against refusing what the configuration in force allows.
        peer = self.connect_and_change(
            LOW_LIMITS | {"idle_timeout_ms": 8_000}, HIGH_LIMITS
        )
        data = request_bytes("/book/x", "a2", filler="x" * 8_000)
        # The limit counts only while the head is incomplete.
        peer.sendall(data[:6_000])
        time.sleep(0.1)
        peer.sendall(data[6_000:])
        self.assertIn(b" 200 ", peer.recv(65_536))

    def test_raised_idle_timeout_applies_to_open_connections(self):
        # Guards against closing a connection just as its caller uses it.
        peer = self.connect_and_change(LOW_LIMITS, HIGH_LIMITS)
        time.sleep(1.5)
        peer.sendall(request_bytes("/book/x", "a2"))
        self.assertIn(b" 200 ", peer.recv(65_536))

    def test_lowered_idle_timeout_spares_callers_that_know_the_old_one(self):
        # Guards against closing a connection just as its caller uses it.
        before = HIGH_LIMITS | {"idle_timeout_ms": 1_500}
        peer = self.connect_and_change(before, LOW_LIMITS)
        peer.sendall(request_bytes("/book/x", "a2"))
        self.assertIn(b" 200 ", peer.recv(65_536))
        time.sleep(1.2)
        peer.sendall(request_bytes("/book/x", "a3"))
        self.assertIn(b" 200 ", peer.recv(65_536))


class Load(gateway_base.GatewayCase):
    """Callers of all kinds beside series of versions."""

    CALLERS = 24

    def setUp(self):
        """Start endpoints of all services."""
        super().setUp()
        self.endpoints = []
        for service in configuration_load.PLAIN_SERVICES:
            script = configuration_load.serve_plain
            self.start_endpoints(service, script)
        for service in configuration_load.MODEL_SERVICES:
            script = configuration_load.serve_model
            self.start_endpoints(service, script, stage="decode")

    def start_endpoints(self, service, script, **more):
        """Start two endpoints of a service."""
        for number in (1, 2):
            name = f"{service}-{number}"
            self.endpoints.append(self.endpoint(name, script, service, **more))

    def put_configuration(self, configuration):
        """Publish a version."""
        self.put(gateway_base.CONFIGURATION_TOPIC, "config", configuration)

    def play(self, seed, seconds, disturb, plan=None):
        """Run callers and versions; return the requests and the losses.

        ``disturb(until)`` does what else happens meanwhile.
        """
        plan = plan or configuration_load.Plan()
        publisher = configuration_load.Publisher(
            random.Random(seed), plan, self.put_configuration
        )
        publisher.publish()
        fronts = {
            name: self.start_without_waiting(name, ip, grace_s=GRACE_SECONDS)
            for name, ip in IP_BY_GATEWAY.items()
        }
        for name in fronts:
            bringup.wait_until(lambda n=name: self.is_ready(n), what=name)
        until = time.monotonic() + seconds
        beside = base.Background(
            lambda run: run(until), [(publisher.run,), (disturb,)]
        )
        callers = [
            configuration_load.Caller(
                f"c{number}", random.Random(f"{seed}-{number}"), plan, fronts
            )
            for number in range(self.CALLERS)
        ]
        lag = asyncio.run(configuration_load.run_callers(callers, until))
        beside.join()
        self.assertEqual(beside.errors, [])
        requests = [row for caller in callers for row in caller.requests]
        reached = {
            request.header_by_name.get("attempt-id")
            for endpoint in self.endpoints
            for request in endpoint.requests
        }
        losses = configuration_load.find_losses(
            requests, publisher.versions, reached, lag
        )
        return requests, losses

    def reload(self, until):
        """Send SIGHUP to the gateways in turn."""
        while time.monotonic() < until:
            for name in IP_BY_GATEWAY:
                self.dep.process_by_name[name].send_signal(signal.SIGHUP)
                time.sleep(0.3)

    def stop_in_turn(self, until):
        """Stop and start the gateways one after the other."""
        names = list(IP_BY_GATEWAY)
        while time.monotonic() < until:
            name = names[0]
            self.terminate(name)
            self.assertEqual(self.dep.wait_end(name, GRACE_SECONDS + 2), 0)
            self.dep.start(name)
            bringup.wait_until(lambda n=name: self.is_ready(n), what=name)
            names.reverse()

    def check(self, seed, disturb):
        """Check that each request got an answer or a refusal."""
        requests, losses = self.play(seed, CI_SECONDS, disturb)
        self.assertEqual(losses, [])
        self.assertGreater(sum(r.status == 200 for r in requests), 50)
        for name in IP_BY_GATEWAY:
            self.assertNotIn("traceback", self.dep.log_of(name))

    def test_series_of_versions_lose_no_request(self):
        # Guards against a request that gets neither answer nor refusal.
        self.check(1, self.reload)

    def test_versions_during_a_drain_lose_no_request(self):
        # Guards against a request that gets neither answer nor refusal.
        self.check(2, self.stop_in_turn)
