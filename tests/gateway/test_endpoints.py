"""A gateway's view of engines: caches, prefill speed, availability."""

import json
import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peer_messages
from clementinewall.gateway import request_limits
from clementinewall.http1 import client
from clementinewall.http1 import messages
from clementinewall.http1 import server
from clementinewall import verdicts

LIMITS = domain.EngineLimits(16, 100_000, 18_432, 370_000.0, 3_000)
ENGINE = domain.Endpoint(
    "e1", "model", "10.0.1.1:1", "a", 16, False, domain.DECODE, 1
)
SHARED = domain.PromptPart("s", 8_000)
OWN = domain.PromptPart("o", 400)
LEAVING = messages.Head(200, b"", ((b"Server-Leaving", b"1"),))
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


def endpoint_state(ticker):
    """Return the state of the engine, which has named no limit."""
    limits = request_limits.RequestLimits(ticker.now)
    return endpoints.EndpointState(ENGINE, ticker.now, limits)


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


class Lost(unittest.TestCase):
    """Which engines count as unavailable."""

    def setUp(self):
        """Start with an engine whose open request has timed out."""
        self.ticker = clock.ManualClock(100_000)
        self.state = endpoint_state(self.ticker)
        self.state.begin()
        self.ticker.advance(endpoints.RESPONSE_TIMEOUT_MS + 1)

    def test_one_lost_answer_does_not_make_its_engine_unavailable(self):
        self.assertFalse(self.state.is_usable())
        self.assertFalse(self.state.is_unavailable())

    def test_an_unresponsive_failing_engine_is_unavailable(self):
        for _ in range(2):
            self.state.health.record_failure(self.ticker.now())
        self.assertTrue(self.state.is_unavailable())

    def test_an_engine_that_refuses_connections_is_unavailable(self):
        self.state.health.record_failure(self.ticker.now(), absent=True)
        self.assertTrue(self.state.is_unavailable())

    def test_an_engine_that_changes_its_stage_is_unavailable(self):
        self.state.unavailable_until = self.ticker.now() + 1
        self.assertTrue(self.state.is_unavailable())


class RequestLimit(unittest.TestCase):
    """An endpoint that has named a limit, of which the share is used up."""

    def setUp(self):
        """Have it name one request a second."""
        self.ticker = clock.ManualClock(100_000)
        self.state = endpoint_state(self.ticker)
        self.name_limit(b"1")

    def name_limit(self, value, status=200):
        """Apply an answer that names a limit."""
        head = messages.Head(status, b"", ((b"Server-Limit", value),))
        self.state.apply_request_limit(head)

    def test_reports_wait_for_a_share(self):
        # Guards against requests to an engine by paths that count nothing.
        request = messages.Request(b"GET", b"/report", ())
        for fresh in (False, True):
            with self.assertRaises(endpoints.Withheld):
                anyio.run(self.state.send_request, request, 100, fresh)

    def test_a_request_that_was_counted_is_sent(self):
        # Guards against prompts that are prefilled in vain.
        self.ticker.advance(1_000)
        self.state.use_share()
        pool = self.state._pool = SlowPool(lambda: None)
        anyio.run(self.state.acquire_link)
        self.assertEqual(pool.discarded, 0)
        self.assertGreater(self.state.rest_ms, 0)

    def test_failures_count_while_a_share_is_awaited(self):
        # Guards against a crashed engine that counts as sound.
        self.name_limit(b"100")
        for _ in range(3):
            self.state.record_failure()
        self.ticker.advance(10)
        self.assertEqual(self.state.rest_ms, 0)
        self.assertFalse(self.state.is_usable())

    def test_a_malformed_limit_changes_nothing(self):
        self.name_limit(b"many")
        self.assertTrue(self.state.is_limited)

    def test_an_answer_without_a_limit_ends_it(self):
        self.state.apply_request_limit(messages.Head(200, b"", ()))
        self.assertFalse(self.state.is_limited)

    def test_another_process_at_the_address_speaks_for_itself(self):
        # Guards against limits of a process that reuses an address.
        self.state.apply_request_limit(messages.Head(421, b"", ()))
        self.assertTrue(self.state.is_limited)
        self.state.apply_request_limit(messages.Head(200, b"", ()))
        self.name_limit(b"5", 421)
        self.assertFalse(self.state.is_limited)


class Rest(unittest.TestCase):
    """An endpoint that has asked for no requests for three seconds."""

    def setUp(self):
        """Have it ask for rest."""
        self.view = gateway_view()
        self.ticker = clock.ManualClock(100_000)
        self.state = endpoint_state(self.ticker)
        self.state.apply_answer(refusal(b"3"))

    def check_withheld(self):
        """Check that nothing can be sent, neither requests nor reports."""
        request = messages.Request(b"GET", b"/report", ())
        for send in (
            self.state.acquire_link,
            lambda: self.state.send_request(request, 100),
            lambda: self.state.send_request(request, 100, True),
        ):
            with self.assertRaises(endpoints.Withheld):
                anyio.run(send)

    def test_nothing_is_sent_until_the_span_is_over(self):
        self.ticker.advance(2_999)
        self.check_withheld()
        self.assertFalse(self.state.is_usable())
        self.ticker.advance(1)
        self.assertTrue(self.state.is_usable())

    def test_a_success_does_not_end_the_span(self):
        # Guards against a span that earlier requests end when they complete.
        self.state.health.record_success()
        self.state.apply_answer(messages.Head(200, b"", ()))
        self.check_withheld()

    def test_a_later_refusal_never_shortens_the_span(self):
        self.state.apply_answer(refusal(b"0.1"))
        self.ticker.advance(2_000)
        self.check_withheld()

    def test_an_unreadable_span_changes_nothing(self):
        self.state.apply_answer(refusal(b"soon"))
        self.assertEqual(self.state.rest_ms, 3_000)

    def test_refusals_in_a_span_cause_no_pause_after_it(self):
        for _ in range(5):
            self.state.record_failure()
        self.ticker.advance(3_000)
        self.assertTrue(self.state.is_usable())

    def test_a_connection_that_takes_long_is_not_used_in_the_span(self):
        # Guards against requests that waited for a connection.
        state = endpoint_state(self.ticker)
        pool = SlowPool(lambda: state.apply_answer(refusal(b"3")))
        state._pool = pool
        with self.assertRaises(endpoints.Withheld):
            anyio.run(state.acquire_link)
        self.assertEqual(pool.discarded, 1)

    def test_another_incarnation_has_asked_for_nothing(self):
        self.view.state(ENGINE).apply_answer(refusal(b"3"))
        started = ENGINE._replace(incarnation=2)
        self.assertEqual(self.view.state(started).rest_ms, 0)
        self.assertEqual(self.view.state(ENGINE).rest_ms, 3_000)

    def test_rest_outlasts_a_record_that_goes_and_comes_back(self):
        # Guards against requests in the span after a lapse of the record.
        self.view.state(ENGINE).apply_answer(refusal(b"3"))
        self.lapse()
        self.assertEqual(self.view.state(ENGINE).rest_ms, 3_000)

    def test_leaving_outlasts_a_record_that_goes_and_comes_back(self):
        # Guards against work for an endpoint that leaves after such a lapse.
        self.view.state(ENGINE).apply_answer(LEAVING)
        self.assertEqual(self.view.of_service("model"), [])
        self.lapse()
        self.assertEqual(self.view.of_service("model"), [])

    def send_on(self, link, on_connect=lambda state: None):
        """Send a request on a link that breaks; return the state."""
        state = endpoint_state(self.ticker)

        async def connect():
            on_connect(state)
            return link

        state._pool.connect = connect
        request = messages.Request(b"GET", b"/report", ())
        with self.assertRaises(client.LinkBroken):
            anyio.run(state.send_request, request, 100, True)
        return state

    def test_rest_asked_for_in_an_answer_that_breaks_off_is_kept(self):
        # Guards against polls and orders in the span after a cut answer.
        self.assertEqual(self.send_on(CutLink()).rest_ms, 3_000)

    def test_a_report_whose_connection_takes_long_is_not_sent(self):
        # Guards against reports and orders that waited for a connection.
        link = CutLink()
        self.send_on(link, lambda state: state.apply_answer(refusal(b"3")))
        self.assertEqual(link.requests, 0)

    def lapse(self):
        """Remove the engine's record, sweep, and add the record again."""
        known = self.view._fleet_view
        known.endpoint_by_id = {}
        self.view.sweep()
        known.endpoint_by_id = {"e1": ENGINE}


def refusal(seconds):
    """Return the head of a refusal that asks for rest."""
    return messages.Head(503, b"", ((b"Retry-After", seconds),))


class SlowPool:
    """A pool of connections; something happens while one is established."""

    def __init__(self, on_acquire):
        """Call ``on_acquire`` in each ``acquire``."""
        self._on_acquire = on_acquire
        self.discarded = 0

    async def acquire(self):
        """Return a connection."""
        self._on_acquire()
        return object()

    def discard(self, _link):
        """Count a connection that was closed."""
        self.discarded += 1


class CutLink:
    """A connection whose peer asks for rest and cuts the answer's body."""

    def __init__(self):
        """Start without requests."""
        self.requests = 0

    async def send(self, _request):
        """Count the request."""
        self.requests += 1

    async def read_head(self):
        """Return the head of a refusal."""
        return refusal(b"3")

    async def read_rest(self, _max_bytes):
        """Fail."""
        raise client.LinkBroken(verdicts.Progress.SENT_WHOLE, "cut")

    def close(self):
        """Close the connection."""
