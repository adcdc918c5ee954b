"""Which gateway holds the lease of the duties."""

import typing
import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.duties import holder
from clementinewall.duties import lease
from tests.duties import test_write

WAIT_MS = lease.LEASE_MS + 3_000 + lease.MARGIN_MS


class Peer(typing.NamedTuple):
    """What a heartbeat says."""

    ip: str
    ready: bool = True


class Table:
    """The gateways that are heard."""

    def __init__(self, ips):
        """Hear ``ips``, a set that tests change."""
        self._ips = ips
        self.is_complete = True

    def live(self):
        """Return their heartbeats."""
        return [Peer(ip) for ip in self._ips]


class Holders(unittest.TestCase):
    """Gateways that may hold the lease, with one store and clock."""

    def setUp(self):
        """Start three gateways."""
        self.clock = clock.ManualClock(1_000)
        self.store = test_write.FakeStore()
        self.ips = set()
        self.ready = set()
        # Calls to the service: when, by whom, with which token.
        self.calls = []
        self.holders = {}
        for ip in ("10.0.0.1", "10.0.0.2", "10.0.0.3"):
            self.start(ip)

    def start(self, ip):
        """Start a gateway, or its next process."""
        settings = domain.Settings(
            "i", ip, "a", "", "", "", 1, "10.0.0.9:1", domain.Bounds()
        )
        found = holder.DutyHolder(
            settings, Table(self.ips), lambda: ip in self.ready, self.clock
        )
        found._lease._store = self.store
        self.holders[ip] = found
        self.ips.add(ip)
        self.ready.add(ip)

    def kill(self, ip):
        """End a gateway without notice."""
        del self.holders[ip]
        self.ips.discard(ip)
        self.ready.discard(ip)

    def run_for(self, ms, paused=()):
        """Let all that aren't paused act every 250 ms."""
        for _ in range(0, ms, 250):
            self.clock.advance(250)
            for ip, found in list(self.holders.items()):
                if ip not in paused:
                    anyio.run(found.poll)
                    self.act(ip)

    def act(self, ip):
        """Call the service if that is allowed."""
        found = self.holders[ip]
        if anyio.run(found.ensure) and found.is_held():
            found.record_call()
            self.calls.append((self.clock.now(), ip, found.token))

    def order(self):
        """Return who called, in turn."""
        found = []
        for _, ip, _ in self.calls:
            if found[-1:] != [ip]:
                found.append(ip)
        return found

    def assert_safe(self):
        """Check tokens and the time between calls of two holders."""
        tokens = [token for _, _, token in self.calls]
        self.assertEqual(tokens, sorted(tokens))
        for before, after in zip(self.calls, self.calls[1:]):
            if before[1] != after[1]:
                self.assertGreater(after[0] - before[0], 3_000)
                self.assertGreater(after[2], before[2])

    def test_first_in_line_begins_and_goes_on(self):
        # Guards against two holders at the start of all gateways.
        self.run_for(20_000)
        self.assertEqual(self.order(), ["10.0.0.1"])
        self.assert_safe()

    def test_next_one_takes_over_from_a_killed_holder(self):
        # Guards against duties that nobody has after a loss.
        self.run_for(6_000)
        self.kill("10.0.0.1")
        self.run_for(WAIT_MS + 6_000)
        self.assertEqual(self.order(), ["10.0.0.1", "10.0.0.2"])
        self.assert_safe()

    def test_restarted_holder_leaves_the_duties_to_others(self):
        # Guards against reports without what the holder's own process had
        # counted, which only the other candidates know.
        self.run_for(6_000)
        self.kill("10.0.0.1")
        self.run_for(500)
        self.start("10.0.0.1")
        self.run_for(WAIT_MS + 9_000)
        self.assertEqual(self.order(), ["10.0.0.1", "10.0.0.2"])
        self.assert_safe()

    def test_restarted_holder_without_others_goes_on(self):
        # Guards against a wait for others where there are none.
        self.kill("10.0.0.2")
        self.kill("10.0.0.3")
        self.run_for(6_000)
        self.kill("10.0.0.1")
        self.start("10.0.0.1")
        self.calls.clear()
        self.run_for(holder.FIRST_CLAIM_DELAY_MS + 1_500)
        self.assertEqual(self.order(), ["10.0.0.1"])

    def test_paused_holder_finds_its_lease_expired(self):
        # Guards against calls of a suspended holder beside the next one's.
        self.run_for(6_000)
        self.run_for(WAIT_MS + 8_000, paused={"10.0.0.1"})
        self.assertFalse(self.holders["10.0.0.1"].is_held())
        self.run_for(6_000)
        self.assertEqual(self.order(), ["10.0.0.1", "10.0.0.2"])
        self.assert_safe()

    def test_stopping_holder_hands_over(self):
        # Guards against duties that wait for a holder that stops, and that
        # claims again and again until its end.
        self.run_for(6_000)
        self.ready.discard("10.0.0.1")
        for found in self.holders.values():
            found._table.live = lambda: [Peer(ip) for ip in self.ready]
        before = self.store.calls
        self.run_for(4_000)
        self.assertLess(self.store.calls - before, 6)
        self.run_for(9_000)
        self.assertEqual(self.order(), ["10.0.0.1", "10.0.0.2"])
        self.assert_safe()

    def test_holder_that_is_no_candidate_any_more_hands_over(self):
        # Guards against a holder that the others send no counts any more,
        # since gateways with lower addresses have come.
        self.run_for(6_000)
        for number in range(3):
            self.start(f"10.0.0.0{number}")
        self.run_for(20_000)
        self.assertEqual(self.order()[0], "10.0.0.1")
        self.assertEqual(len(self.order()), 2)
        self.assertTrue(self.order()[1].startswith("10.0.0.0"))
        self.assert_safe()

    def test_store_that_is_down_is_not_asked_without_end(self):
        # Guards against a holder that acts while its claim is unknown.
        self.run_for(6_000)
        self.calls.clear()
        self.store.loses = "call"
        self.run_for(lease.LEASE_MS)
        self.calls.clear()
        self.run_for(4_000)
        self.assertEqual(self.calls, [])
        self.store.loses = None
        self.run_for(3_000)
        self.assertEqual(self.order(), ["10.0.0.1"])
        self.assert_safe()
