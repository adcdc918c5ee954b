"""Changes of the configuration beside open connections and requests."""

import socket
import time

from standins import bringup
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
