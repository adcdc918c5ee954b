"""A gateway's view of engines: caches, prefill speed."""

import json
import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import endpoint_path
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
    """Return a gateway that knows one engine, but not its cache."""
    ticker = clock.ManualClock(100_000)
    known = fleet_view.FleetView(ticker.now)
    known.endpoint_by_id = {"e1": ENGINE}
    known.configuration = domain.Configuration(
        1, {}, {"model": domain.Service("model", LIMITS)}, server.Limits()
    )
    return endpoints.Endpoints(known, ticker.now)


class CacheBeliefs(unittest.TestCase):
    """Two gateways, of which the first polls the engine's cache."""

    def setUp(self):
        """Have the engine prefill one prompt for the first gateway."""
        self.first = gateway_view()
        self.second = gateway_view()
        self.first.record_prefill(self.first.state(ENGINE), PROMPT)
        for name, parts in self.first.drain_prefills():
            self.second.apply_peer_prefill(name, parts)

    def cached(self, view):
        """Return how many shared tokens a gateway takes for cached."""
        return view.state(ENGINE).cache.cached_prefix_tokens((SHARED,))

    def tell(self, *parts):
        """Report changes to the first gateway, which forwards them."""
        self.first.apply_cache_changes(self.first.state(ENGINE), parts)
        self.second.apply_peer_cache_changes(self.first.drain_cache_changes())

    def test_an_evicted_part_is_removed_at_all_gateways(self):
        self.assertEqual(self.cached(self.second), 8_000)
        self.tell(SHARED._replace(tokens=0))
        self.assertEqual(self.cached(self.first), 0)
        self.assertEqual(self.cached(self.second), 0)

    def test_a_part_evicted_and_prefilled_again_is_cached(self):
        self.tell(SHARED._replace(tokens=0), SHARED)
        self.assertEqual(self.cached(self.first), 8_000)
        self.assertEqual(self.cached(self.second), 8_000)

    def test_parts_of_single_requests_are_not_sent(self):
        self.first.apply_cache_changes(
            self.first.state(ENGINE), [OWN, OWN._replace(id="other")]
        )
        self.assertEqual(self.first.drain_cache_changes(), [])

    def test_eviction_of_a_listed_unrequested_part_is_sent(self):
        listed = domain.PromptPart("p", 40_000)
        for view in (self.first, self.second):
            view.apply_cached_parts(view.state(ENGINE), [SHARED, listed])
        self.tell(listed._replace(tokens=0))
        state = self.second.state(ENGINE)
        self.assertEqual(state.cache.cached_prefix_tokens((listed,)), 0)

    def test_parts_missing_from_a_list_after_a_gap_are_sent(self):
        self.first.replace_cache(self.first.state(ENGINE), [])
        self.second.apply_peer_cache_changes(self.first.drain_cache_changes())
        self.assertEqual(self.cached(self.second), 0)

    def test_a_partly_cached_part_ends_the_cached_prefix(self):
        self.tell(SHARED._replace(tokens=4_096))
        after = domain.PromptPart("t", 100)
        state = self.second.state(ENGINE)
        state.cache.use([("t", 100)], 100_000)
        self.assertEqual(
            state.cache.cached_prefix_tokens((SHARED, after)), 4_096
        )

    def test_changes_of_a_removed_engine_are_ignored(self):
        self.second.apply_peer_cache_changes([["gone", "s", 0]])
        self.assertEqual(self.cached(self.second), 8_000)

    def test_the_first_list_removes_nothing(self):
        other = domain.PromptPart("p", 300)
        self.second.apply_cached_parts(self.second.state(ENGINE), [other])
        self.assertEqual(self.cached(self.second), 8_000)

    def test_a_full_list_replaces_the_cache_view(self):
        state = self.second.state(ENGINE)
        other = domain.PromptPart("p", 300)
        self.assertEqual(self.second.replace_cache(state, [other]), 1)
        self.assertEqual(state.cache.cached_prefix_tokens((SHARED,)), 0)
        self.assertEqual(state.cache.cached_prefix_tokens((other,)), 300)


class ReadingScale(unittest.TestCase):
    """Estimates of the prefill speed."""

    def test_a_gateway_that_starts_learns_from_those_that_run(self):
        first = gateway_view()
        for _ in range(30):
            first.scales.record("model", 150.0, 100.0)
        heartbeat = peer_messages.Heartbeat("10.0.0.9", "", "a", True, 0)
        told = peer_messages.GatewayState(
            heartbeat,
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

    def test_malformed_estimates_are_rejected(self):
        rows = ([0.1], [99, 1], [0.1, -1], ["x", 1], [float("nan"), 1])
        for row in rows:
            data = {"work": {}, "away": {}, "scales": {"model": row}}
            data["sign"] = ["10.0.0.9", "", "a", True, 0]
            with (
                self.subTest(row=row),
                self.assertRaises((TypeError, ValueError)),
            ):
                peer_messages.decode_state(data, 0)


class ReachesAnother(unittest.TestCase):
    """Whether another endpoint than one that broke off is reached."""

    def reaches(self, *conditions):
        """Tell so, where new connections to the others show these."""
        found = gateway_view()
        by_id = {ENGINE.id: ENGINE}
        for number, condition in enumerate(conditions):
            other = ENGINE._replace(id=f"other-{number}")
            by_id[other.id] = other

            async def check(result=condition):
                return result

            found.state(other).path.check = check
        found._fleet_view.endpoint_by_id = by_id
        return anyio.run(found.reaches_another, found.state(ENGINE))

    def connects(self, *failures):
        """Tell whether one connects, where connections fail like this."""
        found = gateway_view()
        by_id = {ENGINE.id: ENGINE}
        for number, failure in enumerate(failures):
            other = ENGINE._replace(id=f"other-{number}")
            by_id[other.id] = other
            path = found.state(other).path
            path.connect_directly = mock.AsyncMock(side_effect=failure)
        found._fleet_view.endpoint_by_id = by_id
        return anyio.run(found.connects_to_another, found.state(ENGINE))

    def test_a_gateway_that_connects_to_none_may_be_cut_off(self):
        # Guards against refusals by a cut that look like those of endpoints.
        refused, lost = ConnectionRefusedError(), TimeoutError()
        self.assertFalse(self.connects(refused, lost))
        self.assertTrue(self.connects(refused, [mock.Mock()]))
        self.assertTrue(self.connects())

    def test_one_that_accepts_connections_is_enough(self):
        conditions = (
            endpoint_path.Condition.REFUSING,
            endpoint_path.Condition.ACCEPTING,
        )
        self.assertTrue(self.reaches(*conditions))

    def test_a_gateway_that_is_refused_everywhere_reaches_none(self):
        # Guards against a cut that looks like a crash.
        self.assertFalse(self.reaches(endpoint_path.Condition.REFUSING))
        self.assertFalse(self.reaches(endpoint_path.Condition.UNKNOWN))

    def test_nothing_tells_against_the_only_endpoint(self):
        self.assertTrue(self.reaches())
