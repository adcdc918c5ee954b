"""The load of scaled services, from the samples of gateways."""

import types
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall.scaling import load_samples


class Board(unittest.TestCase):
    """What one of the candidates adds up."""

    def setUp(self):
        """Start without samples."""
        self.ticker = clock.ManualClock(100_000)
        self.board = load_samples.LoadBoard(self.ticker.now)

    def load(self, live):
        """Record and return the load now."""
        self.board.record("chat", live)
        return self.board.loads("chat")[-1]

    def test_samples_of_all_gateways_add_up(self):
        # Guards against the load of one gateway taken for that of all.
        self.board.take("10.0.0.1", [["chat", 100, 4], ["draw", 900, 9]])
        self.board.take("10.0.0.2", [["chat", 50, 2]])
        found = self.load(2)
        self.assertEqual((found.prompt_ms, found.streams), (150, 6))

    def test_a_newer_sample_replaces_an_older_one(self):
        # Guards against a sum that grows with each datagram, also with those
        # that arrive twice.
        for streams in (9, 4, 4):
            self.board.take("10.0.0.1", [["chat", 100, streams]])
        self.assertEqual(self.load(1).streams, 4)

    def test_missing_samples_are_made_up_for(self):
        # Guards against engines that are given up since datagrams get lost.
        self.board.take("10.0.0.1", [["chat", 100, 4]])
        self.board.take("10.0.0.2", [["chat", 100, 4]])
        self.assertEqual(self.load(4).streams, 16)
        self.assertEqual(self.board.heard("chat"), 2)

    def test_a_gateway_that_is_gone_counts_no_more(self):
        # Guards against the load of gateways that have stopped.
        self.board.take("10.0.0.1", [["chat", 100, 4]])
        self.ticker.advance(load_samples.MAX_AGE_MS)
        self.assertEqual(self.board.heard("chat"), 1)
        self.ticker.advance(1)
        self.assertEqual(self.board.heard("chat"), 0)
        self.board.record("chat", 1)
        self.assertEqual(self.board.loads("chat"), [])

    def test_more_heard_than_live_are_not_scaled_down(self):
        # Guards against a load that is halved while a gateway joins.
        self.board.take("10.0.0.1", [["chat", 100, 4]])
        self.board.take("10.0.0.2", [["chat", 100, 4]])
        self.assertEqual(self.load(1).streams, 8)

    def test_the_history_is_bounded(self):
        # Guards against memory that grows with the time that a gateway acts.
        for _ in range(60):
            self.board.take("10.0.0.1", [["chat", 100, 4]])
            self.board.record("chat", 1)
            self.ticker.advance(1_000)
        ages = [self.ticker.now() - x.at for x in self.board.loads("chat")]
        self.assertLessEqual(max(ages), load_samples.KEEP_MS + 1_000)

    def test_malformed_samples_change_nothing(self):
        # Guards against a datagram of which the first half counts.
        self.board.take("10.0.0.1", [["chat", 100, 4]])
        for row in (
            ["chat", -1, 4],
            ["chat", 100, float("nan")],
            ["chat", 100, float("inf")],
            ["chat", 1e12, 4],
            ["chat", "100", 4],
            ["chat", 100],
            ["chat", None, 4],
        ):
            with self.assertRaises((TypeError, ValueError), msg=row):
                self.board.take("10.0.0.1", [["chat", 7, 7], row])
        self.assertEqual(self.load(1).streams, 4)

    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers()
            | strategies.floats()
            | strategies.text(max_size=5),
            lambda inner: strategies.lists(inner, max_size=4),
            max_leaves=12,
        )
    )
    @hypothesis.settings(derandomize=True)
    def test_garbage_raises_nothing_that_is_not_caught(self, data):
        # Guards against a process that ends by a foreign datagram.
        try:
            self.board.take("10.0.0.1", data)
        except (TypeError, ValueError):
            return


class Sampling(unittest.TestCase):
    """What a gateway measures of its own work."""

    def setUp(self):
        """Start a gateway that has served before."""
        self.ticker = clock.ManualClock(100_000)
        self.prompt_ms = 50_000.0
        self.streams = 3
        endpoints = types.SimpleNamespace(
            prompt_ms=lambda name: self.prompt_ms,
            streams=lambda name: self.streams,
        )
        self.sampler = load_samples.Sampler(
            endpoints, lambda: ["chat"], self.ticker.now
        )

    def test_the_first_sample_has_a_length(self):
        # Guards against all prompts since the start taken for those of one
        # second.
        self.assertEqual(self.sampler.messages("10.0.0.1"), [])
        self.ticker.advance(2_000)
        self.prompt_ms += 600
        self.assertEqual(
            self.sampler.messages("10.0.0.1"), [[["chat", 300, 3]]]
        )

    def test_all_candidates_get_the_same_sample(self):
        # Guards against a second candidate that is told of no work.
        self.sampler.messages("10.0.0.1")
        self.ticker.advance(1_000)
        self.prompt_ms += 500
        first = self.sampler.messages("10.0.0.1")
        self.ticker.advance(1)
        self.assertEqual(self.sampler.messages("10.0.0.2"), first)

    def test_work_of_removed_engines_is_not_negative(self):
        # Guards against a message that the others refuse as malformed.
        self.sampler.messages("10.0.0.1")
        self.ticker.advance(1_000)
        self.prompt_ms = 10.0
        [[[_, prompt_ms, _]]] = self.sampler.messages("10.0.0.1")
        self.assertEqual(prompt_ms, 0)
