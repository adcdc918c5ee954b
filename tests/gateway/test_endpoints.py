"""What a gateway believes of the engines' caches."""

import json
import unittest

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peer_messages
from clementinewall.http1 import server

LIMITS = domain.EngineLimits(16, 100_000, 18_432, 370_000.0, 3_000)
ENGINE = domain.Endpoint(
    "e1", "model", "10.0.1.1:1", "a", 16, False, domain.DECODE, 1
)
SHARED = domain.PromptPart("s", 8_000)
OWN = domain.PromptPart("o", 400)
PROMPT = domain.Prompt("m", 8_400, 20, (SHARED, OWN))


def gateway_view():
    """Return what one gateway knows: an engine, nothing of its cache."""
    ticker = clock.ManualClock(100_000)
    known = fleet_view.FleetView(ticker.now)
    known.endpoint_by_id = {"e1": ENGINE}
    known.configuration = domain.Configuration(
        1, {}, {"model": domain.Service("model", LIMITS)}, server.Limits()
    )
    return endpoints.Endpoints(known, ticker.now)


class CacheBeliefs(unittest.TestCase):
    """Two gateways, of which the first one follows the engine's cache."""

    def setUp(self):
        """Have the engine read one prompt for the first gateway."""
        self.first = gateway_view()
        self.second = gateway_view()
        self.first.record_prefill(self.first.state(ENGINE), PROMPT)
        for name, parts in self.first.drain_prefills():
            self.second.apply_peer_prefill(name, parts)

    def cached(self, view):
        """Return how much of the prompt a gateway believes to be kept."""
        return view.state(ENGINE).cache.cached_prefix_tokens((SHARED,))

    def tell(self, *parts):
        """Let the first gateway hear of changes, and tell the second one."""
        self.first.apply_cache_changes(self.first.state(ENGINE), parts)
        self.second.apply_peer_cache_changes(self.first.drain_cache_changes())

    def test_a_part_that_was_dropped_is_known_to_be_gone_at_all(self):
        self.assertEqual(self.cached(self.second), 8_000)
        self.tell(SHARED._replace(tokens=0))
        self.assertEqual(self.cached(self.first), 0)
        self.assertEqual(self.cached(self.second), 0)

    def test_a_part_that_was_dropped_and_read_again_is_kept(self):
        self.tell(SHARED._replace(tokens=0), SHARED)
        self.assertEqual(self.cached(self.first), 8_000)
        self.assertEqual(self.cached(self.second), 8_000)

    def test_parts_of_single_requests_are_not_told(self):
        self.first.apply_cache_changes(
            self.first.state(ENGINE), [OWN, OWN._replace(id="other")]
        )
        self.assertEqual(self.first.drain_cache_changes(), [])

    def test_a_listed_part_that_nobody_asked_for_is_known_to_be_gone(self):
        listed = domain.PromptPart("p", 40_000)
        for view in (self.first, self.second):
            view.apply_cached_parts(view.state(ENGINE), [SHARED, listed])
        self.tell(listed._replace(tokens=0))
        state = self.second.state(ENGINE)
        self.assertEqual(state.cache.cached_prefix_tokens((listed,)), 0)

    def test_what_a_list_after_a_gap_lacks_is_told_too(self):
        self.first.replace_cache(self.first.state(ENGINE), [])
        self.second.apply_peer_cache_changes(self.first.drain_cache_changes())
        self.assertEqual(self.cached(self.second), 0)

    def test_a_part_that_is_kept_in_part_ends_the_beginning(self):
        self.tell(SHARED._replace(tokens=4_096))
        after = domain.PromptPart("t", 100)
        state = self.second.state(ENGINE)
        state.cache.use([("t", 100)], 100_000)
        self.assertEqual(
            state.cache.cached_prefix_tokens((SHARED, after)), 4_096
        )

    def test_changes_of_an_engine_that_has_left_are_passed_over(self):
        self.second.apply_peer_cache_changes([["gone", "s", 0]])
        self.assertEqual(self.cached(self.second), 8_000)

    def test_the_list_at_a_start_takes_nothing_back(self):
        other = domain.PromptPart("p", 300)
        self.second.apply_cached_parts(self.second.state(ENGINE), [other])
        self.assertEqual(self.cached(self.second), 8_000)

    def test_a_whole_list_replaces_what_was_believed(self):
        state = self.second.state(ENGINE)
        other = domain.PromptPart("p", 300)
        self.assertEqual(self.second.replace_cache(state, [other]), 1)
        self.assertEqual(state.cache.cached_prefix_tokens((SHARED,)), 0)
        self.assertEqual(state.cache.cached_prefix_tokens((other,)), 300)


class ReadingScale(unittest.TestCase):
    """What gateways learn of how fast engines read."""

    def test_a_gateway_that_starts_learns_from_those_that_run(self):
        first = gateway_view()
        for _ in range(30):
            first.scales.record("model", 150.0, 100.0)
        sign = peer_messages.Heartbeat("10.0.0.9", "", "a", True, 0)
        told = peer_messages.GatewayState(
            sign,
            {},
            {},
            estimate_by_service=first.scales.estimate_by_service(),
        )
        data = json.loads(json.dumps(peer_messages.encode_state(told, 0)))
        peers = [peer_messages.decode_state(data, 0)]
        started = gateway_view().scales
        self.assertEqual(started.scale("model", []), 1.0)
        told = [peer.estimate_by_service for peer in peers]
        scale = started.scale("model", told)
        self.assertAlmostEqual(scale, 1.5, delta=0.15)

    def test_estimates_that_are_none_are_refused(self):
        rows = ([0.1], [99, 1], [0.1, -1], ["x", 1], [float("nan"), 1])
        for row in rows:
            data = {"work": {}, "away": {}, "scales": {"model": row}}
            data["sign"] = ["10.0.0.9", "", "a", True, 0]
            with (
                self.subTest(row=row),
                self.assertRaises((TypeError, ValueError)),
            ):
                peer_messages.decode_state(data, 0)


class Lost(unittest.TestCase):
    """Which engines count as gone."""

    def setUp(self):
        """Begin with an engine that has answered nothing for a while."""
        self.ticker = clock.ManualClock(100_000)
        self.state = endpoints.EndpointState(ENGINE, self.ticker.now)
        self.state.begin()
        self.ticker.advance(endpoints.RESPONSE_TIMEOUT_MS + 1)

    def test_an_answer_that_got_lost_does_not_make_its_engine_gone(self):
        self.assertFalse(self.state.is_usable())
        self.assertFalse(self.state.is_unavailable())

    def test_an_engine_that_is_silent_and_fails_is_gone(self):
        for _ in range(2):
            self.state.health.record_failure(self.ticker.now())
        self.assertTrue(self.state.is_unavailable())

    def test_an_engine_that_nothing_listens_for_is_gone(self):
        self.state.health.record_failure(self.ticker.now(), absent=True)
        self.assertTrue(self.state.is_unavailable())

    def test_an_engine_that_changes_its_stage_is_gone(self):
        self.state.unavailable_until = self.ticker.now() + 1
        self.assertTrue(self.state.is_unavailable())
