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

    def crash(self, endpoint, strong=(), weak=()):
        """Record that an endpoint crashed during some requests."""
        for digest in strong:
            self.table.add(digest, endpoint)
        for digest in weak:
            self.table.add(digest, endpoint, strong=False)

    def test_a_request_of_more_crashes_is_not_excused_by_one_of_fewer(self):
        # Guards against a harmful request that is excused by one that only
        # waited at two of the engines, and is refused in its place.
        self.crash("e1", weak=["poison"])
        self.crash("e2", strong=["waiting"], weak=["poison"])
        self.crash("e3", strong=["waiting"], weak=["poison"])
        self.assertTrue(self.table.is_harmful("poison"))
        self.assertFalse(self.table.is_harmful("waiting"))

    def test_a_request_that_ran_beside_a_harmful_one_is_excused(self):
        # Guards against refusing streams that were cut by others' crashes.
        for name in ("e1", "e2"):
            self.crash(name, strong=["poison"], weak=["stream"])
        self.assertTrue(self.table.is_harmful("poison"))
        self.assertFalse(self.table.is_harmful("stream"))

    def test_three_crashes_are_never_excused(self):
        # Guards against harmful requests that excuse each other.
        for name in ("e1", "e2", "e3", "e4"):
            self.crash(name, strong=["first"])
        for name in ("e1", "e2"):
            self.crash(name, strong=["second"])
        self.assertFalse(self.table.is_harmful("second"))
        self.crash("e3", strong=["second"])
        self.assertTrue(self.table.is_harmful("second"))

    def test_records_of_harmful_requests_outlast_many_others(self):
        # Guards against a full table that forgets a harmful request.
        self.crash("e1", strong=["poison"])
        self.crash("e2", strong=["poison"])
        for number in range(2 * crashes.MAX_DIGESTS):
            self.clock.advance(1)
            self.crash("e3", strong=[f"other-{number}"])
        self.assertTrue(self.table.is_harmful("poison"))

    def test_records_are_kept_for_messages_only_as_long_as_they_are_sent(self):
        # Guards against memory that grows in a process that sends nothing.
        for number in range(2 * crashes.MAX_DIGESTS):
            self.clock.advance(10)
            self.crash("e1", strong=[f"request-{number}"])
        kept_ms = crashes.SPREAD_MS + crashes.EXPIRY_INTERVAL_MS
        self.assertLessEqual(len(self.table._new), kept_ms // 10 + 1)
