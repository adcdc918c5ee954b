"""Estimates of how long a request may take at a draining process."""

import itertools
import math
import unittest

from clementinewall.policy import drain

SHORT = drain.Stream(first_ms=40, tokens_out=4, slots=128)


class Durations(unittest.TestCase):
    """How long a request may take."""

    def test_a_long_answer_needs_longer_than_a_short_one(self):
        long = SHORT._replace(tokens_out=1_000)
        self.assertLess(drain.stream_ms(SHORT), 1_000)
        self.assertGreater(drain.stream_ms(long), 9_000)

    def test_a_late_first_event_adds_to_the_duration(self):
        late = SHORT._replace(first_ms=400)
        difference = drain.stream_ms(late) - drain.stream_ms(SHORT)
        self.assertGreaterEqual(difference, 2 * 360)

    def test_an_answer_of_unknown_length_is_unbounded(self):
        unknown = SHORT._replace(tokens_out=0)
        self.assertEqual(drain.stream_ms(unknown), math.inf)
        self.assertEqual(drain.stream_ms(unknown, 0.5), math.inf)

    def test_a_route_of_short_answers_still_has_long_ones(self):
        long = SHORT._replace(tokens_out=1_000)
        short_ms = drain.stream_ms(SHORT, 0.5)
        self.assertGreater(drain.stream_ms(long, 0.5), short_ms + 4_000)

    def test_calls_that_were_slow_lately_may_be_slow_again(self):
        self.assertGreater(drain.call_ms(400, 2.0), drain.call_ms(400))


class Acceptance(unittest.TestCase):
    """Which requests a draining process accepts."""

    def test_a_late_request_is_accepted_only_by_its_own_limit(self):
        # Guards against cut answers: an estimate may be too short.
        times = (0, 1, 999, 1_000, 1_001, 60_000)
        for slow_ms, caller_left_ms, left_ms, drain_ms in itertools.product(
            times, times, times, (2_600, 7_600)
        ):
            late_ms = drain.ESTIMATE_FRACTION * drain_ms + 1
            request = drain.Request(slow_ms, caller_left_ms, late_ms)
            self.assertEqual(
                drain.can_finish(request, left_ms, drain_ms),
                caller_left_ms <= left_ms,
            )

    def test_no_cut_of_a_late_request_needs_an_excuse(self):
        # Guards against cuts of what was sent over 3 s after the signal, or
        # as late in a shorter drain.
        for grace_ms in (1_000, 3_000, 8_000):
            late_ms = drain.ESTIMATE_FRACTION * grace_ms
            self.assertLess(late_ms, 3_000 * grace_ms / 8_000)

    def test_an_early_request_is_accepted_by_an_estimate_too(self):
        for arrival_ms in (-500, 0, drain.ESTIMATE_FRACTION * 2_600):
            request = drain.Request(900, 8_000, arrival_ms)
            self.assertTrue(drain.can_finish(request, 901, 2_600))
            self.assertFalse(drain.can_finish(request, 899, 2_600))

    def test_an_early_request_is_accepted_by_its_own_limit(self):
        request = drain.Request(math.inf, 900, 0)
        self.assertTrue(drain.can_finish(request, 900, 2_600))


class DurationRatiosTest(unittest.TestCase):
    """Durations of the last requests."""

    def test_few_samples_give_no_estimate(self):
        ratios = drain.DurationRatios()
        ratios.record(300, 600)
        self.assertIsNone(ratios.quantile())

    def test_rare_slow_requests_set_the_quantile(self):
        ratios = drain.DurationRatios()
        for number in range(drain.MAX_SAMPLES):
            ratios.record(900 if number % 50 == 0 else 100, 1_000)
        self.assertEqual(ratios.quantile(), 0.9)

    def test_old_samples_are_dropped(self):
        ratios = drain.DurationRatios()
        for took_ms in (900, 100):
            for _ in range(drain.MAX_SAMPLES):
                ratios.record(took_ms, 1_000)
        self.assertEqual(ratios.quantile(), 0.1)

    def test_samples_without_a_longest_time_are_ignored(self):
        ratios = drain.DurationRatios()
        for longest_ms in (0, math.inf):
            for _ in range(drain.MAX_SAMPLES):
                ratios.record(100, longest_ms)
        self.assertIsNone(ratios.quantile())
