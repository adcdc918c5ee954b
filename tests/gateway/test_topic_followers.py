"""Gateways that send each other what they read from the store."""

import json
import unittest
from unittest import mock

import anyio
import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import fleet_view
from clementinewall.gateway import topic_followers
from clementinewall.gateway import topic_updates
from clementinewall.platform import records
from clementinewall.platform import store

BOUNDS = domain.Bounds(8_000, 0.2, 10_000, 50, 5_000, 2_000, 2_000, 3_000)
SETTINGS = domain.Settings(
    "gateway-1",
    "10.0.0.1",
    "a",
    "10.0.0.1:1",
    "10.0.0.1:2",
    "10.0.0.1:3",
    7_000,
    "10.0.0.9:1",
    BOUNDS,
)
KEYS = ("e1", "e2", "e3")
STATES = ("ready", "ready", "draining", None, "odd")


class _Topic:
    """A topic that all gateways read."""

    late_ms = 0

    def __init__(self):
        self.records = []
        self.pages_after_end = 0
        self.waits_ms = []

    def write(self, key, state, born=1):
        """Append what an endpoint says, or remove it."""
        value = None
        if state is not None:
            row = {
                "service": "s",
                "address": "10.0.1.1:80",
                "zone": "a",
                "state": state,
                "born": born,
                "sequence": len(self.records),
            }
            value = json.dumps(row).encode()
        self.records.append(store.Record(key, value, len(self.records)))

    async def newest(self, _topic):
        """Return the newest records; some pages are read after the end."""
        by_key = {record.key: record for record in self.records}
        rows = [r for r in by_key.values() if r.value is not None]
        end = max(0, len(self.records) - self.pages_after_end)
        return store.Batch(tuple(rows), end)

    async def read(self, _topic, start, wait_ms=0):
        """Return what follows ``start``."""
        self.waits_ms.append(wait_ms)
        return store.Batch(tuple(self.records[start:]), len(self.records))


class _Peers:
    """Keeps what a gateway would tell the others."""

    def __init__(self):
        self.sent = []
        self.relayed = []

    def on_update(self, _topic, _take):
        """Nobody listens here; tests hand update on."""

    def send_update(self, update):
        """Keep the update as it would arrive."""
        raw = json.dumps(topic_updates.encode(update))
        self.sent.append(topic_updates.decode(json.loads(raw)))

    def relay_update(self, update):
        """Keep a large update as it would arrive."""
        raw = json.dumps(topic_updates.encode(update))
        self.relayed.append(topic_updates.decode(json.loads(raw)))

    def group_rank(self):
        """Return the first place."""
        return 0


class _Gateway:
    """One gateway's fleet_view of the endpoints, and how it follows them."""

    def __init__(self, log, now):
        self.fleet_view = fleet_view.FleetView(now)
        self.follower = topic_followers.fleet_follower(
            SETTINGS, now, self.fleet_view
        )
        self.follower._store = log
        self.peers = _Peers()
        self.follower.share_updates(self.peers)

    def step(self):
        """Read once."""
        anyio.run(self.follower._step)

    @property
    def known(self):
        """Return what is believed, without heartbeats."""
        return dict(self.fleet_view.endpoint_by_id)


class UpdateSharing(unittest.TestCase):
    """A reader and a listener that gets some of its datagrams."""

    def setUp(self):
        self.clock = clock.ManualClock()
        self.log = _Topic()

    def pair(self):
        """Return two gateways that have read what there is."""
        pair = [_Gateway(self.log, self.clock.now) for _ in range(2)]
        for gateway in pair:
            gateway.step()
        return pair

    writes = strategies.tuples(
        strategies.sampled_from(KEYS), strategies.sampled_from(STATES)
    )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.lists(writes, max_size=4),
                strategies.sampled_from(("told", "told", "lost", "read")),
                strategies.sampled_from((0, 0, 5_000)),
            ),
            max_size=12,
        ),
        strategies.integers(0, 3),
        strategies.lists(writes, max_size=5),
        strategies.lists(writes, max_size=3),
    )
    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    def test_the_listener_believes_what_the_reader_does(
        self, rounds, pages_after_end, first, second
    ):
        # A listener that misses a record sends work to an engine that left
        # long ago, or drops one that is running.  Heartbeats are not sent on,
        # datagrams get lost, records expire in outages, and pages of the
        # newest records may be newer than the end offset that they name.
        self.log = _Topic()
        self.write_all(first)
        listener = _Gateway(self.log, self.clock.now)
        listener.step()
        self.write_all(second)
        self.log.pages_after_end = min(pages_after_end, len(second))
        reader = _Gateway(self.log, self.clock.now)
        reader.step()
        for writes, fate, away_ms in rounds:
            if away_ms:
                reader.follower._record_failure(errors.LogUnavailable("down"))
                self.clock.advance(away_ms)
            self.write_all(writes)
            reader.step()
            if fate == "told":
                listener.follower.apply_update(reader.peers.sent[-1])
            if fate == "read":
                listener.step()
        reader.step()
        listener.follower.apply_update(reader.peers.sent[-1])
        if listener.follower._next != len(self.log.records):
            listener.step()
        self.clock.advance(fleet_view.LAPSE_GRACE_MS)
        for gateway in (reader, listener):
            gateway.fleet_view.expire()
        self.assertEqual(listener.known, reader.known)

    def test_a_record_of_an_earlier_life(self):
        # A gateway leaves out a healthy engine for good.  The last record of
        # the engine's earlier process arrives after the new one started, and
        # a gateway that starts then takes it for the newest.  The next
        # heartbeat changes nothing for others but must be sent to it.
        self.log.write("e1", "ready", born=2)
        reader = _Gateway(self.log, self.clock.now)
        reader.step()
        self.log.write("e1", "draining", born=1)
        reader.step()
        listener = _Gateway(self.log, self.clock.now)
        listener.step()
        self.log.write("e1", "ready", born=2)
        reader.step()
        listener.follower.apply_update(reader.peers.sent[-1])
        self.assertFalse(listener.known["e1"].draining)
        self.assertEqual(listener.known, reader.known)

    def write_all(self, writes):
        """Append what endpoints say."""
        for write in writes:
            self.log.write(*write)

    def test_heartbeats_are_not_told(self):
        self.log.write("e1", "ready")
        reader, _ = self.pair()
        for _ in range(5):
            self.log.write("e1", "ready")
            reader.step()
        self.assertEqual(reader.peers.sent[-1].records, ())

    def test_one_lost_message_is_made_up_for(self):
        self.log.write("e1", "ready")
        reader, listener = self.pair()
        self.log.write("e1", "draining")
        reader.step()
        reader.step()
        listener.follower.apply_update(reader.peers.sent[-1])
        self.assertTrue(listener.known["e1"].draining)

    def test_a_gap_is_read_and_not_guessed(self):
        # A draining engine stays in use after more updates were lost than the
        # next one covers.
        self.log.write("e1", "ready")
        reader, listener = self.pair()
        self.log.write("e1", "draining")
        for _ in range(topic_updates.READS_PER_UPDATE + 1):
            self.log.write("e2", "ready")
            reader.step()
        listener.follower.apply_update(reader.peers.sent[-1])
        self.assertFalse(listener.known["e1"].draining)
        self.assertLessEqual(listener.follower._due_at, self.clock.now())
        listener.step()
        self.assertTrue(listener.known["e1"].draining)

    def test_a_change_too_large_to_tell_is_read(self):
        # A configuration of 1,400 routes fits into no datagram, so the
        # update has to make the receivers read it.
        row = store.Record("config", b"x" * topic_updates.MAX_BYTES, 4)
        recent_reads = topic_updates.RecentReads(records.CONFIGURATION_TOPIC)
        update = recent_reads.add(4, 5, [row], 0)
        self.assertFalse(update.whole)
        self.assertEqual(update.records, ())
        self.assertEqual(update.end, 5)

    def configured(self):
        """Return two gateways that follow the configuration."""
        found = []
        for _ in range(2):
            known = fleet_view.FleetView(self.clock.now)
            follower = topic_followers.configuration_follower(
                SETTINGS, self.clock.now, known
            )
            follower._store = self.log
            follower.peers = _Peers()
            follower.share_updates(follower.peers)
            anyio.run(follower._step)
            found.append((follower, known))
        return found

    def publish(self, version):
        """Publish a configuration that is too large for an update."""
        routes = [{"filler": "x" * topic_updates.MAX_BYTES}]
        row = {
            "version": version,
            "services": [],
            "routes": [],
            "rest": routes,
        }
        raw = json.dumps(row).encode()
        self.log.records.append(
            store.Record("config", raw, len(self.log.records))
        )

    def test_a_large_change_is_relayed_and_not_read_by_all(self):
        # Guards against a call to the store by each of hundreds of gateways
        # for each new configuration.
        (reader, _), (listener, known) = self.configured()
        self.publish(7)
        anyio.run(reader._step)
        listener.apply_update(reader.peers.sent[-1])
        self.assertGreater(listener._due_at, self.clock.now())
        listener.apply_update(reader.peers.relayed[-1])
        self.assertEqual(known.configuration.version, 7)
        self.assertEqual(listener._due_at, float("inf"))

    def test_a_large_change_that_is_not_relayed_is_read_soon(self):
        # Guards against a gateway that serves with an old configuration since
        # the relayed change got lost, or one before it.
        (reader, _), (listener, known) = self.configured()
        self.publish(1)
        anyio.run(reader._step)
        self.publish(2)
        anyio.run(reader._step)
        listener.apply_update(reader.peers.relayed[-1])
        self.assertIsNone(known.configuration)
        self.assertLessEqual(listener._due_at, self.clock.now())
        anyio.run(listener._step)
        self.assertEqual(known.configuration.version, 2)

    def test_who_takes_over_reads_without_waiting(self):
        # Guards against all gateways reading at once since the one that took
        # over from a dead reader waits for a change before it sends word.
        (reader, _), (listener, _) = self.configured()
        anyio.run(reader._step)
        listener.apply_update(reader.peers.sent[-1])
        self.log.waits_ms.clear()
        anyio.run(listener._step)
        anyio.run(listener._step)
        self.assertEqual(self.log.waits_ms, [0, listener._cycle.wait_ms])

    def test_a_snapshot_that_was_read_before_is_followed_at_once(self):
        # Guards against a second read of all records at each start.
        registered = []
        follower = topic_followers.peers_follower(
            SETTINGS, self.clock.now, lambda r: registered.append(r.key)
        )
        follower._store = self.log
        reads = []
        follower.on_read = lambda: reads.append(len(registered))
        self.log.write("10.0.0.2", "ready")
        batch = store.Batch(tuple(self.log.records), 1)
        follower.start_from(batch)
        self.assertEqual(reads, [])
        self.assertLessEqual(follower._due_at, self.clock.now())
        self.log.write("10.0.0.3", "ready")
        anyio.run(follower._step)
        self.assertEqual(registered, ["10.0.0.2", "10.0.0.3"])
        self.assertEqual(reads, [2])

    @hypothesis.given(
        strategies.lists(strategies.integers(0, 30_000), max_size=40)
    )
    @hypothesis.settings(derandomize=True)
    def test_news_is_small_whatever_was_read(self, sizes):
        # Callers of the reading gateway get no data while it sends a large
        # update to 63 listeners over a link of 5 Mbit/s.
        recent_reads = topic_updates.RecentReads(records.CONFIGURATION_TOPIC)
        for offset, size in enumerate(sizes):
            row = store.Record("config", b"x" * size, offset)
            update = recent_reads.add(offset, offset + 1, [row], 0)
            raw = json.dumps(topic_updates.encode(update))
            self.assertLess(len(raw), 2_000)

    def test_of_many_configurations_only_the_newest_is_decoded(self):
        # Callers wait while configurations are decoded: one of 1,400 routes
        # takes milliseconds, and operators may write 25 within two seconds.
        known = fleet_view.FleetView(self.clock.now)
        follower = topic_followers.configuration_follower(
            SETTINGS, self.clock.now, known
        )
        follower._store = self.log
        anyio.run(follower._step)
        for version in range(1, 26):
            row = {"version": version, "routes": [], "services": []}
            raw = json.dumps(row).encode() if version < 25 else b"{"
            self.log.records.append(store.Record("config", raw, version - 1))
        with mock.patch.object(
            records, "configuration", wraps=records.configuration
        ) as decode:
            anyio.run(follower._step)
        # The newest is invalid, so the one before it is active.
        self.assertEqual(known.configuration.version, 24)
        self.assertEqual(decode.call_count, 2)

    def test_what_a_late_answer_says_is_as_old_as_its_call(self):
        # Guards against taking a late answer for what is in the store now.
        gateway = _Gateway(self.log, self.clock.now)
        self.clock.advance(10_000)
        self.log.late_ms = fleet_view.CURRENT_MS + 1
        gateway.step()
        self.assertFalse(gateway.fleet_view.is_current)
        self.log.late_ms = 5
        gateway.step()
        self.assertTrue(gateway.fleet_view.is_current)

    def test_what_lapsed_in_an_outage_stays_for_the_listener_too(self):
        # A listener drops each engine whose record expired in an outage and
        # refuses all work until they are back, if the reader, which alone
        # sees the outage, does not announce it.
        self.log.write("e1", "ready")
        reader, listener = self.pair()
        reader.follower._record_failure(errors.LogUnavailable("down"))
        self.clock.advance(5_000)
        self.log.write("e1", None)
        reader.step()
        listener.follower.apply_update(reader.peers.sent[-1])
        self.assertIn("e1", listener.known)
        self.clock.advance(fleet_view.LAPSE_GRACE_MS)
        listener.fleet_view.expire()
        self.assertNotIn("e1", listener.known)

    def test_a_record_that_fails_costs_none_after_it(self):
        # Guards against a reader that reads one record again without end.
        for key in KEYS:
            self.log.write(key, "ready")
        applied = []

        def apply_record(record):
            if record.key == "e2":
                raise UnicodeError("unexpected")
            applied.append(record.key)

        follower = topic_followers.peers_follower(
            SETTINGS, self.clock.now, apply_record
        )
        follower._store = self.log
        anyio.run(follower._step)
        self.assertEqual(applied, ["e1", "e3"])
        self.log.write("e2", "ready")
        self.log.write("e1", "ready")
        anyio.run(follower._step)
        self.assertEqual(applied, ["e1", "e3", "e1"])

    def test_a_store_away_for_one_gateway_only(self):
        # An engine that left gets work for two more seconds from a gateway
        # that the store refused.  Updates from peers kept that gateway
        # current, so it must drop the engine at once.
        self.log.write("e1", "ready")
        reader, cut_off = self.pair()
        cut_off.follower._record_failure(errors.LogUnavailable("busy"))
        for _ in range(20):
            self.clock.advance(400)
            reader.step()
            cut_off.follower.apply_update(reader.peers.sent[-1])
        self.log.write("e1", None)
        cut_off.step()
        self.assertNotIn("e1", cut_off.known)
