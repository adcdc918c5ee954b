"""Which gateways are alive, from direct and forwarded heartbeats."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.policy import dissemination
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

    def test_data_centres_take_turns_in_the_line_for_orders(self):
        # Guards against a line whose whole front is cut off from an engine.
        for number in range(2, 26):
            sent = heartbeat(f"10.0.0.{number}", self.clock.now())
            self.table.record_heartbeat(sent)
        self.assertEqual(self.table.order_rank("a"), 0)
        # By address, all the others come before the own one.
        self.table._own_ip = "10.0.1.1"
        self.assertEqual(self.table.group_rank(), 24)
        self.assertEqual(self.table.order_rank("b"), 1)

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


def beat(ip, incarnation, count, sent_at=0, is_ready=True):
    """Return a heartbeat with a count."""
    return dissemination.Beat(ip, incarnation, count, is_ready, sent_at)


def facts(ip, incarnation):
    """Return what stays the same for a process."""
    return dissemination.Facts(ip, incarnation, f"{ip}:80", "a")


class Beats(unittest.TestCase):
    """Heartbeats that other gateways pass on."""

    def setUp(self):
        """Start with the facts of one other gateway."""
        self.clock = clock.ManualClock(10_000)
        self.table = peer_table.PeerTable(OWN, self.clock.now)
        self.table.merge_facts([facts("10.0.0.2", 5)])

    def live(self):
        """Return the addresses of the gateways that count as alive."""
        return sorted(heartbeat.ip for heartbeat in self.table.live())

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 3), strategies.integers(1, 9)
            ),
            min_size=1,
        )
    )
    @hypothesis.settings(derandomize=True)
    def test_the_newest_counts_in_any_order(self, versions):
        # Copies arrive by several ways, late and more than once.
        self.setUp()
        self.table.merge_facts([facts("10.0.0.2", 9)])
        for incarnation, count in versions:
            self.table.merge_beats(
                [beat("10.0.0.2", incarnation, count, 10_000)]
            )
        (known,) = self.table.beats()
        self.assertEqual(known[1:3], max(versions))

    def test_an_old_copy_does_not_bring_a_dead_gateway_back(self):
        # Guards against gateways that keep each other believing in a dead
        # one: a copy that was delayed on its way claims to be young.
        self.table.merge_beats([beat("10.0.0.2", 5, 8, 10_000)])
        self.clock.advance(peer_table.HEARTBEAT_TIMEOUT_MS + 1)
        now = self.clock.now()
        for incarnation, count in ((5, 8), (5, 7), (4, 99)):
            self.table.merge_beats([beat("10.0.0.2", incarnation, count, now)])
        self.assertEqual(self.live(), [])
        self.assertEqual(self.table.beats(), [])

    def test_heartbeats_count_once_the_facts_are_known(self):
        # Callers can't be sent to a gateway whose address isn't known.
        rows = [beat("10.0.0.3", 1, 1, 10_000), beat("10.0.0.2", 6, 1, 10_000)]
        missing = self.table.merge_beats(rows)
        self.assertEqual(missing, ["10.0.0.3", "10.0.0.2"])
        self.assertEqual(self.live(), [])
        self.table.merge_facts([facts("10.0.0.3", 1), facts("10.0.0.2", 6)])
        self.assertEqual(self.table.merge_beats(rows), [])
        self.assertEqual(self.live(), ["10.0.0.2", "10.0.0.3"])

    def test_a_new_process_voids_what_the_one_before_sent(self):
        # Guards against engines that seem busy with the work of a process
        # that has ended.
        self.table.merge_beats([beat("10.0.0.2", 5, 8, 10_000)])
        work = {"e1": peer_messages.Work((), 3, 0)}
        self.table.record_state(
            "10.0.0.2",
            peer_messages.GatewayState(
                heartbeat("10.0.0.2", 10_000), work, {}
            ),
        )
        self.assertEqual(len(self.table.states()), 1)
        self.table.merge_facts([facts("10.0.0.2", 6)])
        self.table.merge_beats([beat("10.0.0.2", 6, 1, 10_000)])
        self.assertEqual(self.table.states(), [])

    def test_states_of_gateways_that_left_the_cell_are_dropped(self):
        for ip in ("10.0.0.2", "10.0.0.3"):
            self.table.record_state(
                ip, peer_messages.GatewayState(heartbeat(ip, 10_000), {}, {})
            )
        self.table.keep_states({"10.0.0.3"})
        self.assertEqual(
            [state.heartbeat.ip for state in self.table.states()], ["10.0.0.3"]
        )

    def test_a_state_from_the_own_address_is_ignored(self):
        # Guards against a process that ends since another one on its machine
        # sent a datagram: no heartbeat is kept for the own address.
        self.table.record_state(
            OWN, peer_messages.GatewayState(heartbeat(OWN, 10_000), {}, {})
        )
        self.assertEqual(self.table.states(), [])

    def test_draining_is_known_with_the_next_heartbeat(self):
        self.table.merge_beats([beat("10.0.0.2", 5, 1, 10_000)])
        self.table.merge_beats([beat("10.0.0.2", 5, 2, 9_990, False)])
        self.assertFalse(self.table.live()[0].ready)

    def test_arrivals_are_reported_once(self):
        self.table.merge_beats([beat("10.0.0.2", 5, 1, 10_000)])
        self.assertEqual(self.table.take_arrivals(), {"10.0.0.2"})
        self.table.merge_beats([beat("10.0.0.2", 5, 2, 10_000)])
        self.assertEqual(self.table.take_arrivals(), set())
        self.clock.advance(peer_table.HEARTBEAT_TIMEOUT_MS + 1)
        self.table.merge_beats([beat("10.0.0.2", 5, 3, self.clock.now())])
        self.assertEqual(self.table.take_arrivals(), {"10.0.0.2"})


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
        work = {"e1": peer_messages.Work(rows, 3, here - 7, 70)}
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
        self.assertEqual(got.work_by_endpoint_id["e1"].tokens, 70)

    def test_a_gateway_of_the_version_before_is_understood(self):
        # Guards against gateways that don't hear each other while a fleet is
        # updated: rows of work keep their three fields.
        work = {"e1": peer_messages.Work((), 3, 0, 70)}
        sent = peer_messages.GatewayState(heartbeat("10.0.0.2", 0), work, {})
        data = peer_messages.encode_state(sent, 0)
        self.assertEqual(len(data["work"]["e1"]), 3)
        del data["held"]
        got = peer_messages.decode_state(data, 0)
        self.assertEqual(got.work_by_endpoint_id["e1"].tokens, 0)

    def test_malformed_tokens_are_refused(self):
        # Guards against a datagram after which no engine has room.
        work = {"e1": peer_messages.Work((), 3, 0, 70)}
        sent = peer_messages.GatewayState(heartbeat("10.0.0.2", 0), work, {})
        data = peer_messages.encode_state(sent, 0)
        for held in (-1, 1.5, "7", True, None, 2**60):
            data["held"] = {"e1": held}
            with self.assertRaises(ValueError):
                peer_messages.decode_state(data, 0)
