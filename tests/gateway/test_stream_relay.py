"""What a gateway records of streams that failed."""

import types
import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import crash_guard
from clementinewall.gateway import endpoint_path
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import placing
from clementinewall.gateway import stream_answer
from clementinewall.gateway import stream_origins
from clementinewall.gateway import stream_relay
from clementinewall.http1 import messages
from clementinewall import verdicts
from tests.gateway import test_endpoints
from tests.gateway import test_placing

LEAVING = messages.Head(200, b"", ((b"Server-Leaving", b"1"),))


class Crashes(unittest.TestCase):
    """An engine whose connection broke in the middle of a request."""

    def setUp(self):
        """Know one engine."""
        self.endpoints = test_endpoints.gateway_view()
        self.state = self.endpoints.state(test_endpoints.ENGINE)
        self.condition = endpoint_path.Condition.REFUSING
        self.state.path.check = self.check_path
        self.clock = clock.ManualClock(10_000)
        self.guard = crash_guard.CrashGuard(self.clock.now)
        self.relay = stream_relay.StreamRelay(
            self.endpoints,
            None,
            None,
            None,
            self.guard,
            None,
            None,
            None,
            self.clock.now,
        )

    async def check_path(self):
        """Return what a new connection to the engine would show."""
        return self.condition

    def fail_request(self, ran_ms=None):
        """Record that a request broke off after its run of ``ran_ms``."""
        call = types.SimpleNamespace(
            host="h", target=b"/chat/x", body=b"b", attempt="a1", prompt=None
        )
        exchange = types.SimpleNamespace(
            call=call,
            digest="d",
            service=types.SimpleNamespace(name="model"),
            record_failure=lambda _failure: None,
            run_began_at=None if ran_ms is None else 10_000 - ran_ms,
        )
        failure = exchanges.AttemptFailed(
            verdicts.Verdict.MAY_HAVE_RUN, "cut", "e1", broken=True
        )
        plan = placing.Plan(None, self.state, None, 0)
        anyio.run(self.relay._record_failure, exchange, plan, failure)

    def is_strong(self):
        """Tell whether the only record is a strong one."""
        [(_digest, _endpoint, _age_ms, strong)] = self.guard.message()
        return strong

    def test_a_crash_before_the_first_event_is_strong(self):
        self.fail_request()
        self.assertTrue(self.is_strong())

    def test_a_crash_soon_after_the_first_event_is_strong(self):
        # Guards against a harmful request that is excused by one that waited.
        self.fail_request(ran_ms=60)
        self.assertTrue(self.is_strong())

    def test_a_crash_in_the_middle_of_a_long_run_is_weak(self):
        # Guards against refusing streams that others' crashes have cut.
        self.fail_request(ran_ms=2_000)
        self.assertFalse(self.is_strong())

    def test_a_crash_is_recorded(self):
        self.fail_request()
        self.assertEqual(len(self.guard.message()), 1)

    def test_an_engine_that_accepts_connections_has_not_crashed(self):
        # Guards against requests that count as harmful since links were cut.
        self.condition = endpoint_path.Condition.ACCEPTING
        self.fail_request()
        self.assertEqual(self.guard.message(), [])

    def test_an_engine_that_nobody_reaches_may_not_have_crashed(self):
        # Guards against requests that count as harmful since links were cut.
        self.condition = endpoint_path.Condition.UNKNOWN
        self.fail_request()
        self.assertEqual(self.guard.message(), [])

    def test_a_crash_of_an_engine_that_leaves_is_recorded(self):
        # Guards against requests that crash further engines unnoticed.
        self.state.apply_answer(LEAVING)
        self.fail_request()
        self.assertEqual(len(self.guard.message()), 1)

    def test_a_crash_of_an_engine_that_is_gone_is_recorded(self):
        # Guards against requests that crash further engines unnoticed.
        self.endpoints._fleet_view.endpoint_by_id = {}
        self.fail_request()
        self.assertEqual(len(self.guard.message()), 1)


class _Sent:
    """A stream that its engine closes after ``parts``."""

    head = messages.Head(200, b"", ((b"Server-Stamp", b"s"),))

    def __init__(self, *parts):
        self._parts = [*parts, None]

    async def read_part(self):
        """Return the next part."""
        return self._parts.pop(0)

    def failure(self, why, broken=False):
        """Return the error for an answer that cannot be used."""
        return exchanges.AttemptFailed(
            verdicts.Verdict.MAY_HAVE_RUN, why, "e1", broken=broken
        )


class Truncated(unittest.IsolatedAsyncioTestCase):
    """A connection that is closed in order, in the middle of an event."""

    async def test_it_counts_as_broken(self):
        # Guards against crashes without a record: the system of a crashed
        # process may close its connections in order.
        exchange = types.SimpleNamespace(
            call=types.SimpleNamespace(resume_after=None)
        )
        stream = stream_answer.StreamAnswer(exchange)
        with self.assertRaises(exchanges.AttemptFailed) as caught:
            await stream.forward(_Sent(b"id: 1\nda"))
        self.assertTrue(caught.exception.broken)


class Returns(unittest.TestCase):
    """A caller that takes up a stream, on a route of two services."""

    def find_version(self, *shares, service="a"):
        """Return service and version for a stream that began at a of v1."""
        services = {name: domain.Service(name, None) for name in "ab"}
        endpoints = types.SimpleNamespace(service=services.get)

        async def find(_attempt, _service):
            return stream_origins.Origin(service, "v1", 0)

        relay = stream_relay.StreamRelay(
            endpoints,
            None,
            None,
            None,
            None,
            types.SimpleNamespace(find=find),
            None,
            None,
            None,
        )
        exchange = types.SimpleNamespace(
            call=types.SimpleNamespace(takes_up=True, resumes="a1"),
            route=test_placing.ROUTE._replace(shares=shares),
            service=services["b"],
            version=None,
        )
        anyio.run(relay._find_version, exchange)
        return exchange.service.name, exchange.version

    def test_a_split_route_leads_back_to_the_service(self):
        # Guards against a stream that goes on at the other share.
        found = self.find_version(
            domain.Share("a", 0.1), domain.Share("b", 0.9)
        )
        self.assertEqual(found, ("a", "v1"))

    def test_a_service_that_the_route_left_gets_nothing(self):
        # Guards against a run that only an older configuration allows.
        found = self.find_version(domain.Share("a", 0), domain.Share("b", 1))
        self.assertEqual(found, ("b", None))
        found = self.find_version(domain.Share("b", 1))
        self.assertEqual(found, ("b", None))

    def test_a_service_that_is_not_configured_gets_nothing(self):
        shares = domain.Share("c", 1), domain.Share("b", 1)
        found = self.find_version(*shares, service="c")
        self.assertEqual(found, ("b", None))
