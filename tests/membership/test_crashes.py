"""Which requests count as crashing endpoints."""

import unittest

from clementinewall import clock
from clementinewall.membership import crashes
from clementinewall.membership import members


class CrashTableTest(unittest.TestCase):
    """Crash records of one entry or gateway, and of its peers."""

    def setUp(self):
        """Start without crash records."""
        self.clock = clock.ManualClock()
        self.table = crashes.CrashTable(self.clock.now)

    def test_two_crashed_endpoints_make_a_request_harmful(self):
        self.table.add("poison", "e1")
        self.assertFalse(self.table.is_harmful("poison"))
        self.table.add("poison", "e2")
        self.assertTrue(self.table.is_harmful("poison"))

    def test_an_answered_request_is_not_harmful(self):
        # A harmless request could be refused to all callers: many ask for
        # the same stock level, and two endpoints go down for another reason
        # while both run that request.
        self.table.clear("stock")
        self.table.add("stock", "e1")
        self.table.add("stock", "e2")
        self.assertFalse(self.table.is_harmful("stock"))

    def test_records_of_peers_do_not_make_an_answered_request_harmful(self):
        self.table.add("stock", "e1")
        self.table.clear("stock")
        peer = [members.Crash("stock", name, 10, True) for name in "ab"]
        self.table.merge(peer)
        self.assertFalse(self.table.is_harmful("stock"))

    def test_an_answered_request_leaves_the_bounded_table(self):
        # The table of answered requests is bounded; once dropped from it, a
        # request may get crash records again.
        self.table.clear("old")
        for number in range(crashes.MAX_CLEARED):
            self.table.clear(f"w{number}")
        self.table.add("old", "e1")
        self.table.add("old", "e2")
        self.assertTrue(self.table.is_harmful("old"))
