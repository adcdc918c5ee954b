"""Taking turns in reading the store."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import store_polling

PACE = store_polling.PollCycle(0, 500)


class Turns(unittest.TestCase):
    """Gateways that hear one another, and some that don't."""

    @hypothesis.given(strategies.integers(1, 400))
    @hypothesis.settings(derandomize=True, max_examples=60)
    def test_one_reads_for_each_group(self, gateways):
        names = [f"10.0.{n // 200}.{n % 200}" for n in range(gateways)]
        lines = {tuple(store_polling.group(n, names)) for n in names}
        self.assertEqual(sorted(sum(map(list, lines), [])), sorted(names))
        self.assertLess(max(map(len, lines)), 1.5 * store_polling.GROUP_SIZE)
        readers = [n for n in names if store_polling.rank(n, names) == 0]
        self.assertEqual(len(readers), len(lines))

    def test_whoever_hears_nobody_reads(self):
        # A gateway that is cut off from all others gets no news.  Waiting
        # for it, it would serve by an old configuration.
        self.assertEqual(store_polling.rank("10.0.0.7", []), 0)

    def test_patience_is_bounded_however_long_the_line(self):
        # All gateways but the last are killed at once, and it still counts
        # them as alive: it must read before the deployment's bound, which
        # is four cycles for the fleet.
        waits = [store_polling.max_age_ms(PACE, n) for n in range(100)]
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(waits[0], PACE.gap_ms)
        self.assertGreater(waits[1], PACE.cycle_ms)
        self.assertLessEqual(max(waits), 2 * PACE.cycle_ms)

    def test_a_store_that_is_away_is_asked_by_few(self):
        # The store is away for nine seconds.  Asked by all of 61 gateways
        # five times a second, each call is refused and paid for.
        waits = [store_polling.retry_ms(PACE, n) for n in range(61)]
        calls_a_second = sum(1_000 / wait for wait in waits)
        self.assertLess(calls_a_second, 61 * 2.1)
        self.assertEqual(waits[0], store_polling.RETRY_MS)

    @hypothesis.given(
        strategies.integers(0, 2_000),
        strategies.integers(0, 2_000),
        strategies.integers(0, 63),
    )
    @hypothesis.settings(derandomize=True)
    def test_nobody_waits_longer_than_a_cycle(self, wait_ms, gap_ms, place):
        # The others' news may be lost when the store is back; then each has
        # to find out for itself, within the deployment's bound.
        pace = store_polling.PollCycle(wait_ms, gap_ms)
        found = store_polling.retry_ms(pace, place)
        self.assertGreaterEqual(found, store_polling.RETRY_MS)
        longest = max(pace.cycle_ms, store_polling.RETRY_MS)
        self.assertLessEqual(found, longest)
