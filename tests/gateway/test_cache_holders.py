"""Which engine holds a prompt prefix in its cache."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import cache_holders

LONG = [("system", 500), ("catalogue", 4_000)]
PARTS = tuple(domain.PromptPart(name, tokens) for name, tokens in LONG)


class CacheHolders(unittest.TestCase):
    """Two gateways of different cells."""

    def setUp(self):
        """Start with two gateways that know no holders."""
        self.ticker = clock.ManualClock(100_000)
        self.here = cache_holders.CacheHolders(self.ticker.now)
        self.there = cache_holders.CacheHolders(self.ticker.now)

    def test_a_recorded_prefix_is_found_by_another_gateway(self):
        self.here.record("e1", LONG)
        self.ticker.advance(700)
        self.there.merge(self.here.message(2_000))
        found = self.there.find(PARTS)
        self.assertEqual((found.endpoint_id, found.tokens), ("e1", 4_500))

    def test_expired_prefixes_are_neither_sent_nor_found(self):
        # Engines evict unused parts.  A fetch of an evicted prefix delays its
        # prompt beyond the prediction.
        self.here.record("e1", LONG)
        self.ticker.advance(cache_holders.RETENTION_MS + 1)
        self.assertIsNone(self.here.find(PARTS))
        self.assertEqual(self.here.message(cache_holders.RETENTION_MS), [])

    def test_ages_add_up_across_gateways(self):
        self.here.record("e1", LONG)
        self.ticker.advance(5_000)
        self.there.merge(self.here.message(cache_holders.RETENTION_MS))
        self.ticker.advance(5_000)
        self.assertIsNone(self.there.find(PARTS))

    def test_short_prefixes_are_not_recorded(self):
        self.here.record(
            "e1", [("system", cache_holders.MIN_PREFIX_TOKENS - 1)]
        )
        self.here.record("e1", [])
        self.assertEqual(self.here.message(cache_holders.RETENTION_MS), [])
        self.assertIsNone(self.here.find(()))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(1, 3_000), strategies.integers(1, 9)
            ),
            min_size=1,
            max_size=20,
        ),
        strategies.randoms(use_true_random=False),
    )
    @hypothesis.settings(derandomize=True)
    def test_the_latest_prefill_wins_in_any_order(self, rows, rng):
        """Messages arrive out of order and more than once."""
        ticker = clock.ManualClock(100_000)
        writer = cache_holders.CacheHolders(ticker.now)
        reader = cache_holders.CacheHolders(ticker.now)
        last = {}
        for gap_ms, engine in rows:
            ticker.advance(gap_ms)
            writer.record(f"e{engine}", LONG)
            last[ticker.now()] = f"e{engine}"
        messages = writer.message(cache_holders.RETENTION_MS)
        rng.shuffle(messages)
        for row in messages:
            reader.merge([row])
        found = reader.find(PARTS)
        self.assertEqual(last[found.prefilled_at], found.endpoint_id)
        self.assertEqual(found.prefilled_at, max(last))
