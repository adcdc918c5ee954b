"""What gateways do with the request limits that they hear of."""

import unittest
from unittest import mock

import loguru

from bench import dissemination
from bench import windows
from clementinewall import clock
from clementinewall.gateway import request_limits
from clementinewall.membership import members
from clementinewall.policy import request_limit
from tests.gateway import test_endpoints

ENGINE = test_endpoints.ENGINE
SERVICE = ENGINE._replace(id="s1", stage=None)
OWN = "10.0.0.1"
OTHERS = frozenset(f"10.0.0.{number}" for number in range(2, 9))
PER_SECOND = 6.0
WINDOW_MS = 4_000
STEP_MS = 20
FLEET_STEP_MS = 50


class LimitTest(unittest.TestCase):
    """One gateway of eight."""

    def setUp(self):
        """Share limits with seven other gateways."""
        self.clock = clock.ManualClock(100_000)
        self.limits = request_limits.RequestLimits(self.clock.now)
        self.group = request_limits.Group(
            frozenset((OWN, *OTHERS)), 1 + len(OTHERS), True
        )
        self.limits.share_with(OWN, lambda _endpoint: self.group)

    def sends(self, milliseconds):
        """Return how many requests are sent if there are always some."""
        sent = 0
        for _ in range(milliseconds // STEP_MS):
            self.limits.sweep({ENGINE.id: ENGINE})
            if not self.limits.wait_ms(ENGINE):
                self.limits.use(ENGINE)
                sent += 1
            self.clock.advance(STEP_MS)
        return sent

    def test_without_a_limit_nothing_waits(self):
        self.limits.record(ENGINE, None)
        self.assertEqual(self.sends(1_000), 1_000 // STEP_MS)

    def test_the_share_is_used_at_even_intervals(self):
        self.limits.record(ENGINE, 100.0)
        self.assertAlmostEqual(self.sends(WINDOW_MS), 400 / 8, delta=3)

    def test_the_end_of_a_limit_ends_the_wait(self):
        self.limits.record(ENGINE, PER_SECOND)
        self.assertGreater(self.limits.wait_ms(ENGINE), 0)
        self.limits.record(ENGINE, None)
        self.assertEqual(self.limits.wait_ms(ENGINE), 0)

    def test_another_incarnation_has_named_no_limit(self):
        self.limits.record(ENGINE, PER_SECOND)
        other = ENGINE._replace(incarnation=2)
        self.assertEqual(self.limits.wait_ms(other), 0)

    def test_a_limit_of_zero_leaves_a_request_at_times(self):
        # Guards against a limit whose end nobody hears of.
        self.limits.record(ENGINE, 0.0)
        self.group = request_limits.Group(frozenset((OWN,)), 1, True)
        self.assertLessEqual(self.sends(60_000), 6)
        self.assertGreater(self.sends(60_000), 0)

    def test_a_share_that_grows_is_used_later(self):
        # Guards against shares of two views of the gateways at once.
        self.limits.record(ENGINE, 100.0)
        self.sends(1_000)
        self.group = request_limits.Group(frozenset((OWN,)), 1, True)
        small = self.sends(request_limits.GROWTH_DELAY_MS)
        self.assertAlmostEqual(small, 300 / 8, delta=3)
        self.assertAlmostEqual(self.sends(WINDOW_MS), 400 / 2, delta=10)

    def test_a_share_that_shrinks_is_used_at_once(self):
        self.group = request_limits.Group(frozenset((OWN,)), 1, True)
        self.limits.record(ENGINE, 100.0)
        self.sends(1_000)
        self.group = request_limits.Group(self.group.ips, 8, True)
        self.assertAlmostEqual(self.sends(WINDOW_MS), 400 / 8, delta=3)

    def test_an_engine_that_joins_the_cell_is_not_used_at_once(self):
        # Guards against shares of two cells while gateways differ in views.
        self.group = self.group._replace(is_member=False)
        self.limits.record(ENGINE, PER_SECOND)
        self.sends(1_000)
        self.group = self.group._replace(is_member=True)
        delay_ms = request_limits.GROWTH_DELAY_MS - STEP_MS
        self.assertEqual(self.sends(delay_ms), 0)
        self.assertGreater(self.sends(WINDOW_MS), 0)

    def test_a_limit_heard_from_a_peer_waits_for_the_share(self):
        # Guards against requests before the number of senders is known.
        self.limits.merge([[*ENGINE.incarnation_key, 100.0, 0]])
        self.clock.advance(1_000)
        self.assertGreater(self.limits.wait_ms(ENGINE), 0)
        self.assertAlmostEqual(self.sends(WINDOW_MS), 400 / 8, delta=3)

    def test_a_later_statement_of_a_peer_holds(self):
        self.limits.merge([[*ENGINE.incarnation_key, PER_SECOND, 0]])
        self.assertEqual(self.limits.per_second(ENGINE), PER_SECOND)
        self.clock.advance(1_000)
        self.limits.merge([[*ENGINE.incarnation_key, None, 0]])
        self.assertIsNone(self.limits.per_second(ENGINE))

    def test_an_earlier_statement_of_a_peer_is_ignored(self):
        # Guards against limits that come back while peers pass them on.
        self.limits.record(ENGINE, PER_SECOND)
        self.clock.advance(1_000)
        self.limits.record(ENGINE, None)
        self.limits.merge([[*ENGINE.incarnation_key, PER_SECOND, 500]])
        self.assertIsNone(self.limits.per_second(ENGINE))

    def test_malformed_statements_are_errors_of_the_sender(self):
        # Guards against a foreign datagram that ends the process.
        for row in (
            [],
            [1, 2],
            ["e1", "x", "a", 1.0, 0],
            ["e1", 1, "a", -1, 0],
            ["e1", 1, "a", "x", 0],
            ["e1", 1, "a", 1.0, "x"],
            ["e1", 1, "a", 1.0, float("nan")],
            ["e1", 1, "a", 1.0, float("inf")],
        ):
            with self.assertRaises((TypeError, ValueError, OverflowError)):
                self.limits.merge([row])

    def test_a_share_is_computed_once_for_a_group(self):
        # Guards against work that grows with gateways times limits.
        with mock.patch.object(
            members, "rendezvous", wraps=members.rendezvous, autospec=True
        ) as rendezvous:
            self.limits.record(ENGINE, PER_SECOND)
            self.sends(1_000)
            self.assertEqual(rendezvous.call_count, 1)
            self.group = self.group._replace(size=9)
            self.sends(1_000)
            self.assertEqual(rendezvous.call_count, 2)


class FleetTest(unittest.TestCase):
    """All gateways of a fleet, each with more requests than it may send."""

    def check(self, size, endpoint, loss=0.0):
        """Return the most requests that all send in a window."""
        loguru.logger.disable("clementinewall")
        self.addCleanup(loguru.logger.enable, "clementinewall")
        network = dissemination.Network(size, loss, seed=5)
        network.play(dissemination.WARM_UP_MS)
        for peers in network.peers_by_ip.values():
            known = peers._endpoints._fleet_view.endpoint_by_id
            known[endpoint.id] = endpoint
        limits = network.limits_by_ip
        first = sorted(limits)[0]
        limits[first].record(endpoint, PER_SECOND)
        network.play(3_000)
        times = []
        for _ in range(3 * WINDOW_MS // FLEET_STEP_MS):
            for ip in limits:
                if not limits[ip].wait_ms(endpoint):
                    limits[ip].use(endpoint)
                    limits[ip].record(endpoint, PER_SECOND)
                    times.append(network.clock.now())
            network.play(FLEET_STEP_MS)
        most = windows.most_in_window(times, WINDOW_MS)
        allowed = 1.5 * PER_SECOND * WINDOW_MS / 1_000 + 5
        self.assertLessEqual(most, allowed)
        self.assertGreaterEqual(most, PER_SECOND * WINDOW_MS / 1_000 / 2)

    def test_an_engine_of_a_small_fleet(self):
        self.check(7, dissemination.endpoint(1))

    def test_an_engine_of_a_larger_fleet(self):
        # Guards against gateways of other cells that use it as well.
        self.check(61, dissemination.endpoint(1), loss=0.03)

    def test_a_service_that_all_gateways_use(self):
        # Guards against small shares of which many gateways have one each.
        self.check(61, dissemination.endpoint(1)._replace(stage=None))


class SendersTest(unittest.TestCase):
    """Which gateways may use an endpoint with a limit."""

    def test_their_number_is_bounded_by_the_limit(self):
        now = clock.ManualClock(100_000).now
        ips = frozenset(f"10.0.{n // 250}.{n % 250}" for n in range(350))
        senders = 0
        for ip in ips:
            limits = request_limits.RequestLimits(now)
            limits.share_with(
                ip, lambda _endpoint: request_limits.Group(ips, 350, True)
            )
            limits.record(SERVICE, PER_SECOND)
            excluded_ms = request_limit.EXCLUDED_INTERVAL_MS
            senders += limits.wait_ms(SERVICE) < excluded_ms
        self.assertEqual(senders, request_limit.max_senders(PER_SECOND))
