"""What a gateway that was asked to stop still takes, and how it ends it."""

import signal
import socket
import time

from standins import bringup
from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_life

route = gateway_base.route
long_answer = test_gateway_life.long_answer
slow = test_gateway_life.slow

MODEL_HEADERS = test_gateway_life.MODEL_HEADERS
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
