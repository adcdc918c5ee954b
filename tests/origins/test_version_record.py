"""The record of the versions that served lately, shared through the store."""

import types
import unittest

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import software_versions
from clementinewall.origins import version_record
from clementinewall.platform import store
from tests.gateway import test_placing

STEP_MS = 500
SETTINGS = types.SimpleNamespace(store="127.0.0.1:1")


class Topic:
    """The topic of the record, as all gateways see it."""

    def __init__(self):
        """Start without a record, in a store that answers."""
        self.values = []
        self.is_away = False
        self.reads = 0

    async def newest(self, _topic):
        """Return the newest record."""
        if self.is_away:
            raise errors.LogUnavailable("away")
        self.reads += 1
        end = len(self.values)
        rows = [
            store.Record(version_record.KEY, value, end - 1)
            for value in self.values[-1:]
        ]
        return store.Batch(tuple(rows), end)

    async def append(self, _topic, _key, value, at):
        """Append a record if the topic ends at an offset."""
        if self.is_away:
            raise errors.LogUnavailable("away")
        if at != len(self.values):
            return None
        self.values.append(value)
        return at


class Gateway:
    """A gateway's view of the fleet, and its part in the record."""

    def __init__(self, topic, ticker, rank=0):
        """Start at ``rank`` in line, without endpoints."""
        self.versions = software_versions.SoftwareVersions(ticker.now)
        self.view = types.SimpleNamespace(
            versions=self.versions,
            is_fleet_known=True,
            is_current=True,
            current_since=ticker.now(),
        )
        self.record = version_record.VersionRecord(
            SETTINGS, self.view, lambda: rank, ticker.now
        )
        self.record._store = topic
        self.engine_by_version = {}

    def add(self, version):
        """Let an engine of a version appear."""
        engine = test_placing.engine(1, "decode", version=version)
        self.engine_by_version[version] = engine
        self.versions.apply(None, engine)

    def remove(self, version):
        """Let the engine of a version leave."""
        self.versions.apply(self.engine_by_version.pop(version), None)

    @property
    def recent(self):
        """Return the versions that may have begun a stream."""
        return set(self.versions.recent("model"))


class Record(unittest.TestCase):
    """Gateways that come and go, and the record that stays."""

    def setUp(self):
        """Start with an empty topic."""
        self.topic = Topic()
        self.ticker = clock.ManualClock(100_000)

    def gateway(self, *versions, rank=0):
        """Start a gateway beside engines of some versions."""
        gateway = Gateway(self.topic, self.ticker, rank)
        for version in versions:
            gateway.add(version)
        return gateway

    def run_for(self, duration_ms, *gateways):
        """Let time pass, and gateways follow it."""

        async def poll(gateway):
            try:
                await gateway.record._poll()
            except errors.LogUnavailable:
                self.assertTrue(self.topic.is_away)

        for _ in range(duration_ms // STEP_MS):
            for gateway in gateways:
                anyio.run(poll, gateway)
                gateway.versions.expire()
            self.ticker.advance(STEP_MS)

    def test_a_gateway_that_starts_knows_what_left_before(self):
        # Guards against versions that end with the processes that saw them.
        first = self.gateway("v1", "v2")
        self.run_for(STEP_MS, first)
        second = self.gateway("v2")
        self.assertLess(second.versions.known_ms, second.versions.retention_ms)
        self.run_for(STEP_MS, second)
        self.assertEqual(second.recent, {"v1", "v2"})
        self.assertEqual(
            second.versions.known_ms, second.versions.retention_ms
        )

    def test_a_version_is_dropped_after_its_streams_have_ended(self):
        gateway = self.gateway("v1", "v2")
        self.run_for(STEP_MS, gateway)
        gateway.remove("v1")
        self.run_for(gateway.versions.retention_ms, gateway)
        self.run_for(2 * STEP_MS, gateway)
        self.assertEqual(gateway.recent, {"v2"})
        later = self.gateway("v2")
        self.run_for(STEP_MS, later)
        self.assertEqual(later.recent, {"v2"})

    def test_a_version_is_kept_while_gateways_restart_again_and_again(self):
        # Guards against a retention that counts from before a restart.
        self.run_for(STEP_MS, self.gateway("v1", "v2"))
        for _ in range(4):
            gateway = self.gateway("v2")
            self.run_for(gateway.versions.retention_ms // 2, gateway)
        self.assertEqual(gateway.recent, {"v1", "v2"})

    def test_an_unchanged_record_costs_one_read_and_no_write(self):
        self.run_for(STEP_MS, self.gateway("v1"))
        reads = self.topic.reads
        gateway = self.gateway("v1")
        self.run_for(20 * STEP_MS, gateway)
        self.assertEqual(self.topic.reads, reads + 1)
        self.assertEqual(len(self.topic.values), 1)

    def test_the_next_in_line_writes_if_the_first_does_not(self):
        # Guards against a version that only a stopped gateway would record.
        gateways = [self.gateway("v1", rank=rank) for rank in (1, 2, 3)]
        self.run_for(10 * STEP_MS, *gateways)
        self.assertEqual(len(self.topic.values), 1)

    def test_one_writes_although_the_first_of_the_line_do_not(self):
        # Guards against a version that nobody records while the machines of
        # the first in line, with their neighbours, are cut from the store.
        gateways = [self.gateway("v1", rank=rank) for rank in (5, 6, 40)]
        self.run_for(12 * STEP_MS, *gateways)
        self.assertEqual(len(self.topic.values), 1)

    def test_those_far_in_line_read_once_for_a_new_version(self):
        first, far = self.gateway("v1"), self.gateway("v1", rank=20)
        self.run_for(STEP_MS, first, far)
        for gateway in (first, far):
            gateway.add("v2")
        reads = self.topic.reads
        self.run_for(60 * STEP_MS, first, far)
        self.assertEqual(self.topic.reads, reads + 2)
        self.assertEqual(len(self.topic.values), 2)

    def test_a_store_that_was_away_gets_the_record_later(self):
        gateway = self.gateway("v1")
        self.topic.is_away = True
        self.run_for(4 * STEP_MS, gateway)
        self.assertEqual(gateway.versions.known_ms, 0)
        self.topic.is_away = False
        self.run_for(2 * STEP_MS, gateway)
        self.assertEqual(len(self.topic.values), 1)

    def test_what_came_and_left_while_cut_off_is_read(self):
        # Guards against a version that a gateway can't have seen.
        gateway = self.gateway("v1")
        self.run_for(STEP_MS, gateway)
        self.run_for(STEP_MS, self.gateway("v1", "v2"))
        gateway.view.current_since = self.ticker.now()
        self.run_for(STEP_MS, gateway)
        self.assertEqual(gateway.recent, {"v1", "v2"})

    def test_what_came_back_while_cut_off_is_kept_as_long_again(self):
        # Guards against a removal by one that saw a version leave earlier.
        gateway = self.gateway("v1", "v2")
        self.run_for(STEP_MS, gateway)
        gateway.remove("v2")
        retention_ms = gateway.versions.retention_ms
        self.run_for(retention_ms - 20 * STEP_MS, gateway)
        gateway.view.current_since = self.ticker.now()
        self.run_for(retention_ms - 2 * STEP_MS, gateway)
        self.assertEqual(gateway.recent, {"v1", "v2"})
        self.run_for(6 * STEP_MS, gateway)
        self.assertEqual(gateway.recent, {"v1"})

    def test_a_record_that_cannot_be_read_is_no_knowledge(self):
        # Guards against a record of another build that counts as empty.
        self.topic.values.append(b"[3]")
        gateway = self.gateway("v1")
        gateway.versions.record_read(self.ticker.now())
        self.run_for(4 * STEP_MS, gateway)
        versions = gateway.versions
        self.assertLess(versions.known_ms, versions.retention_ms)
        self.assertEqual(len(self.topic.values), 1)
        self.run_for(versions.retention_ms, gateway)
        self.assertEqual(versions.known_ms, versions.retention_ms)
        self.assertEqual(len(self.topic.values), 2)

    def test_an_answer_of_expired_records_does_not_end_the_task(self):
        # Guards against the end of the process, which runs all in one group.
        gateway = self.gateway("v1")

        async def newest(_topic):
            raise store.HistoryExpired("expired")

        gateway.record._store = types.SimpleNamespace(newest=newest)

        async def run():
            with anyio.move_on_after(0.1) as scope:
                await gateway.record.run()
            return scope.cancelled_caught

        self.assertTrue(anyio.run(run))
