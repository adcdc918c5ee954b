"""Gateways that synchronise their cache views with engines."""

import time

from clementinewall.gateway import cache_sync
from standins import scripted
from tests.integration import gateway_base

SHARED = "5c1e07a2"
OWN = "e4402b7d"
HEADERS = {
    "Model": "m",
    "Token_Usage": "20400,20",
    "Prompt_Prefix": f"{SHARED}:20000,{OWN}:400",
    "Deadline_Ms": "3000",
}


def short_stream(_endpoint, request):
    """Yield a whole stream of one event."""
    yield scripted.stream_head(request)
    yield scripted.chunk(scripted.event(1))
    yield scripted.chunk(b"")


class GatewayCachesTest(gateway_base.GatewayCase):
    """Two decode engines, of which the second has a warm cache."""

    def setUp(self):
        """Publish one route, and register the engines."""
        super().setUp()
        self.publish(gateway_base.route("chat", "model", "stream"))
        self.cold = self.endpoint("a", short_stream, "model", stage="decode")
        self.cold.kept = {}
        self.warm = self.endpoint("b", short_stream, "model", stage="decode")
        self.warm.kept = {SHARED: 20_000}

    def ask_and_count(self, front, attempt):
        """Send a request; return how many each engine has got."""
        answer = self.ask(front, "/chat/x", attempt, **HEADERS)
        self.assertEqual(answer.status_code, 200)
        return tuple(
            sum(request.method == "POST" for request in engine.requests)
            for engine in (self.cold, self.warm)
        )

    def test_a_prompt_is_not_read_again_after_a_restart_of_its_gateway(self):
        front = self.gateway()
        time.sleep(0.2)
        self.assertEqual(self.ask_and_count(front, "a1"), (0, 1))

    def test_a_part_that_an_engine_dropped_does_not_draw_prompts_there(self):
        front = self.gateway()
        time.sleep(0.2)
        self.assertEqual(self.ask_and_count(front, "a1"), (0, 1))
        self.cold.changes.append((SHARED, 20_000))
        self.warm.changes.append((SHARED, 0))
        time.sleep(3 * cache_sync.POLL_INTERVAL_MS / 1_000)
        self.assertEqual(self.ask_and_count(front, "a2"), (1, 1))

    def test_an_engine_that_does_not_tell_its_cache_serves_all_the_same(self):
        self.cold.kept = None
        self.warm.kept = None
        front = self.gateway()
        self.assertEqual(sum(self.ask_and_count(front, "a1")), 1)
