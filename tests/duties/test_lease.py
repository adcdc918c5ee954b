"""The lease of the gateway that gives orders to engines."""

import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.duties import lease
from clementinewall import errors
from clementinewall import logs
from clementinewall.platform import store


class FakeStore:
    """The topic of leases, shared by all claimants of a test."""

    def __init__(self):
        """Start without a claim."""
        self.records = []
        self.lose_answer = False

    async def newest(self, _topic):
        """Return the newest claim."""
        found = tuple(self.records[-1:])
        return store.Batch(found, len(self.records))

    async def append(self, _topic, key, value, at):
        """Append if the topic ends at ``at``."""
        if at != len(self.records):
            return None
        self.records.append(store.Record(key, value, at))
        if self.lose_answer:
            raise errors.LogUnavailable("no answer")
        return at


SETTINGS = domain.Settings(
    "i", "10.0.0.1", "a", "", "", "", 1, "10.0.0.9:1", domain.Bounds()
)


class Leases(unittest.TestCase):
    """Two claimants with one store and clocks of their own."""

    def setUp(self):
        """Make the claimants."""
        self.store = FakeStore()
        self.clocks = [clock.ManualClock(1_000), clock.ManualClock(77)]
        self.first, self.second = (
            lease.Lease(SETTINGS._replace(ip=f"10.0.0.{n}"), ticker)
            for n, ticker in enumerate(self.clocks)
        )
        for claimant in (self.first, self.second):
            claimant._store = self.store

    def claim(self, claimant):
        """Claim and return whether the lease is held."""
        return anyio.run(claimant.claim)

    def advance(self, ms):
        """Let time pass for both."""
        for ticker in self.clocks:
            ticker.advance(ms)

    def test_time_that_a_claim_was_seen_counts_towards_the_wait(self):
        self.assertTrue(self.claim(self.first))
        anyio.run(self.second.refresh)
        self.advance(self.second._takeover_wait_ms - 1)
        self.assertFalse(self.claim(self.second))
        self.advance(1)
        self.assertTrue(self.claim(self.second))

    def test_renewed_claim_restarts_the_wait_of_one_that_saw_it(self):
        self.assertTrue(self.claim(self.first))
        anyio.run(self.second.refresh)
        self.advance(self.second._takeover_wait_ms - 1)
        self.assertTrue(self.claim(self.first))
        self.advance(1)
        self.assertFalse(self.claim(self.second))

    def test_second_claimant_waits_out_the_first(self):
        # One engine gets conflicting orders from two holders within three
        # seconds, as an engine that ignores fencing tokens obeys both.
        self.assertTrue(self.claim(self.first))
        self.assertFalse(self.claim(self.second))
        self.advance(lease.LEASE_MS)
        self.assertFalse(self.first.is_held())
        self.assertFalse(self.claim(self.second))
        self.advance(SETTINGS.bounds.order_interval_ms + lease.MARGIN_MS)
        self.assertTrue(self.claim(self.second))
        self.assertGreater(self.second.token, self.first.token)

    def test_renewal_restarts_the_wait_of_another_claimant(self):
        self.claim(self.first)
        self.claim(self.second)
        self.advance(lease.LEASE_MS)
        self.assertTrue(self.claim(self.first))
        self.advance(SETTINGS.bounds.order_interval_ms + lease.MARGIN_MS)
        self.assertFalse(self.claim(self.second))

    def test_lease_ends_while_the_machine_is_suspended(self):
        # A holder that resumes still uses its lease although another gateway
        # holds it already, since the monotonic clock stops while a machine
        # is suspended.
        self.claim(self.first)
        self.clocks[0].suspended += lease.LEASE_MS
        self.assertFalse(self.first.is_held())

    def test_claim_without_an_answer_is_not_held(self):
        # A gateway sends orders on a claim that the store may not have
        # written, or may write seconds later, because its answer was lost.
        self.store.lose_answer = True
        with self.assertRaises(errors.LogUnavailable):
            self.claim(self.first)
        self.assertFalse(self.first.is_held())
        self.store.lose_answer = False
        self.assertFalse(self.claim(self.second))
        self.assertTrue(self.claim(self.first))

    def test_unreadable_claim_is_waited_out(self):
        self.store.records.append(store.Record(lease.STAGES_KEY, b"?", 0))
        self.assertFalse(self.claim(self.first))
        self.advance(
            lease.LEASE_MS + SETTINGS.bounds.order_interval_ms + 2_000
        )
        self.assertTrue(self.claim(self.first))

    def restart(self, claimant):
        """Return the next process of an instance."""
        number = (self.first, self.second).index(claimant)
        settings = SETTINGS._replace(ip=f"10.0.0.{number}")
        restarted = lease.Lease(settings, self.clocks[number])
        restarted._store = self.store
        return restarted

    def test_restarted_instance_does_not_wait_for_its_own_earlier_claim(self):
        self.assertTrue(self.claim(self.first))
        restarted = self.restart(self.first)
        self.assertTrue(self.claim(restarted))
        self.assertGreater(restarted.token, self.first.token)

    def test_restarted_instance_waits_for_the_claim_of_another(self):
        self.assertTrue(self.claim(self.first))
        self.assertFalse(self.claim(self.restart(self.second)))

    def test_nobody_waits_for_a_claim_that_was_released(self):
        self.assertTrue(self.claim(self.first))
        anyio.run(self.first.release)
        self.assertFalse(self.first.is_held())
        self.assertTrue(self.claim(self.restart(self.second)))

    def test_claim_is_not_released_right_after_an_order(self):
        self.claim(self.first)
        self.first.record_order()
        self.advance(SETTINGS.bounds.order_interval_ms + lease.MARGIN_MS - 1)
        anyio.run(self.first.release)
        self.assertFalse(self.claim(self.second))
        self.advance(1)
        anyio.run(self.first.release)
        self.assertTrue(self.claim(self.second))

    def test_restarted_instance_releases_what_it_finds_when_settled(self):
        self.claim(self.first)
        restarted = self.restart(self.first)
        anyio.run(restarted.refresh)
        anyio.run(restarted.release)
        self.assertTrue(restarted.has_unreleased_claim)
        self.advance(SETTINGS.bounds.order_interval_ms + lease.MARGIN_MS)
        anyio.run(restarted.release)
        self.assertTrue(self.claim(self.second))

    def test_claim_of_the_next_holder_is_not_released(self):
        self.claim(self.first)
        anyio.run(self.second.refresh)
        self.advance(self.second._takeover_wait_ms)
        self.assertTrue(self.claim(self.second))
        anyio.run(self.first.release)
        self.assertFalse(self.claim(self.first))

    def test_release_without_an_answer_allows_no_order(self):
        self.claim(self.first)
        self.store.lose_answer = True
        with self.assertRaises(errors.LogUnavailable):
            anyio.run(self.first.release)
        self.assertFalse(self.first.is_held())
        self.store.lose_answer = False
        self.assertTrue(self.claim(self.second))
        anyio.run(self.first.release)
        self.assertFalse(self.claim(self.first))

    def test_log_names_the_claim_that_a_gateway_waits_for_and_how_long(self):
        self.claim(self.first)
        self.advance(500)
        self.claim(self.second)
        self.advance(500)
        self.claim(self.second)
        waits = [
            line
            for line in logs.recent("10.0.0.0")
            if line["sentence"].startswith("waits")
        ]
        self.assertEqual(waits[-1]["token"], self.first.token)
        self.assertEqual(waits[-1]["left_ms"], self.second._takeover_wait_ms)
