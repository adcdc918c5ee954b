"""When a gateway sends its work to its peers."""

import random
import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import cell_membership
from clementinewall.gateway import crash_guard
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.gateway import peers
from clementinewall.gateway import topic_updates
from clementinewall.gateway import update_exchange
from clementinewall.platform import store
from clementinewall.policy import dissemination

OWN = "10.0.0.1"
OTHER = "10.0.0.2"
SETTINGS = domain.Settings(
    instance="gateway-1",
    ip=OWN,
    data_centre="a",
    callers=f"{OWN}:1",
    ready="",
    directory="",
    peer_port=1,
    store="",
    bounds=domain.Bounds(),
)
ENGINE = domain.Endpoint(
    "e1", "model", "10.0.1.1:1", "a", 16, False, domain.PREFILL, 1
)


class _Wire:
    """Stores sent messages in place of a socket."""

    def __init__(self):
        self.messages = []

    def send(self, raw, ips):
        """Store the message for each receiver."""
        message = peer_messages.load(raw)
        self.messages.extend((ip, message) for ip in ips)


class _OnePeer(unittest.TestCase):
    """A gateway with one peer and one engine."""

    def setUp(self):
        """Start with one live peer and an idle socket."""
        self.ticker = clock.ManualClock(100_000)
        now = self.ticker.now
        known = fleet_view.FleetView(now)
        known.endpoint_by_id = {"e1": ENGINE}
        self.endpoints = endpoints.Endpoints(known, now)
        self.peers = peers.Peers(
            SETTINGS,
            now,
            lambda: True,
            self.endpoints,
            crash_guard.CrashGuard(now),
            cell_membership.CellMembership(SETTINGS, known, now),
        )
        self.wire = _Wire()
        self.peers._datagrams = self.wire
        heartbeat = peer_messages.Heartbeat(
            OTHER, f"{OTHER}:1", "a", True, now()
        )
        self.peers.table.record_heartbeat(heartbeat)
        self.peers._cell_membership.update([OTHER])
        # The peer gets the state since it was just heard for the first time.
        self.peers._send()
        self.wire.messages.clear()
        self.ticker.advance(50)


class TellPrompt(_OnePeer):
    """New prompts, told to the peer."""

    def begin(self, cost_ms):
        """Begin a prompt and announce it."""
        job = self.endpoints.state(ENGINE).begin_prompt(1, cost_ms)
        self.peers.announce_prompt(job)

    def jobs_told(self):
        """Return how many prompts each message names."""
        return [
            len(message["state"]["work"]["e1"][2])
            for _, message in self.wire.messages
            if "state" in message
        ]

    def test_news_of_a_source_without_data_are_left_out(self):
        # Guards against calm days that pay for what a cut has to tell.
        self.peers.news_source_by_key["relays"] = lambda: None
        self.assertNotIn("relays", self.peers._news())
        self.peers.news_source_by_key["relays"] = lambda: [[OTHER, 5]]
        self.assertEqual(self.peers._news()["relays"], [[OTHER, 5]])

    def test_a_prompt_is_announced_before_its_body_is_sent(self):
        # The body of a long prompt saturates the link.  A datagram sent after
        # it is lost, and other gateways take the engine for idle.
        self.begin(300.0)
        self.assertEqual(self.jobs_told(), [1])

    def test_a_long_prompt_is_announced_again(self):
        self.begin(300.0)
        self.peers._send()
        self.assertEqual(self.jobs_told(), [1])
        self.ticker.advance(peers.REPEAT_DELAY_MS)
        self.peers._send()
        self.assertEqual(self.jobs_told(), [1, 1])
        self.peers._send()
        self.assertEqual(self.jobs_told(), [1, 1])

    def test_simultaneous_prompts_share_a_datagram(self):
        # Announced one by one, a burst would send hundreds of datagrams.
        for _ in range(5):
            self.begin(5.0)
        self.assertEqual(self.jobs_told(), [1])
        self.ticker.advance(self.peers._gap_ms())
        self.peers._send()
        self.assertEqual(self.jobs_told(), [1, 5])


class Exchange(_OnePeer):
    """What goes to which peer, and when."""

    def hear(self, *ips, ready=True):
        """Record a heartbeat of each address."""
        for ip in ips:
            self.peers.table.record_heartbeat(
                peer_messages.Heartbeat(
                    ip, f"{ip}:1", "a", ready, self.ticker.now()
                )
            )

    def states_to(self, ip):
        """Return the states sent to an address, and forget all messages."""
        found = [
            message["state"]
            for to, message in self.wire.messages
            if to == ip and "state" in message
        ]
        self.wire.messages.clear()
        return found

    def test_an_unchanged_state_is_repeated_ever_more_rarely(self):
        # Guards against hundreds of datagrams a second that say nothing new.
        times = []
        for _ in range(1_200):
            self.ticker.advance(50)
            self.hear(OTHER)
            self.peers._send()
            if self.states_to(OTHER):
                times.append(self.ticker.now())
        gaps = [after - before for before, after in zip(times, times[1:])]
        self.assertEqual(gaps, sorted(gaps))
        self.assertEqual(gaps[-1], peers.MAX_REPEAT_INTERVAL_MS)
        self.assertLess(len(times), 15)

    def test_a_lost_change_is_repeated_soon(self):
        # Guards against an engine that seems idle, or busy, for seconds since
        # one datagram got lost.
        self.endpoints.state(ENGINE).streams = 1
        self.peers._send()
        self.assertEqual(len(self.states_to(OTHER)), 1)
        self.ticker.advance(peers.REPEAT_INTERVAL_MS)
        self.peers._send()
        (state,) = self.states_to(OTHER)
        self.assertEqual(state["work"]["e1"][0], 1)

    def test_an_engine_that_changes_its_stage_is_told_at_once(self):
        # Guards against work for an engine that takes none.
        self.endpoints.apply_unavailability("e1", 3_000)
        self.peers._send()
        (state,) = self.states_to(OTHER)
        self.assertEqual(set(state["away"]), {"e1"})

    def test_a_peer_that_was_silent_gets_the_state(self):
        # Guards against a restarted gateway that takes busy engines for idle
        # ones until their work changes.
        self.ticker.advance(peer_table.HEARTBEAT_TIMEOUT_MS + 100)
        self.peers._send()
        self.states_to(OTHER)
        self.hear(OTHER)
        self.peers._send()
        self.assertEqual(len(self.states_to(OTHER)), 1)

    def test_an_arrival_costs_the_rest_of_the_cell_nothing(self):
        # Guards against a start of many gateways in which each tells its
        # whole cell its state whenever one more is heard.
        self.hear("10.0.0.3")
        self.peers._cell_membership.update([OTHER, "10.0.0.3"])
        self.peers._send()
        receivers = [ip for ip, m in self.wire.messages if "state" in m]
        self.assertEqual(receivers, ["10.0.0.3"])

    def test_facts_that_are_missing_are_asked_for_and_told(self):
        rows = [dissemination.Beat("10.0.0.7", 3, 1, True, 0)]
        columns = peer_messages.encode_beats(rows, 0)
        raw = peer_messages.dump({"beats": columns})
        self.peers._receive(raw, OTHER)
        asked = [m["ask"] for _, m in self.wire.messages if "ask" in m]
        self.assertEqual(asked, [["10.0.0.7"]])
        # A burst of messages makes one question.
        self.peers._receive(raw, OTHER)
        self.assertEqual(
            len([m for _, m in self.wire.messages if "ask" in m]), 1
        )
        self.wire.messages.clear()
        self.peers._receive(peer_messages.dump({"ask": [OWN]}), OTHER)
        ((ip, message),) = self.wire.messages
        self.assertEqual((ip, message["facts"][0][0]), (OTHER, OWN))

    def test_a_newcomer_gets_an_answer(self):
        # Guards against a gateway that starts and waits to be noticed.
        beat = dissemination.Beat("10.0.0.7", 3, 1, True, 0)
        facts = dissemination.Facts("10.0.0.7", 3, "10.0.0.7:1", "a")
        raw = peer_messages.dump(
            {"beats": peer_messages.encode_beats([beat], 0), "facts": [facts]}
        )
        self.peers._receive(raw, "10.0.0.7")
        self.assertEqual([ip for ip, _ in self.wire.messages], ["10.0.0.7"])
        self.peers._receive(raw, "10.0.0.7")
        self.assertEqual(len(self.wire.messages), 1)

    def test_what_one_part_cant_read_costs_that_part(self):
        # Guards against a part of another build that silences all others.
        self.peers.table.remove(OTHER)
        beat = dissemination.Beat(OTHER, 1, 1, True, self.ticker.now())
        message = {
            "state": 5,
            "marks": [1],
            "parts": 7,
            "kept": [[]],
            "signs": [["x", 1]],
            "facts": [[OTHER, 1, f"{OTHER}:1", "a"]],
            "beats": peer_messages.encode_beats([beat], self.ticker.now()),
            "limits": [["e1", 1, "10.0.1.1:1", 5.0, 0]],
        }
        self.peers._receive(peer_messages.dump(message), OTHER)
        self.assertTrue(self.peers.table.is_live(OTHER))
        self.assertTrue(self.endpoints.request_limits.message())

    def test_heartbeats_go_out_whatever_else_fails(self):
        # Guards against a gateway that all others give up for its own state.
        self.ticker.advance(dissemination.ROUND_INTERVAL_MS)
        with mock.patch.object(
            self.endpoints,
            "work_by_endpoint_id",
            autospec=True,
            side_effect=TypeError,
        ):
            self.peers._send()
        self.assertIn("beats", self.wire.messages[-1][1])

    def test_a_key_that_is_no_address_is_no_gateway(self):
        # Guards against datagrams to a name, which is looked up at each.
        for key in ("host.example", "\x00", "::1", "10.0.0.300", ""):
            self.peers.take(store.Record(key, b"1", 1))
        self.peers.take(store.Record("10.0.0.7", b"1", 2))
        self.assertEqual({*self.peers.table.ips}, {OTHER, "10.0.0.7"})

    def test_an_exchange_whose_socket_was_closed_begins_anew(self):
        # Guards against a gateway that hears nobody until its next start.
        self.wire.is_closed = True
        self.wire.close = lambda: None
        with (
            mock.patch.object(
                peers.datagrams,
                "open_socket",
                autospec=True,
                return_value=self.wire,
            ),
            self.assertRaises(OSError),
        ):
            anyio.run(self.peers.run)

    def test_unreadable_datagrams_of_one_sender_are_logged_once(self):
        # Guards against logs that a foreign sender fills.
        with mock.patch.object(peers, "_log", autospec=True) as log:
            for _ in range(50):
                self.peers._receive(b"\xff", "10.0.0.66")
            self.assertEqual(log.warning.call_count, 1)
            self.ticker.advance(peers.UNREADABLE_LOG_INTERVAL_MS)
            self.peers._receive(b"\xff", "10.0.0.66")
            self.assertEqual(log.warning.call_count, 2)

    def test_one_gateway_reads_for_all_while_none_is_ready(self):
        # Guards against a fleet whose start takes thousands of calls to the
        # store: none is ready before a configuration is published.
        self.ticker.advance(peer_table.HEARTBEAT_TIMEOUT_MS + 1)
        self.hear("10.0.0.0", "10.0.0.9", ready=False)
        self.assertEqual(self.peers.table.group_rank(), 1)

    def test_a_large_update_goes_down_a_tree(self):
        # Guards against a thin link that is busy for long since one gateway
        # sends a whole configuration to all others.
        others = [f"10.0.0.{n}" for n in range(2, 40)]
        self.hear(*others)
        update = topic_updates.TopicUpdate("topic", 3, 4, (), 0)
        self.peers.updates.relay_update(update)
        sent = [ip for ip, m in self.wire.messages if "relay" in m]
        self.assertEqual(len(sent), 2)
        taken = []
        self.peers.updates.on_update("topic", taken.append)
        message = {
            "relay": topic_updates.encode(update._replace(end=5)),
            "origin": others[-1],
        }
        self.wire.messages.clear()
        for _ in range(3):
            self.peers._receive(peer_messages.dump(message), others[-1])
        self.assertEqual(taken[0].end, 5)
        sent = [ip for ip, m in self.wire.messages if "relay" in m]
        group = [OWN, *others]
        self.assertEqual(sent, dissemination.children(OWN, others[-1], group))

    def test_an_update_that_would_fill_a_thin_link_is_not_relayed(self):
        value = random.Random(1).randbytes(update_exchange.MAX_RELAY_BYTES)
        row = store.Record("config", value, 3)
        self.peers.updates.relay_update(
            topic_updates.TopicUpdate("topic", 3, 4, (row,), 0)
        )
        self.assertEqual(self.wire.messages, [])


class Forged(unittest.TestCase):
    """Forged datagrams from hosts that are not gateways."""

    def test_infinite_numbers_do_not_end_the_process(self):
        now = clock.ManualClock(100_000).now
        known = fleet_view.FleetView(now)
        known.endpoint_by_id = {"e1": ENGINE}
        found = peers.Peers(
            SETTINGS,
            now,
            lambda: True,
            endpoints.Endpoints(known, now),
            crash_guard.CrashGuard(now),
            cell_membership.CellMembership(SETTINGS, known, now),
        )
        heartbeat = ["10.0.0.2", "", "a", True, 0]
        state = {"sign": heartbeat, "work": {}, "away": {}}
        endless = float("inf")
        for message in (
            {"kept": [["p", "e1", endless, 0]]},
            {"state": state, "read": [], "changed": [["e1", "p", endless]]},
        ):
            with self.subTest(message=message):
                found._receive(peer_messages.dump(message), OTHER)
