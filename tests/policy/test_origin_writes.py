"""How often a gateway calls the store for the origins of streams."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import domain
from clementinewall.policy import origin_writes

GATEWAYS = strategies.integers(0, 2_000)
CALLS = strategies.floats(0, 10_000)


class Intervals(unittest.TestCase):
    """Gateways that share the calls of a store."""

    @hypothesis.given(GATEWAYS, CALLS)
    @hypothesis.settings(derandomize=True)
    def test_all_together_stay_below_their_part(self, gateways, per_second):
        limits = domain.StoreLimits(per_second, per_second)
        for interval, fraction in (
            (origin_writes.write_interval_ms, origin_writes.WRITES_FRACTION),
            (origin_writes.read_interval_ms, origin_writes.READS_FRACTION),
        ):
            found = interval(gateways, limits)
            self.assertGreaterEqual(found, origin_writes.MIN_INTERVAL_MS)
            allowed = max(
                origin_writes.MIN_CALLS_PER_SECOND, fraction * per_second
            )
            self.assertLessEqual(1_000 * gateways / found, allowed * 1.001)

    @hypothesis.given(GATEWAYS, strategies.floats(0.1, 400))
    @hypothesis.settings(derandomize=True)
    def test_appends_leave_half_of_the_topic_free(self, gateways, append_ms):
        limits = domain.StoreLimits(100_000, append_ms=append_ms)
        found = origin_writes.write_interval_ms(gateways, limits)
        self.assertLessEqual(gateways * append_ms / found, 0.501)

    def test_rows_are_repeated_before_the_store_forgets_them(self):
        limits = domain.StoreLimits(keep_ms=20_000)
        self.assertEqual(origin_writes.repeat_after_ms(limits), 10_000)
        self.assertIsNone(origin_writes.repeat_after_ms(domain.StoreLimits()))


if __name__ == "__main__":
    unittest.main()
