"""Taking turns in reading the store."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import reading_turns

PACE = reading_turns.Pace(0, 500)


class Turns(unittest.TestCase):
    """Gateways that hear one another, and some that don't."""

    @hypothesis.given(strategies.integers(1, 400))
    @hypothesis.settings(derandomize=True, max_examples=60)
    def test_one_reads_for_each_group(self, gateways):
        names = [f"10.0.{n // 200}.{n % 200}" for n in range(gateways)]
        lines = {tuple(reading_turns.group(n, names)) for n in names}
        self.assertEqual(sorted(sum(map(list, lines), [])), sorted(names))
        self.assertLess(max(map(len, lines)), 1.5 * reading_turns.GROUP)
        readers = [n for n in names if reading_turns.place(n, names) == 0]
        self.assertEqual(len(readers), len(lines))

    def test_whoever_hears_nobody_reads(self):
        # A gateway that is cut off from all others gets no news.  Waiting
        # for it, it would serve by an old configuration.
        self.assertEqual(reading_turns.place("10.0.0.7", []), 0)

    def test_patience_is_bounded_however_long_the_line(self):
        # All gateways but the last are killed at once, and it still counts
        # them as alive: it must read before the deployment's bound, which
        # is four cycles for the fleet.
        waits = [reading_turns.patience_ms(PACE, n) for n in range(100)]
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(waits[0], PACE.gap_ms)
        self.assertGreater(waits[1], PACE.cycle_ms)
        self.assertLessEqual(max(waits), 2 * PACE.cycle_ms)
