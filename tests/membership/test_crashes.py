"""Which work is held to crash endpoints."""

import unittest

from clementinewall import clock
from clementinewall.membership import crashes
from clementinewall.membership import members


class Marks(unittest.TestCase):
    """Marks of one entry or gateway, and of its peers."""

    def setUp(self):
        """Know of no crash."""
        self.clock = clock.ManualClock()
        self.table = crashes.CrashTable(self.clock.now)

    def test_two_crashed_endpoints_make_work_harmful(self):
        self.table.add("poison", "e1")
        self.assertFalse(self.table.is_harmful("poison"))
        self.table.add("poison", "e2")
        self.assertTrue(self.table.is_harmful("poison"))

    def test_a_question_that_is_answered_is_not_harmful(self):
        # Many callers ask for the same stock level.  Two endpoints go down
        # at once for a reason of their own, with that question open at both.
        # Held to be the cause, it would be refused to all callers.
        self.table.clear("stock")
        self.table.add("stock", "e1")
        self.table.add("stock", "e2")
        self.assertFalse(self.table.is_harmful("stock"))

    def test_marks_of_peers_don_t_bring_it_back(self):
        self.table.add("stock", "e1")
        self.table.clear("stock")
        peer = [members.Crash("stock", name, 10, True) for name in "ab"]
        self.table.merge(peer)
        self.assertFalse(self.table.is_harmful("stock"))

    def test_what_was_answered_is_forgotten_in_time(self):
        # The table is bounded; work that nobody asked for since then may be
        # marked again.
        self.table.clear("old")
        for number in range(crashes.MAX_CLEARED):
            self.table.clear(f"w{number}")
        self.table.add("old", "e1")
        self.table.add("old", "e2")
        self.assertTrue(self.table.is_harmful("old"))
