"""Which gateways are alive, from direct and forwarded heartbeats."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.policy import prefill_queue

OWN = "10.0.0.1"


def heartbeat(ip, received_at, ready=True):
    """Return a heartbeat."""
    return peer_messages.Heartbeat(ip, f"{ip}:80", "a", ready, received_at)


class Table(unittest.TestCase):
    """Heartbeats in any order."""

    def setUp(self):
        """Start empty."""
        self.clock = clock.ManualClock()
        self.table = peer_table.PeerTable(OWN, self.clock.now)

    def live(self):
        """Return the addresses of the gateways that count as alive."""
        return sorted(heartbeat.ip for heartbeat in self.table.live())

    @hypothesis.given(strategies.lists(strategies.integers(0, 9), min_size=1))
    @hypothesis.settings(derandomize=True)
    def test_the_latest_heartbeat_counts_whoever_forwards_it(self, moments):
        # Several gateways forward heartbeats of a third one.  An old one that
        # arrives late must not make a dead gateway count as alive.
        self.setUp()
        for moment in moments:
            self.table.record_heartbeat(heartbeat("10.0.0.2", moment))
        self.clock.advance(max(moments) + peer_table.HEARTBEAT_TIMEOUT_MS)
        self.assertEqual(self.live(), ["10.0.0.2"])
        self.clock.advance(1)
        self.assertEqual(self.live(), [])

    def test_forwarded_heartbeats_do_not_keep_a_dead_gateway_alive(self):
        # Gateways forward forwarded heartbeats.  If their age did not count
        # from the origin, a dead gateway would stay alive for ever.
        self.table.record_heartbeat(heartbeat("10.0.0.2", 0))
        for _ in range(20):
            self.clock.advance(200)
            for known in self.table.live():
                self.table.record_heartbeat(known)
        self.assertEqual(self.live(), [])

    def test_a_restarted_gateway_stays_a_member(self):
        # A gateway is killed and returns after three seconds.  Callers must
        # not be sent there meanwhile, but cells must not be reassigned.
        self.table.record_heartbeat(heartbeat("10.0.0.2", 0))
        self.clock.advance(3_000)
        self.assertEqual(self.live(), [])
        self.assertEqual(self.table.members(), ["10.0.0.2"])
        self.clock.advance(peer_table.MEMBER_TIMEOUT_MS)
        self.assertEqual(self.table.members(), [])

    def test_registered_gateways_are_members_before_their_first_heartbeat(
        self,
    ):
        self.table.register("10.0.0.2")
        self.table.register(OWN)
        self.assertEqual(self.table.members(), ["10.0.0.2"])
        self.assertEqual(self.live(), [])

    def test_own_forwarded_heartbeat_is_ignored(self):
        self.table.record_heartbeat(heartbeat(OWN, 0))
        self.assertEqual(self.live(), [])


class Messages(unittest.TestCase):
    """States sent between machines with independent clocks."""

    @hypothesis.given(
        strategies.integers(0, 10**9),
        strategies.integers(0, 10**9),
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9), strategies.integers(0, 500)
            ),
            max_size=4,
        ),
    )
    @hypothesis.settings(derandomize=True)
    def test_times_are_sent_as_ages(self, here, there, jobs):
        rows = tuple(
            prefill_queue.Job(urgency, 30, here - age) for urgency, age in jobs
        )
        work = {"e1": peer_messages.Work(rows, 3, here - 7)}
        sent = peer_messages.GatewayState(
            heartbeat("10.0.0.2", here), work, {"e2": 40}
        )
        raw = json.dumps(peer_messages.encode_state(sent, here))
        got = peer_messages.decode_state(json.loads(raw), there)
        self.assertEqual(got.heartbeat, heartbeat("10.0.0.2", there))
        self.assertEqual(got.unavailable_ms_by_endpoint_id, {"e2": 40})
        for old, new in zip(
            rows, got.work_by_endpoint_id["e1"].jobs, strict=True
        ):
            self.assertEqual(here - old.sent_at, there - new.sent_at)
            self.assertEqual(old[:2], new[:2])
