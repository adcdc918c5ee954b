"""Tests of the simulated engine."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import domain
from clementinewall.lab import deployment
from clementinewall.lab import engine as engines
from clementinewall.lab import engine_timing
from clementinewall.lab import loop as loops

ROW = deployment.Engines(count=1, slots=2, kv_tokens=10_000)


def prompt(*parts, out=10):
    """Return a prompt of parts given as (id, tokens)."""
    found = tuple(domain.PromptPart(name, tokens) for name, tokens in parts)
    return domain.Prompt("m", sum(p.tokens for p in found), out, found)


class PrefillEngineTest(unittest.TestCase):
    """A prefill engine."""

    def setUp(self):
        """Start with an idle engine."""
        self.loop = loops.Loop()
        self.engine = engines.Engine("e", ROW, True, self.loop)
        self.ends = []

    def prefill(self, name, tokens, urgency=1):
        """Queue a prompt; the time of its end is recorded by name."""

        def done():
            self.ends.append((name, self.loop.now))

        self.engine.prefill(prompt((name, tokens)), urgency, done)

    def test_prefill_of_one_prompt_takes_the_configured_time(self):
        self.prefill("a", 4_000)
        self.loop.run(10_000)
        expected = engine_timing.prefill_ms(ROW, 4_000, 0)
        self.assertEqual(self.ends, [("a", expected)])

    def test_slower_engine_takes_longer_to_prefill(self):
        slow = ROW._replace(tokens_a_ms=ROW.tokens_a_ms / 3)
        self.engine = engines.Engine("e", slow, True, self.loop)
        self.prefill("a", 4_000)
        self.loop.run(10_000)
        usual = engine_timing.prefill_ms(ROW, 4_000, 0)
        self.assertGreater(self.ends[0][1], 2 * usual)

    def test_urgent_prompt_goes_first_without_preemption(self):
        self.prefill("begun", 4_000, 2)
        self.prefill("patient", 1_000, 2)
        self.prefill("urgent", 1_000, 0)
        self.loop.run(10_000)
        names = [name for name, _ in self.ends]
        self.assertEqual(names, ["begun", "urgent", "patient"])

    def test_cached_prompt_is_not_prefilled_again(self):
        self.prefill("a", 4_000)
        self.loop.run(10_000)
        self.assertEqual(
            self.engine.cached_prefix_tokens(prompt(("a", 4_000))), 4_000
        )
        self.prefill("a", 4_000)
        self.loop.run(20_000)
        self.assertEqual(self.engine.prefilled_tokens, 4_000)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 9), strategies.integers(1, 9_000)
            ),
            max_size=30,
        )
    )
    @hypothesis.settings(derandomize=True)
    def test_cache_does_not_exceed_memory(self, rows):
        loop = loops.Loop()
        engine = engines.Engine("e", ROW, True, loop)
        size_by_name = {}
        for number, tokens in rows:
            size = size_by_name.setdefault(f"p{number}", tokens)
            engine.cache_prompt(prompt((f"p{number}", size)))
            kept = [n for n in size_by_name if engine.has_cached(n)]
            total = sum(size_by_name[name] for name in kept)
            self.assertLessEqual(total, ROW.kv_tokens)


class DecodeEngineTest(unittest.TestCase):
    """A decode engine."""

    def setUp(self):
        """Start with an idle engine."""
        self.loop = loops.Loop()
        self.engine = engines.Engine("e", ROW, False, self.loop)
        self.ends = []

    def run_stream(self, name, tokens_out):
        """Start a stream; the time of its end is recorded by name."""
        self.engine.decode(
            prompt((name, 100), out=tokens_out),
            1,
            lambda: None,
            lambda: self.ends.append((name, self.loop.now)),
        )

    def test_one_stream_takes_one_step_per_token(self):
        self.run_stream("a", 50)
        self.loop.run(10_000)
        name, at = self.ends[0]
        self.assertAlmostEqual(at, 50 * engine_timing.step_ms(ROW, 1))

    def test_streams_beyond_the_slots_wait(self):
        for name in "abc":
            self.run_stream(name, 100)
        self.loop.run(10_000)
        both = 100 * engine_timing.step_ms(ROW, 2)
        at = dict(self.ends)
        self.assertAlmostEqual(at["a"], both)
        self.assertAlmostEqual(at["b"], both)
        self.assertAlmostEqual(
            at["c"], both + 100 * engine_timing.step_ms(ROW, 1)
        )

    def test_prefill_on_a_decode_engine_slows_its_streams(self):
        self.run_stream("a", 100)
        self.engine.prefill(prompt(("p", 3_000)), 1, lambda: None)
        self.loop.run(10_000)
        _, at = self.ends[0]
        self.assertGreater(at, 100 * engine_timing.step_ms(ROW, 1) + 20)

    def test_cache_transfers_to_an_engine_are_serialized(self):
        ends = []
        for _ in range(2):
            self.engine.fetch(10_000, lambda: ends.append(self.loop.now))
        self.loop.run(10_000)
        self.assertAlmostEqual(ends[1], 2 * ends[0])
