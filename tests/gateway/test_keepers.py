"""Who keeps the beginning of a prompt."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import keepers

LONG = [("system", 500), ("catalogue", 4_000)]
PARTS = tuple(domain.PromptPart(name, tokens) for name, tokens in LONG)


class Keepers(unittest.TestCase):
    """Two gateways of different cells."""

    def setUp(self):
        """Begin with gateways that know nothing."""
        self.ticker = clock.ManualClock(100_000)
        self.here = keepers.Keepers(self.ticker.now)
        self.there = keepers.Keepers(self.ticker.now)

    def test_what_one_notes_the_other_finds(self):
        self.here.note("e1", LONG)
        self.ticker.advance(700)
        self.there.learn(self.here.message(2_000))
        found = self.there.find(PARTS)
        self.assertEqual((found.endpoint_id, found.tokens), ("e1", 4_500))

    def test_what_is_old_is_neither_told_nor_found(self):
        # Engines give up what is not used again.  A fetch of what is gone
        # makes its prompt later than was predicted.
        self.here.note("e1", LONG)
        self.ticker.advance(keepers.KEPT_MS + 1)
        self.assertIsNone(self.here.find(PARTS))
        self.assertEqual(self.here.message(keepers.KEPT_MS), [])

    def test_ages_add_up_on_the_way(self):
        self.here.note("e1", LONG)
        self.ticker.advance(5_000)
        self.there.learn(self.here.message(keepers.KEPT_MS))
        self.ticker.advance(5_000)
        self.assertIsNone(self.there.find(PARTS))

    def test_short_beginnings_are_not_worth_telling(self):
        self.here.note("e1", [("system", keepers.MIN_TOKENS - 1)])
        self.here.note("e1", [])
        self.assertEqual(self.here.message(keepers.KEPT_MS), [])
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
        writer = keepers.Keepers(ticker.now)
        reader = keepers.Keepers(ticker.now)
        last = {}
        for gap_ms, engine in rows:
            ticker.advance(gap_ms)
            writer.note(f"e{engine}", LONG)
            last[ticker.now()] = f"e{engine}"
        messages = writer.message(keepers.KEPT_MS)
        rng.shuffle(messages)
        for row in messages:
            reader.learn([row])
        found = reader.find(PARTS)
        self.assertEqual(last[found.read_at], found.endpoint_id)
        self.assertEqual(found.read_at, max(last))
