"""Leases of instances that restart, are suspended or miss answers."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall import domain
from clementinewall.duties import lease
from clementinewall import errors
from clementinewall.platform import store

SETTINGS = domain.Settings(
    "i", "10.0.0.1", "a", "", "", "", 1, "10.0.0.9:1", domain.Bounds()
)
INSTANCES = 2
# How long an order may be in transit to an engine.
ORDER_TRANSIT_MS = 1_000

INSTANCE = strategies.integers(0, INSTANCES - 1)
ANSWER = strategies.sampled_from(["told"] * 9 + ["lost", "late", "refused"])
MS = strategies.sampled_from([0] * 6 + [1_000, 2_500, 5_000, 7_000])


class SlowStore:
    """One topic, whose answers may be lost and whose appends may be late."""

    def __init__(self):
        """Begin empty."""
        self.records = []
        self.late = []
        self.answer = "told"

    async def newest(self, _topic):
        """Return the newest record."""
        found = tuple(self.records[-1:])
        return store.Batch(found, len(self.records))

    async def append(self, _topic, key, value, at):
        """Append now, later or never, with or without an answer."""
        if self.answer == "refused":
            raise errors.LogUnavailable("refused")
        if self.answer == "late":
            self.late.append((key, value, at))
            raise errors.LogUnavailable("no answer")
        offset = self._append(key, value, at)
        if self.answer == "lost":
            raise errors.LogUnavailable("no answer")
        return offset

    def _append(self, key, value, at):
        if at != len(self.records):
            return None
        self.records.append(store.Record(key, value, at))
        return at

    def execute_late_append(self):
        """Carry out the oldest append that was late."""
        if self.late:
            self._append(*self.late.pop(0))

    def holder(self):
        """Return the instance with an unreleased claim, or ``None``."""
        if not self.records:
            return None
        data = json.loads(self.records[-1].value)
        return None if data["released"] else data["holder"]


class Holders:
    """Two instances that order one engine whenever they hold the lease."""

    def __init__(self):
        """Start all instances."""
        self.store = SlowStore()
        self.now = 0
        self.clocks = [clock.ManualClock(i) for i in range(INSTANCES)]
        self.leases = [self.started(i) for i in range(INSTANCES)]
        # When orders were sent, and by which instance.
        self.orders = []

    def started(self, number):
        """Return the lease of a process that has just started."""
        settings = SETTINGS._replace(ip=str(number))
        claimant = lease.Lease(settings, self.clocks[number])
        claimant._store = self.store
        return claimant

    def call(self, action, answer="told"):
        """Call the store; return ``None`` where it doesn't answer."""
        self.store.answer = answer
        try:
            # Nothing in the store of this test waits.
            action().send(None)
        except StopIteration as exc:
            return exc.value
        except errors.LogUnavailable:
            return None
        finally:
            self.store.answer = "told"

    def pass_time(self, by):
        """Let time pass for all."""
        self.now += by
        for ticker in self.clocks:
            ticker.advance(by)

    def suspend(self, number, by):
        """Suspend one instance while time passes for the others."""
        self.now += by
        for other, ticker in enumerate(self.clocks):
            if other == number:
                ticker.suspended += by
            else:
                ticker.advance(by)

    def restart(self, number):
        """Restart an instance; its new process reads the claim at once."""
        self.leases[number] = self.started(number)
        self.call(self.leases[number].refresh)

    def claim_and_order(self, number, answer, pause, suspended_ms):
        """Claim, pause, and order the engine if the lease is still held."""
        self.call(self.leases[number].claim, answer)
        self.pass_time(pause)
        self.suspend(number, suspended_ms)
        self.order_if_held(number)

    def release_and_order(self, number, answer, pause):
        """Release with the given answer, and order if still held."""
        self.pass_time(pause)
        self.call(self.leases[number].release, answer)
        self.order_if_held(number)

    def order_if_held(self, number):
        """Order the engine if the lease is held."""
        claimant = self.leases[number]
        if claimant.is_held():
            claimant.record_order()
            self.orders.append((self.now, number))

    def shortest_order_interval_ms(self):
        """Return the shortest time between orders of two instances."""
        pairs = zip(self.orders, self.orders[1:], strict=False)
        return min(
            (
                after - before - ORDER_TRANSIT_MS
                for (before, first), (after, second) in pairs
                if first != second
            ),
            default=SETTINGS.bounds.order_interval_ms,
        )


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just(Holders.claim_and_order),
            INSTANCE,
            ANSWER,
            MS,
            MS,
        ),
        strategies.tuples(
            strategies.just(Holders.release_and_order), INSTANCE, ANSWER, MS
        ),
        strategies.tuples(strategies.just(Holders.restart), INSTANCE),
    ),
    min_size=10,
    max_size=40,
)


class TwoHolders(unittest.TestCase):
    """Invariants for any actions and restarts of two instances."""

    @hypothesis.settings(max_examples=600, deadline=None, derandomize=True)
    @hypothesis.given(STEPS)
    def test_two_instances_never_order_in_quick_succession(self, steps):
        holders = Holders()
        for action, *values in steps:
            action(holders, *values)
            holders.store.execute_late_append()
        self.assertGreaterEqual(
            holders.shortest_order_interval_ms(),
            SETTINGS.bounds.order_interval_ms,
        )

    @hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
    @hypothesis.given(STEPS)
    def test_after_a_restart_of_all_the_last_holder_never_waits(self, steps):
        holders = Holders()
        for action, *values in steps:
            action(holders, *values)
        last = holders.store.holder()
        for number in range(INSTANCES):
            holders.restart(number)
        number = 0 if last is None else int(last)
        self.assertTrue(holders.call(holders.leases[number].claim))
        survivor = (number + 1) % INSTANCES
        holders.restart(survivor)
        holders.pass_time(holders.leases[survivor]._takeover_wait_ms)
        self.assertTrue(holders.call(holders.leases[survivor].claim))


class LateAppends(unittest.TestCase):
    """The store of the tests above."""

    def test_late_append_is_void_once_another_was_appended(self):
        slow = SlowStore()
        slow.late.append(("k", b"late", 0))
        slow._append("k", b"first", 0)
        slow.execute_late_append()
        self.assertEqual(len(slow.records), 1)
