"""Which parts most prompts share."""

import unittest

from clementinewall import clock
from clementinewall.membership import part_shares


class Shares(unittest.TestCase):
    """Prompts of one service, unless said otherwise."""

    def setUp(self):
        """Start without prompts."""
        self.clock = clock.ManualClock(3_000)
        self.shares = part_shares.PartShares(self.clock.now)

    def count(self, times, *parts, service="s"):
        """Count some equal prompts."""
        for _ in range(times):
            self.shares.count(service, parts)

    def test_a_part_of_half_of_the_prompts_is_common(self):
        self.count(10, "first", "a")
        self.count(8, "second")
        self.assertIn("first", self.shares.common)
        self.assertNotIn("second", self.shares.common)

    def test_a_part_of_few_prompts_is_not(self):
        self.count(5, "first")
        self.count(20, "second")
        self.assertNotIn("first", self.shares.common)

    def test_few_prompts_tell_nothing(self):
        # Guards against sparing a harmful part for the first prompts seen.
        self.count(part_shares.MIN_PROMPTS - 1, "first")
        self.assertNotIn("first", self.shares.common)

    def test_shares_are_those_of_the_last_spans(self):
        self.count(20, "first")
        self.clock.advance(2 * part_shares.SPAN_MS)
        self.count(10, "second")
        self.assertNotIn("first", self.shares.common)
        self.assertIn("second", self.shares.common)

    def test_services_are_counted_apart(self):
        self.count(10, "first")
        self.count(100, "second", service="t")
        self.assertIn("first", self.shares.common)
        self.assertIn("second", self.shares.common)

    def test_a_change_is_told(self):
        self.count(part_shares.MIN_PROMPTS - 1, "first")
        self.assertTrue(self.shares.count("s", ("first",)))
        self.assertFalse(self.shares.count("s", ("first",)))


if __name__ == "__main__":
    unittest.main()
