"""When a gateway leaves an endpoint that sends nothing."""

import types
import unittest

import anyio

from clementinewall import clock
from clementinewall.gateway import silence_watch
from clementinewall.policy import endpoint_health

TIMEOUT_MS = 1_700


class Watch(unittest.TestCase):
    """An endpoint that sends its answer after some time."""

    def setUp(self):
        """Start with an endpoint that can be replaced."""
        self.ticker = clock.ManualClock(100_000)
        self.health = endpoint_health.Health()
        self.can_replace = True
        state = types.SimpleNamespace(
            endpoint=types.SimpleNamespace(id="one"), health=self.health
        )
        self.watch = silence_watch.SilenceWatch(
            types.SimpleNamespace(attempt="a1"),
            state,
            TIMEOUT_MS,
            lambda _silent_ms: self.can_replace,
            self.ticker.now,
        )

    def wait(self, answer_ms):
        """Wait for an answer that comes after ``answer_ms``."""
        answer_at = self.ticker.now() + answer_ms

        async def receive(limit_ms):
            left_ms = answer_at - self.ticker.now()
            self.ticker.advance(min(left_ms, limit_ms))
            if left_ms > limit_ms:
                raise TimeoutError
            return "answer"

        return anyio.run(self.watch.wait, receive)

    def test_an_answer_within_the_timeout_is_returned(self):
        self.assertEqual(self.wait(TIMEOUT_MS - 1), "answer")

    def test_a_silent_endpoint_is_left_if_another_can_take_over(self):
        with self.assertRaisesRegex(TimeoutError, "silent for 1700 ms"):
            self.wait(TIMEOUT_MS + 1)

    def test_an_endpoint_that_nothing_can_replace_is_waited_for(self):
        # Guards against answers cut although their endpoint goes on.
        self.can_replace = False
        self.assertEqual(self.wait(60_000), "answer")

    def test_a_replacement_that_comes_later_is_used(self):
        # Guards against callers that wait for a dead endpoint until their
        # deadline although another one has become available.
        answers = iter([False, False, True])
        self.watch._can_replace = lambda _silent_ms: next(answers)
        began = self.ticker.now()
        with self.assertRaises(TimeoutError):
            self.wait(60_000)
        self.assertEqual(
            self.ticker.now() - began,
            TIMEOUT_MS + 2 * silence_watch.RECHECK_INTERVAL_MS,
        )

    def test_dead_endpoints_are_paused_even_if_nothing_can_replace_them(self):
        # Guards against sending every new request to endpoints that answer
        # none when all of a service are dead.
        self.can_replace = False
        for _ in range(endpoint_health.FAILURES_TO_PAUSE):
            self.assertTrue(self.health.is_usable(self.ticker.now()))
            self.wait(TIMEOUT_MS + 1)
        self.assertFalse(self.health.is_usable(self.ticker.now()))

    def test_a_short_silence_is_no_failure(self):
        # Guards against pausing sound endpoints that may fall silent.
        self.can_replace = False
        self.watch.timeout_ms = 300
        for _ in range(5):
            self.wait(1_300)
        self.assertTrue(self.health.is_usable(self.ticker.now()))
