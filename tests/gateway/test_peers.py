"""When a gateway sends its work to its peers."""

import unittest

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import cell_membership
from clementinewall.gateway import crash_guard
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peers

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


class TellPrompt(unittest.TestCase):
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
            cell_membership.CellMembership(SETTINGS, known),
        )
        self.wire = _Wire()
        self.peers._datagrams = self.wire
        heartbeat = peer_messages.Heartbeat(
            OTHER, f"{OTHER}:1", "a", True, now()
        )
        self.peers.table.record_heartbeat(heartbeat)
        self.peers._cell_membership.update([OTHER])

    def begin(self, cost_ms):
        """Begin a prompt and announce it."""
        job = self.endpoints.state(ENGINE).begin_prompt(1, cost_ms)
        self.peers.announce_prompt(job)

    def jobs_told(self):
        """Return how many prompts each message names."""
        return [
            len(message["state"]["work"]["e1"][2])
            for _, message in self.wire.messages
        ]

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
            cell_membership.CellMembership(SETTINGS, known),
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
