"""Who keeps the beginning of a prompt."""

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
        """Begin with gateways that know nothing."""
        self.ticker = clock.ManualClock(100_000)
        self.here = cache_holders.CacheHolders(self.ticker.now)
        self.there = cache_holders.CacheHolders(self.ticker.now)

    def test_what_one_notes_the_other_finds(self):
        self.here.record("e1", LONG)
        self.ticker.advance(700)
        self.there.merge(self.here.message(2_000))
        found = self.there.find(PARTS)
        self.assertEqual((found.endpoint_id, found.tokens), ("e1", 4_500))

    def test_what_is_old_is_neither_told_nor_found(self):
        # Engines give up what is not used again.  A fetch of what is gone
        # makes its prompt later than was predicted.
        self.here.record("e1", LONG)
        self.ticker.advance(cache_holders.RETENTION_MS + 1)
        self.assertIsNone(self.here.find(PARTS))
        self.assertEqual(self.here.message(cache_holders.RETENTION_MS), [])

    def test_ages_add_up_on_the_way(self):
        self.here.record("e1", LONG)
        self.ticker.advance(5_000)
        self.there.merge(self.here.message(cache_holders.RETENTION_MS))
        self.ticker.advance(5_000)
        self.assertIsNone(self.there.find(PARTS))

    def test_short_beginnings_are_not_worth_telling(self):
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
    def test_the_latest_reading_stands_whatever_the_order(self, rows, rng):
        """Messages overtake one another and are told more than once."""
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
