"""What a gateway records of streams that failed."""

import types
import unittest

from clementinewall import clock
from clementinewall.gateway import crash_guard
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import stream_relay
from clementinewall.http1 import messages
from clementinewall import verdicts
from tests.gateway import test_endpoints

LEAVING = messages.Head(200, b"", ((b"Server-Leaving", b"1"),))


class Crashes(unittest.TestCase):
    """An engine whose connection broke in the middle of a request."""

    def setUp(self):
        """Know one engine."""
        self.endpoints = test_endpoints.gateway_view()
        self.state = self.endpoints.state(test_endpoints.ENGINE)
        self.guard = crash_guard.CrashGuard(clock.ManualClock(1_000).now)

    def fail_request(self):
        """Record that a request broke off at the engine."""
        call = types.SimpleNamespace(
            host="h", target=b"/chat/x", body=b"b", attempt="a1"
        )
        exchange = types.SimpleNamespace(
            call=call,
            service=types.SimpleNamespace(name="model"),
            record_failure=lambda _failure: None,
        )
        relay = types.SimpleNamespace(
            _endpoints=self.endpoints, _crash_guard=self.guard
        )
        failure = exchanges.AttemptFailed(
            verdicts.Verdict.MAY_HAVE_RUN, "cut", "e1", broken=True
        )
        stream_relay.StreamRelay._record_failure(
            relay, exchange, failure, True
        )

    def test_a_crash_is_recorded(self):
        self.fail_request()
        self.assertEqual(len(self.guard.message()), 1)

    def test_a_crash_of_an_engine_that_leaves_is_recorded(self):
        # Guards against requests that crash further engines unnoticed.
        self.state.apply_answer(LEAVING)
        self.fail_request()
        self.assertEqual(len(self.guard.message()), 1)
