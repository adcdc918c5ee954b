"""At which version a stream began, told and asked between gateways."""

import types
import unittest

import anyio

from clementinewall import clock
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.gateway import software_versions
from clementinewall.gateway import stream_origins
from clementinewall.policy import stream_owners
from tests.gateway import test_placing

SERVICE = "model"
LIFETIME_MS = 5_000
STREAMS = 40
LONG_MS = 90_000


class Store:
    """What the gateways have written, and whether it can be read."""

    def __init__(self):
        """Start empty and readable."""
        self.row_by_attempt = {}
        self.versions_by_service = {}
        self.is_readable = True


class Access:
    """A gateway's access to the store: its record and its log."""

    def __init__(self, store, view):
        """Complete the versions of ``view``."""
        self._store = store
        self._view = view
        self.add_origin = None

    def add(self, attempt, service, version, lifetime_ms):
        """Write the origin of a stream."""
        end = self._view.now() + lifetime_ms
        self._store.row_by_attempt[attempt] = service, version, end

    def discard(self, attempt):
        """Drop the origin of a stream."""
        self._store.row_by_attempt.pop(attempt, None)

    async def read(self, _limit_ms):
        """Read all origins; return whether they were read."""
        if self._store.is_readable:
            for attempt, row in self._store.row_by_attempt.items():
                service, version, end = row
                left_ms = end - self._view.now()
                self.add_origin(attempt, service, version, left_ms)
        return self._store.is_readable

    async def read_endpoints(self, _limit_ms):
        """Return whether the endpoints were read anew."""
        return self._store.is_readable and self._view.is_current

    async def wait_until_read(self, _limit_ms):
        """Read which versions served before."""
        if self._store.is_readable:
            found = self._store.versions_by_service
            self._view.versions.add_served(found)
            self._view.versions.record_complete()


class Network:
    """Gateways whose messages arrive at once, unless a gateway is down.

    They have run for long, until :meth:`restart`.
    """

    def __init__(self, size, versions):
        """Create gateways that know each other and engines of ``versions``."""
        self.ticker = clock.ManualClock(100_000)
        self.down = set()
        self.sent = []
        self.store = Store()
        self.ips = [f"10.0.0.{n}" for n in range(1, size + 1)]
        self.view_by_ip = {}
        self.table_by_ip = {}
        self.origins_by_ip = {ip: self._gateway(ip) for ip in self.ips}
        for view in self.view_by_ip.values():
            view.versions.record_read(self.ticker.now() - LONG_MS)
        for version in versions:
            self.add_version(version)

    def _gateway(self, ip):
        now = self.ticker.now
        table = self.table_by_ip[ip] = peer_table.PeerTable(ip, now)
        self.hear(ip, self.ips)
        view = types.SimpleNamespace(
            versions=software_versions.SoftwareVersions(now),
            is_current=True,
            now=now,
        )
        self.view_by_ip[ip] = view
        access = Access(self.store, view)

        def send(raw, ips):
            for other in ips:
                self._deliver(raw, ip, other)

        origins = stream_origins.StreamOrigins(
            view, table, send, now, access, access, access.read_endpoints
        )
        access.add_origin = origins.add_logged
        return origins

    def hear(self, ip, others):
        """Let a gateway hear others now."""
        now = self.ticker.now()
        for other in others:
            beat = peer_messages.Heartbeat(other, f"{other}:1", "a", True, now)
            self.table_by_ip[ip].record_heartbeat(beat)

    def fall_silent(self, ip, heard):
        """Let a gateway hear those in ``heard`` only."""
        self.ticker.advance(2 * peer_table.HEARTBEAT_TIMEOUT_MS)
        self.hear(ip, heard)

    def _deliver(self, raw, sender, ip):
        self.sent.append((sender, ip))
        if not {sender, ip} & self.down:
            self.origins_by_ip[ip].take(peer_messages.load(raw), sender)

    def add_version(self, version, ips=None):
        """Let gateways, by default all, learn of an engine of a version."""
        engine = test_placing.engine(1, "decode", version=version)
        for ip in ips or self.ips:
            self.view_by_ip[ip].versions.apply(None, engine)

    def restart(self, ips, *versions):
        """Let gateways start anew, beside engines of ``versions``."""
        for ip in ips:
            self.origins_by_ip[ip] = self._gateway(ip)
            self.view_by_ip[ip].versions.record_read(self.ticker.now())
        for version in versions:
            self.add_version(version, ips)

    def begin(self, ip, attempt, version):
        """Record the first event of a stream at a gateway."""
        self.origins_by_ip[ip].record(attempt, SERVICE, version, LIFETIME_MS)

    def find(self, ip, attempt):
        """Return the version that a gateway finds for a stream."""

        async def run():
            return await self.origins_by_ip[ip].find(attempt, SERVICE)

        origin = anyio.run(run)
        return origin and origin.version


class Origins(unittest.TestCase):
    """Streams that begin at one gateway and are taken up at another."""

    def check_found(self, network, gone=0):
        """Check that streams are found after their gateway has ended."""
        first, *others = network.ips
        for number in range(STREAMS):
            network.begin(first, f"a{number}", f"v{number % 2}")
        network.down.update([first, *others[:gone]])
        for number in range(STREAMS):
            ip = others[gone + number % (len(others) - gone)]
            found = network.find(ip, f"a{number}")
            self.assertEqual(found, f"v{number % 2}")

    def test_a_stream_is_found_after_its_gateway_has_ended(self):
        self.check_found(Network(7, ("v0", "v1")))

    def test_a_stream_is_found_after_two_more_gateways_have_ended(self):
        self.check_found(Network(7, ("v0", "v1")), gone=2)

    def test_a_stream_is_told_to_few_of_many_gateways(self):
        network = Network(60, ("v0", "v1"))
        network.begin(network.ips[0], "a", "v1")
        self.assertEqual(len(network.sent), stream_owners.TOLD)

    def test_nothing_is_told_while_one_version_serves(self):
        network = Network(7, ("v0",))
        network.begin(network.ips[0], "a", "v0")
        self.assertEqual(network.sent, [])

    def test_what_began_before_is_told_when_a_second_version_comes(self):
        # Guards against streams that nobody told while there was only one.
        network = Network(7, ("v0",))
        network.begin(network.ips[0], "a", "v0")
        network.add_version("v1")
        network.origins_by_ip[network.ips[0]].sweep()
        network.down.add(network.ips[0])
        self.assertEqual(network.find(network.ips[1], "a"), "v0")

    def test_an_unknown_stream_of_the_only_version_goes_on(self):
        network = Network(7, ("v0",))
        self.assertEqual(network.find(network.ips[1], "a"), "v0")

    def test_an_unknown_stream_of_several_versions_is_unknown(self):
        network = Network(7, ("v0", "v1"))
        self.assertIsNone(network.find(network.ips[1], "a"))

    def test_a_version_that_only_others_have_seen_counts(self):
        # Guards against a gateway that started after a version had left.
        network = Network(7, ("v1",))
        network.add_version("v0", network.ips[2:])
        self.assertIsNone(network.find(network.ips[1], "a"))

    def test_a_gateway_just_cut_off_does_not_trust_its_last_read(self):
        # Guards against a version that joined after that read, through
        # gateways that aren't heard any more.
        network = Network(3, ["v0"])
        network.down.update({*network.ips} - {network.ips[1]})
        network.store.is_readable = False
        self.assertIsNone(network.find(network.ips[1], "a"))

    def test_a_gateway_that_hears_few_does_not_trust_them(self):
        # Guards against gateways that are cut off together.
        network = Network(5, ["v0"])
        network.store.is_readable = False
        own, heard, *_ = network.ips
        network.fall_silent(own, {heard})
        self.assertIsNone(network.find(own, "a"))

    def test_a_gateway_that_hears_nobody_asks_the_store(self):
        # Guards against refusals where the store tells all that matters.
        network = Network(3, ["v0"])
        network.down.update({*network.ips} - {network.ips[1]})
        self.assertEqual(network.find(network.ips[1], "a"), "v0")

    def test_a_gateway_that_is_cut_off_does_not_guess(self):
        # Guards against a version that it has not heard of.
        network = Network(7, ("v0",))
        network.down.update({*network.ips} - {network.ips[1]})
        network.view_by_ip[network.ips[1]].is_current = False
        self.assertIsNone(network.find(network.ips[1], "a"))

    def test_streams_are_found_in_the_store_after_all_have_restarted(self):
        # Guards against origins that end with the processes that know them.
        network = Network(7, ("v0", "v1"))
        for number in range(STREAMS):
            network.begin(network.ips[0], f"a{number}", f"v{number % 2}")
        network.restart(network.ips, "v1")
        for number in range(STREAMS):
            found = network.find(network.ips[number % 7], f"a{number}")
            self.assertEqual(found, f"v{number % 2}")

    def test_a_version_that_left_before_all_restarted_counts(self):
        # Guards against the only version that gateways see as they start.
        network = Network(7, ("v0", "v1"))
        network.store.versions_by_service = {SERVICE: {"v0", "v1"}}
        network.restart(network.ips, "v1")
        self.assertIsNone(network.find(network.ips[1], "a"))

    def test_gateways_that_know_nothing_of_before_do_not_guess(self):
        # Guards against taking the silence of newcomers for knowledge.
        network = Network(7, ("v1",))
        network.restart(network.ips, "v1")
        network.store.is_readable = False
        self.assertIsNone(network.find(network.ips[1], "a"))

    def test_one_that_has_run_for_long_is_enough(self):
        # Guards against refusals while the store is away.
        network = Network(3, ("v1",))
        network.restart(network.ips[1:], "v1")
        network.store.is_readable = False
        self.assertEqual(network.find(network.ips[1], "a"), "v1")

    def test_newcomers_do_not_outvote_one_that_knows(self):
        # Guards against quick answers of gateways that have just started.
        network = Network(5, ("v0", "v1"))
        network.store.is_readable = False
        [*others, last] = network.ips
        network.begin(last, "a", "v0")
        network.restart(others, "v1")
        network.origins_by_ip[last].add("a", SERVICE, "v0", LIFETIME_MS)
        self.assertEqual(network.find(others[0], "a"), "v0")

    def test_a_stream_that_has_ended_is_not_kept_in_the_store(self):
        network = Network(7, ("v0", "v1"))
        network.begin(network.ips[0], "a", "v0")
        network.origins_by_ip[network.ips[0]].record_end("a")
        self.assertEqual(network.store.row_by_attempt, {})

    def test_nothing_is_written_while_one_version_serves(self):
        network = Network(7, ("v0",))
        network.begin(network.ips[0], "a", "v0")
        network.origins_by_ip[network.ips[0]].sweep()
        self.assertEqual(network.store.row_by_attempt, {})

    def test_gateways_that_are_cut_off_together_do_not_guess(self):
        # Guards against a version that none of those that answer can know.
        network = Network(5, ("v0",))
        network.store.is_readable = False
        together = network.ips[:3]
        for ip in together:
            network.view_by_ip[ip].is_current = False
        network.down.update(network.ips[3:])
        self.assertIsNone(network.find(network.ips[0], "a"))

    def test_a_store_that_is_away_for_all_stops_no_stream(self):
        network = Network(5, ("v0",))
        for view in network.view_by_ip.values():
            view.is_current = False
        self.assertEqual(network.find(network.ips[0], "a"), "v0")

    def test_old_rows_of_the_store_bring_no_version_back(self):
        # Guards against refusals because of streams of long ago.
        network = Network(3, ("v1",))
        network.store.row_by_attempt["old"] = SERVICE, "v0", 10**9
        network.store.versions_by_service = {SERVICE: {"v1"}}
        network.restart(network.ips, "v1")
        self.assertEqual(network.find(network.ips[1], "a"), "v1")

    def test_a_stream_without_a_name_goes_on_at_the_only_version(self):
        network = Network(7, ("v0",))
        self.assertEqual(network.find(network.ips[1], None), "v0")
        network.add_version("v1")
        self.assertIsNone(network.find(network.ips[1], None))

    def test_an_origin_expires(self):
        network = Network(7, ("v0", "v1"))
        network.begin(network.ips[0], "a", "v0")
        network.ticker.advance(stream_origins.MIN_LIFETIME_MS)
        self.assertIsNone(network.find(network.ips[0], "a"))

    def test_origins_are_bounded(self):
        network = Network(1, ("v0", "v1"))
        network.store.is_readable = False
        [ip] = network.ips
        for number in range(stream_origins.MAX_ORIGINS + 1):
            network.begin(ip, f"a{number}", "v0")
        self.assertIsNone(network.find(ip, "a0"))
        self.assertEqual(network.find(ip, "a1"), "v0")

    def test_what_is_read_of_the_store_is_bounded_and_displaces_nothing(self):
        # Guards against a large site, whose streams of some seconds displaced
        # those that a gateway had begun, and each other as they were read.
        network = Network(1, ("v0", "v1"))
        [ip] = network.ips
        network.begin(ip, "own", "v0")
        rows = network.store.row_by_attempt
        row = rows.pop("own")
        for number in range(stream_origins.MAX_LOGGED_ORIGINS + 1):
            rows[f"a{number}"] = row
        self.assertIsNone(network.find(ip, "a0"))
        self.assertEqual(network.find(ip, "a1"), "v0")
        self.assertEqual(network.find(ip, "own"), "v0")

    def test_an_attempt_of_any_length_makes_no_long_message(self):
        # Guards against datagrams whose size a caller decides.
        network = Network(7, ("v0", "v1"))
        attempt = "a" * 60_000
        network.begin(network.ips[0], attempt, "v0")
        self.assertIsNone(network.find(network.ips[0], attempt))
        self.assertEqual(network.sent, [])

    def test_malformed_messages_raise_what_their_receiver_catches(self):
        network = Network(2, ("v0", "v1"))
        origins = network.origins_by_ip[network.ips[0]]
        for part in (
            1,
            {"began": [1]},
            {"began": [["a", "s", "v", None]]},
            {"asked": 3},
            {"asked": [["a"]]},
            {"known": [["a", None]]},
        ):
            with self.assertRaises((AttributeError, TypeError, ValueError)):
                origins.take({"origins": part}, network.ips[1])
