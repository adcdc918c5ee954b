"""Values that are written under the lease, and its renewal."""

import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.duties import lease
from clementinewall import errors
from clementinewall.platform import store

SETTINGS = domain.Settings(
    "i", "10.0.0.1", "a", "", "", "", 1, "10.0.0.9:1", domain.Bounds()
)
KEY = "usage"


class FakeStore:
    """A topic whose calls are counted."""

    def __init__(self):
        """Start empty."""
        self.records = []
        self.calls = 0
        self.loses = None

    async def newest(self, _topic):
        """Return the newest record of each key."""
        self.calls += 1
        newest = {record.key: record for record in self.records}
        return store.Batch(tuple(newest.values()), len(self.records))

    async def append(self, _topic, key, value, at):
        """Append if the topic ends at ``at``; lose the call or its answer."""
        self.calls += 1
        if self.loses == "call":
            raise errors.LogUnavailable("lost")
        if at != len(self.records):
            return None
        self.records.append(store.Record(key, value, at))
        if self.loses == "answer":
            raise errors.LogUnavailable("no answer")
        return at


class Writes(unittest.TestCase):
    """Two claimants with one store."""

    def setUp(self):
        """Let the first one claim."""
        self.store = FakeStore()
        self.clock = clock.ManualClock(1_000)
        self.first, self.second = (
            lease.Lease(
                SETTINGS._replace(ip=f"10.0.0.{n}"), self.clock, "t", "holder"
            )
            for n in range(2)
        )
        for claimant in (self.first, self.second):
            claimant._store = self.store
        self.assertTrue(anyio.run(self.first.renew))

    def write(self, claimant, value, previous=None):
        """Write and return whether that was done."""
        return anyio.run(claimant.write, KEY, value, previous)

    def take_over(self):
        """Let the second one claim after the first."""
        anyio.run(self.second.refresh)
        self.clock.advance(self.second.takeover_wait_ms)
        self.assertTrue(anyio.run(self.second.renew))

    def test_writes_and_renewals_follow_each_other_in_one_call_each(self):
        # Guards against calls of the store that the next offset spares.
        before = self.store.calls
        self.assertTrue(self.write(self.first, b"1"))
        self.assertTrue(anyio.run(self.first.renew))
        self.assertTrue(self.write(self.first, b"2", b"1"))
        self.assertEqual(self.store.calls - before, 3)

    def test_token_never_decreases(self):
        # Guards against a token that follows a higher one.
        tokens = [self.first.token]
        current, other = self.first, self.second
        for _ in range(4):
            self.assertTrue(anyio.run(current.renew))
            tokens.append(current.token)
            anyio.run(other.refresh)
            self.clock.advance(other.takeover_wait_ms)
            self.assertTrue(anyio.run(other.claim))
            tokens.append(other.token)
            self.assertFalse(anyio.run(current.renew))
            self.assertFalse(anyio.run(current.claim))
            current, other = other, current
        self.assertEqual(tokens, sorted(set(tokens)))

    def test_write_after_another_claim_changes_nothing(self):
        # Guards against a decision of a holder that was suspended.
        self.take_over()
        self.first._held = lease.HeldLease(0, self.clock.now() + 1_000)
        self.assertFalse(self.write(self.first, b"1"))
        self.assertFalse(self.first.is_held())
        self.assertEqual(self.store.records[-1].key, "holder")

    def test_write_without_the_lease_is_not_sent(self):
        # Guards against calls of the store that can't succeed.
        self.clock.advance(lease.LEASE_MS)
        before = self.store.calls
        self.assertFalse(self.write(self.first, b"1"))
        self.assertEqual(self.store.calls, before)

    def test_write_over_a_value_read_since_is_refused(self):
        # Guards against a decision on what another holder has replaced.
        self.assertTrue(self.write(self.first, b"1"))
        self.assertFalse(self.write(self.first, b"2"))
        self.assertTrue(self.write(self.first, b"2", b"1"))

    def test_after_a_write_without_an_answer_the_value_is_read(self):
        # Guards against a decision that is written twice, differently.
        for loses, found in (("call", None), ("answer", b"1")):
            with self.subTest(loses):
                self.setUp()
                self.store.loses = loses
                with self.assertRaises(errors.LogUnavailable):
                    self.write(self.first, b"1")
                self.store.loses = None
                self.assertFalse(self.write(self.first, b"2"))
                self.assertTrue(anyio.run(self.first.renew))
                self.assertEqual(self.first.value_by_key.get(KEY), found)

    def test_next_holder_reads_what_the_last_one_wrote(self):
        # Guards against a takeover that knows no decision.
        self.assertTrue(self.write(self.first, b"1"))
        self.take_over()
        self.assertEqual(self.second.value_by_key, {KEY: b"1"})

    def test_claim_of_an_earlier_process_is_told_apart(self):
        # Guards against a restarted holder that acts as if it had gone on.
        self.assertFalse(self.first.is_claim_of_predecessor)
        restarted = lease.Lease(
            SETTINGS._replace(ip="10.0.0.0"), self.clock, "t", "holder"
        )
        restarted._store = self.store
        anyio.run(restarted.refresh)
        self.assertTrue(restarted.is_claim_of_predecessor)
        self.assertEqual(restarted.claimant, "10.0.0.0")
        self.assertTrue(anyio.run(restarted.renew))
        self.assertFalse(restarted.is_claim_of_predecessor)
