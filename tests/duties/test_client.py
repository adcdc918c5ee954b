"""Calls to the duty service, against the stand-in within the test."""

import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.duties import client
from clementinewall.platform import duty_calls
from standins import duty_service

Outcome = duty_calls.Outcome
CALL = duty_calls.usage_report(7, {"a": 2, "b": 0})


class FakeHolder:
    """A lease that tests end."""

    def __init__(self):
        """Hold it."""
        self.token = 12
        self.checks_left = 1_000
        self.recorded = 0

    async def ensure(self):
        """Return whether it is held."""
        return self.checks_left > 0

    def is_held(self):
        """Return whether it is held, for so many checks."""
        self.checks_left -= 1
        return self.checks_left > 0

    def record_call(self):
        """Count."""
        self.recorded += 1


class Calls(unittest.TestCase):
    """A client and the stand-in."""

    def setUp(self):
        """Hold the lease."""
        self.service = duty_service.Service()
        self.holder = FakeHolder()

    def send(self, mode="ok", count=1, is_up=True, **more):
        """Send calls; return their outcomes."""
        self.service.mode = mode
        for name, value in more.items():
            setattr(self.service, name, value)

        async def run():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            settings = domain.Settings(
                "front-1", "10.0.0.1", "a", "", "", "", 1, "10.0.0.9:1",
                domain.Bounds(),
                duty_service=domain.DutyService(f"127.0.0.1:{port}", True),
            )  # fmt: skip
            found = client.DutyClient(settings, self.holder, clock.Clock())
            outcomes = []
            async with anyio.create_task_group() as group:
                if is_up:
                    group.start_soon(listener.serve, self.service.serve)
                else:
                    await listener.aclose()
                for _ in range(count):
                    outcomes.append(await found.send(CALL))
                group.cancel_scope.cancel()
            return outcomes

        return anyio.run(run)

    def test_call_names_holder_and_token(self):
        # Guards against a form that the service doesn't know.
        self.assertEqual(self.send(), [Outcome.ACCEPTED])
        (call,) = self.service.calls
        self.assertEqual((call["holder"], call["token"]), ("front-1", 12))
        self.assertEqual(call["body"], {"window": 7, "counts": {"a": 2}})

    def test_outcome_of_each_mode(self):
        # Guards against an answer that is taken for another.
        expected = {
            "busy": Outcome.THROTTLED,
            "down": Outcome.LOST,
            "garbled": Outcome.LOST,
            "silent": Outcome.LOST,
        }
        for mode, outcome in expected.items():
            with self.subTest(mode):
                self.assertEqual(self.send(mode), [outcome])

    def test_slow_answer_counts_until_the_limit(self):
        # Guards against a service whose late answers are all given up.
        self.assertEqual(self.send("slow", delay_ms=800), [Outcome.ACCEPTED])
        self.assertEqual(self.send("slow", delay_ms=1_900), [Outcome.LOST])

    def test_service_that_refuses_connections(self):
        # Guards against a failure of the gateway while the service is gone.
        self.assertEqual(self.send(is_up=False), [Outcome.LOST])
        self.assertEqual(self.holder.recorded, 0)

    def test_lease_that_ended_while_connecting_sends_nothing(self):
        # Guards against calls of a holder that was suspended after its check.
        self.holder.checks_left = 1
        self.assertEqual(self.send(), [Outcome.NOT_HELD])
        self.assertEqual(self.service.calls, [])

    def test_calls_without_an_answer_count_for_the_release(self):
        # Guards against a release right after a call that may have arrived.
        self.send("silent")
        self.assertEqual(self.holder.recorded, 2)

    def test_calls_keep_to_their_part_of_the_rate(self):
        # Guards against a holder that uses up the rate of all callers.
        self.send(count=4)
        times = [call["at_ms"] for call in self.service.calls]
        self.assertGreaterEqual(times[-1] - times[0], 550)
