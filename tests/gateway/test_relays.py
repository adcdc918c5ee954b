"""Whom a gateway asks for a tunnel, and what it makes of the answers."""

import types
import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.gateway import relays as relays_module
from clementinewall.http1 import tunnel
from clementinewall.policy import relay_choice

ADDRESS = "10.0.1.1:1"
SETTINGS = domain.Settings(
    "i", "10.0.0.1", "a", "", "", "", 7, "10.0.0.9:1", domain.Bounds()
)


class RelaysTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that knows three others."""

    def setUp(self):
        """Answer requests for tunnels as each test says."""
        self.clock = clock.ManualClock(10_000)
        self.relays = relays_module.Relays(SETTINGS, None, self.clock.now)
        self.peers = [
            peer_messages.Heartbeat(f"10.0.0.{n}", "", "a", True, 10_000)
            for n in (2, 3, 4)
        ]
        self.relays.table = peer_table.PeerTable("10.0.0.1", self.clock.now)
        self.outcome_by_ip = {}
        self.asked = []
        patch = mock.patch.object(
            relays_module.tunnel, "open_tunnel", self.open_tunnel
        )
        patch.start()
        self.addCleanup(patch.stop)

    def connect(self):
        """Return a tunnel, while the peers are live as the test has them."""
        for peer in self.peers:
            self.relays.table.record_heartbeat(peer)
        return self.relays.connect(ADDRESS)

    async def open_tunnel(self, relay, _address, _limit_ms):
        """Open a tunnel or fail; a number is a status, or a wait in s."""
        ip = relay.rpartition(":")[0]
        self.asked.append(ip)
        outcome = self.outcome_by_ip.get(ip, 0.0)
        if isinstance(outcome, Exception):
            raise outcome
        if isinstance(outcome, int):
            raise tunnel.NotConnected(outcome)
        await anyio.sleep(outcome)
        return types.SimpleNamespace(relay_ip=ip)

    async def unreached(self):
        """Return the error of a search that finds no way."""
        with self.assertRaises(relays_module.Unreached) as caught:
            await self.connect()
        return caught.exception

    async def test_the_first_that_connects_is_used_again(self):
        self.outcome_by_ip = {"10.0.0.2": 504, "10.0.0.3": OSError("lost")}
        for _ in range(3):
            found = await self.connect()
            self.assertEqual(found.relay_ip, "10.0.0.4")
        self.assertEqual(self.asked[-2:], ["10.0.0.4"] * 2)

    async def test_a_gateway_that_does_not_answer_delays_little(self):
        # Guards against gateways that are cut off and don't know it yet.
        self.outcome_by_ip = {"10.0.0.2": 2.0, "10.0.0.3": 2.0}
        with anyio.fail_after(1):
            found = await self.connect()
        self.assertEqual(found.relay_ip, "10.0.0.4")

    async def test_an_endpoint_is_down_if_all_that_answer_are_refused(self):
        # Guards against an endpoint that one cut makes look down.
        self.outcome_by_ip = {ip: 502 for ip in ("10.0.0.2", "10.0.0.3")}
        self.outcome_by_ip["10.0.0.4"] = TimeoutError()
        found = await self.unreached()
        self.assertTrue(found.is_refused)
        self.outcome_by_ip["10.0.0.4"] = 504
        found = await self.unreached()
        self.assertFalse(found.is_refused)
        self.assertTrue(found.is_answered)

    async def test_without_an_answer_nothing_is_known(self):
        for peers in ([], self.peers):
            self.peers = peers
            self.outcome_by_ip = {p.ip: TimeoutError() for p in peers}
            found = await self.unreached()
            self.assertFalse(found.is_refused)
            self.assertFalse(found.is_answered)

    async def test_gateways_that_open_no_tunnels_tell_nothing(self):
        # Guards against a drain that makes an endpoint look down or well.
        self.outcome_by_ip = {p.ip: 503 for p in self.peers}
        self.assertFalse((await self.unreached()).is_answered)

    async def test_gateways_that_are_not_ready_are_not_asked(self):
        # Guards against tunnels through gateways that drain.
        self.peers[0] = self.peers[0]._replace(ready=False)
        for _ in range(20):
            await self.connect()
        self.assertNotIn("10.0.0.2", self.asked)
        self.assertFalse(self.relays.is_available("10.0.0.2", ADDRESS))

    async def test_tunnels_of_one_that_is_cut_off_by_now_are_left(self):
        # Guards against requests on tunnels that hang.
        await self.connect()
        self.relays.record_answer(ADDRESS, "10.0.0.2", False)
        self.assertFalse(self.relays.is_available("10.0.0.2", ADDRESS))
        self.assertTrue(self.relays.is_available("10.0.0.2", "10.0.1.2:1"))
        self.clock.advance(relay_choice.ANSWER_LIFETIME_MS)
        self.peers = [p._replace(received_at=12_000) for p in self.peers]
        await self.connect()
        self.clock.advance(1)
        self.assertTrue(self.relays.is_available("10.0.0.2", ADDRESS))
        self.clock.advance(relay_choice.ANSWER_LIFETIME_MS)
        self.relays.sweep()
        self.assertEqual(self.relays._memory._answer_by_address_and_ip, {})

    async def test_a_search_leaves_a_data_centre_that_is_cut_off(self):
        # Guards against asking only gateways that share the cut.
        self.cut_off_data_centre()
        found = await self.connect()
        self.assertIn(found.relay_ip, ("10.0.0.2", "10.0.0.3", "10.0.0.4"))

    async def test_searches_ask_all_gateways_before_any_twice(self):
        # Guards against a few gateways with a way that no search ever asks.
        self.cut_off_data_centre()
        self.outcome_by_ip = {p.ip: 504 for p in self.peers}
        searches = -(-len(self.peers) // relay_choice.MAX_ASKED)
        for number in range(searches):
            with self.assertRaises(relays_module.Unreached):
                await self.relays.connect(f"10.0.1.{number}:1")
            self.clock.advance(1)
        self.assertEqual(set(self.asked), {p.ip for p in self.peers})

    async def test_who_reaches_one_endpoint_is_asked_first_for_others(self):
        # Guards against a search for each of many endpoints.
        self.cut_off_data_centre()
        found = await self.connect()
        for number in range(10):
            self.asked.clear()
            again = await self.relays.connect(f"10.0.1.{number}:1")
            self.assertEqual(self.asked, [found.relay_ip])
            self.assertEqual(again.relay_ip, found.relay_ip)

    async def test_who_connects_is_asked_first_by_gateways_that_are_told(self):
        # Guards against a few gateways with a way among hundreds without.
        self.cut_off_data_centre()
        self.assertIsNone(self.relays.message())
        found = await self.connect()
        message = {relays_module.MESSAGE_KEY: self.relays.message()}
        table = self.relays.table
        self.relays = relays_module.Relays(SETTINGS, None, self.clock.now)
        self.relays.table = table
        self.relays.take(message, "10.0.2.1")
        self.asked.clear()
        await self.connect()
        self.assertEqual(self.asked, [found.relay_ip])

    async def test_what_others_tell_of_unknown_gateways_is_ignored(self):
        # Guards against tunnels to any address that somebody names.
        self.cut_off_data_centre()
        for row, error in (
            (["10.0.0.2", "soon"], ValueError),
            (["10.0.0.2", -1], ValueError),
            (["10.0.0.2"], ValueError),
            (7, TypeError),
        ):
            with self.subTest(row=row), self.assertRaises(error):
                self.relays.take({relays_module.MESSAGE_KEY: [row]}, "")
        self.relays.take({relays_module.MESSAGE_KEY: [["10.9.9.9", 0]]}, "")
        self.relays.take({}, "")
        self.assertIsNone(self.relays.message())

    async def test_whom_a_search_asked_in_vain_is_logged_together(self):
        # Guards against a cut of which no line tells who was asked.
        self.cut_off_data_centre()
        self.outcome_by_ip = {p.ip: 504 for p in self.peers}
        for number in range(2):
            with self.assertRaises(relays_module.Unreached):
                await self.relays.connect(f"10.0.1.{number}:1")
        with mock.patch.object(
            relays_module._log, "info", autospec=True
        ) as info:
            self.relays.sweep()
            self.relays.sweep()
        info.assert_called_once()
        told = info.call_args.kwargs
        self.assertEqual(told["searches"], 2)
        self.assertEqual(told["asked_near"] + told["asked_far"], 16)
        self.assertEqual(told["answered_504"], 16)

    def cut_off_data_centre(self):
        """Let the three others stand elsewhere, and know many that are cut."""
        near = [f"10.0.2.{number}" for number in range(24)]
        self.outcome_by_ip = {ip: tunnel.ENDPOINT_UNREACHED for ip in near}
        self.peers = [p._replace(data_centre="b") for p in self.peers]
        self.peers += [
            peer_messages.Heartbeat(ip, "", "a", True, 10_000) for ip in near
        ]
        for peer in self.peers:
            self.relays.table.record_heartbeat(peer)
