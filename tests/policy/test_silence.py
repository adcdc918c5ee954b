"""How long a silent engine is waited for."""

import types
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import silence

GOALS = strategies.integers(50, 5_000)
PREDICTIONS = strategies.floats(0, 5_000)


def route(goal_ms, gap_goal_ms):
    """Return what matters of a route."""
    return types.SimpleNamespace(goal_ms=goal_ms, gap_goal_ms=gap_goal_ms)


class StreamTimeouts(unittest.TestCase):
    """``stream_timeouts`` against the pause that callers accept."""

    @hypothesis.given(GOALS, GOALS, PREDICTIONS)
    def test_a_sound_pause_is_never_too_long(self, goal, gap, predicted):
        found = silence.stream_timeouts(route(goal, gap), predicted)
        self.assertGreaterEqual(found.next_ms, silence.SOUND_SILENCE_MS)
        self.assertGreaterEqual(found.first_ms, found.next_ms)

    @hypothesis.given(GOALS, GOALS, strategies.floats(0, 200))
    def test_a_quick_takeover_comes_before_the_caller_gives_up(
        self, goal, gap, predicted
    ):
        of_route = route(goal, gap)
        found = silence.stream_timeouts(of_route, predicted)
        self.assertLess(
            found.next_ms + predicted, silence.caller_pause_ms(of_route)
        )

    def test_the_first_event_may_take_longer_than_predicted(self):
        found = silence.stream_timeouts(route(400, 200), 1_000)
        self.assertEqual(found, silence.Timeouts(3_000, 1_500))

    def test_callers_wait_longer_on_slower_routes(self):
        self.assertEqual(silence.caller_pause_ms(route(400, 200)), 2_000)
        self.assertEqual(silence.caller_pause_ms(route(900, 200)), 3_600)
        self.assertEqual(silence.caller_pause_ms(route(400, 500)), 4_000)


class CallTimeout(unittest.TestCase):
    """``call_timeout_ms`` of calls to plain services."""

    @hypothesis.given(strategies.floats(1, 60_000))
    def test_each_timeout_leaves_time_for_another_endpoint(self, left_ms):
        found = silence.call_timeout_ms(left_ms)
        self.assertGreaterEqual(found, left_ms / 2)
        self.assertLessEqual(found, left_ms * 3 / 4)

    def test_a_sound_pause_is_not_too_long_if_there_is_time(self):
        for left_ms in (2_000, 3_000, 10_000):
            self.assertGreaterEqual(
                silence.call_timeout_ms(left_ms), silence.SOUND_SILENCE_MS
            )
