"""Tests of engines whose speed differs or changes."""

import random
import unittest

from clementinewall.lab import deployment
from clementinewall.lab import engine as engines
from clementinewall.lab import engine_timing
from clementinewall.lab import loop as loops
from clementinewall.lab import pace
from tests.lab import test_engine
from tests.lab import test_simulation

ROW = test_engine.ROW


class Pace(unittest.TestCase):
    """One engine with a speed of its own."""

    def engine(self, relative_time=1.0, is_prefill=True, **row):
        """Return an engine and its loop."""
        loop = loops.Loop()
        row = deployment.Pace(is_reported=True, **row)
        own = pace.EnginePace(row, relative_time, random.Random(1), loop)
        return engines.Engine("e", ROW, is_prefill, loop, own), loop

    def prefill_ms(self, engine, loop, tokens=4_000):
        """Return how long a prefill takes."""
        ends = []
        started = loop.now
        prompt = test_engine.prompt((f"p{started}", tokens))
        engine.prefill(prompt, 1, lambda: ends.append(loop.now))
        loop.run(started + 60_000)
        return ends[0] - started

    def test_the_relative_time_applies_to_all_work(self):
        engine, loop = self.engine(1.7)
        usual = engine_timing.prefill_ms(ROW, 4_000, 0)
        self.assertAlmostEqual(self.prefill_ms(engine, loop), 1.7 * usual)
        engine, loop = self.engine(1.7, is_prefill=False)
        events = []
        engine.decode(
            test_engine.prompt(("a", 10), out=100),
            1,
            lambda: events.append(loop.now),
            lambda: events.append(loop.now),
        )
        loop.run(60_000)
        step_ms = engine_timing.step_ms(ROW, 1)
        self.assertAlmostEqual(events[0], 1.7 * ROW.first_event_ms)
        self.assertAlmostEqual(events[1], 1.7 * 100 * step_ms)

    def test_a_spell_that_begins_during_a_prefill_counts(self):
        # Guards against spells that only new prompts notice, which would make
        # the reported pace look more useful than it is.
        # Each spell is followed by the next one.
        engine, loop = self.engine(slow_part=0.5, slow_ms=100.0)
        begin_ms = random.Random(1).uniform(0, 100.0)
        usual = engine_timing.prefill_ms(ROW, 40_000, 0)
        self.assertGreater(usual, begin_ms)
        found = self.prefill_ms(engine, loop, 40_000)
        expected = begin_ms + 2.5 * (usual - begin_ms)
        self.assertAlmostEqual(found, expected)
        self.assertEqual(engine.load().pace, 2.5)
        engine, loop = self.engine(spread=0.5, every_ms=1.0)
        found = self.prefill_ms(engine, loop, 100_000)
        usual = engine_timing.prefill_ms(ROW, 100_000, 0)
        # The harmonic mean of the paces, over hundreds of changes.
        self.assertAlmostEqual(found / usual, 0.88, delta=0.05)

    def test_spells_take_their_share_of_the_time(self):
        engine, loop = self.engine(slow_part=0.17)
        slow = 0
        for n in range(1, 5_001):
            loop.run(n * 100.0)
            slow += engine.load().pace > 2.0
        self.assertAlmostEqual(slow / 5_000, 0.17, delta=0.04)

    def test_engines_without_a_pace_report_none(self):
        engine = engines.Engine("e", ROW, True, loops.Loop())
        self.assertIsNone(engine.load())


class Uneven(unittest.TestCase):
    """Gateways before engines of different speed."""

    def credit(self, text, **engine_row):
        """Return the mean credit of a policy."""
        where = test_simulation.SMALL
        row = where.engines._replace(**engine_row)
        where = where._replace(engines=row)
        return (
            sum(
                test_simulation.play(text, where, seed).credit
                for seed in (1, 2, 3)
            )
            / 3
        )

    def test_the_speeds_of_engines_help(self):
        # Guards against prompts for slow engines as often as for fast ones.
        row = {
            "relative_times": (0.7, 0.7, 1.7),
            "pace": deployment.Pace(
                is_reported=True, spread=0.15, slow_part=0.17
            ),
        }
        known = self.credit("gateway", **row)
        self.assertGreater(known, self.credit("one-scale", **row) + 0.01)

    def test_a_pace_that_contains_the_relative_time_helps_as_well(self):
        # Guards against counting the long-term time twice.
        row = {
            "relative_times": (0.7, 0.7, 1.7),
            "pace": deployment.Pace(is_reported=True, has_relative_time=True),
        }
        known = self.credit("gateway", **row)
        self.assertGreater(known, self.credit("one-scale", **row) + 0.01)

    def test_nothing_changes_where_no_pace_is_reported(self):
        # Guards against other choices in deployments without the figure.
        row = {"relative_times": (0.7, 0.7, 1.7)}
        self.assertEqual(
            self.credit("gateway", **row), self.credit("one-scale", **row)
        )
