"""Placement at engines of different speed, and at equal ones as before."""

import collections
import hashlib
import random
import unittest

from clementinewall.policy import placement
from tests.policy import test_placement

engine = test_placement.engine
demand = test_placement.demand

# Of the choices for 400 random fleets, made by the version of placement that
# knew no speeds of single engines.
DIGEST_WITHOUT_SPEEDS = (
    "bb46ba0d5b5cb3432ff2786c6cb4a0e344f2130ac56513d979801a00c915849a"
)


def random_fleet(rng):
    """Return up to eight engines without figures for their speed."""
    return [
        placement.Engine(
            f"e{n}",
            rng.random() < 0.5,
            rng.choice((0.0, rng.uniform(0, 300))),
            rng.randrange(17),
            16,
            rng.choice((0, 0, rng.randrange(9_000))),
            rng.choice((1.0, 1.0, rng.uniform(0.5, 10.0))),
            rng.random() < 0.1,
            rng.choice((0.0, 0.0, 0.0, 50.0)),
        )
        for n in range(rng.randrange(1, 9))
    ]


def random_demand(rng):
    """Return a demand of any size."""
    return placement.Demand(
        rng.randrange(9_000, 20_000),
        400,
        rng.choice((200, 400, 900)),
        18_432,
        rng.choice((0.0, 370_000.0)),
        rng.choice((30, 300)),
        send_ms=rng.choice((0.0, 4.0)),
        is_probe=rng.random() < 0.5,
        prefill_scale=rng.choice((1.0, 1.3)),
    )


def plain(found):
    """Return a choice as the tuple that it was without speeds."""
    if isinstance(found, placement.Refusal):
        best = found.best and plain(found.best)
        return found.why, found.retry_ms, best, found.all_rest
    return tuple(
        round(value, 6) if isinstance(value, float) else value
        for value in found[:8]
    )


class WithoutSpeeds(unittest.TestCase):
    """Services none of whose engines reports its pace."""

    def test_the_choices_are_those_of_the_version_before(self):
        # Guards against deployments with equal engines that are placed
        # differently since single engines have a speed.
        rng = random.Random(7)
        lines = []
        for _ in range(400):
            fleet = random_fleet(rng)
            found = placement.choose(fleet, random_demand(rng))
            lines.append(repr(plain(found)))
        digest = hashlib.sha256("\n".join(lines).encode()).hexdigest()
        self.assertEqual(digest, DIGEST_WITHOUT_SPEEDS)

    def test_the_choice_is_not_random(self):
        fleet = [engine("p1", True), engine("p2", True), engine("d")]
        found = {placement.choose(fleet, demand(9_000)) for _ in range(50)}
        self.assertEqual(len(found), 1)


class WithSpeeds(unittest.TestCase):
    """Services with engines that report their pace."""

    def setUp(self):
        """Draw in the same way in each run."""
        self.draw = random.Random(3).choices

    def choose(self, fleet, wanted):
        """Return the choice for a prompt."""
        return placement.choose(fleet, wanted, draw=self.draw)

    def count(self, field, fleet, wanted):
        """Return how often each engine is chosen by 400 gateways."""
        return collections.Counter(
            getattr(self.choose(fleet, wanted), field) for _ in range(400)
        )

    def test_a_fast_engine_prefills(self):
        # Guards against prompts for engines that take 2.4 times as long.
        fleet = [
            engine("p1", True, relative_time=1.7),
            engine("p2", True, relative_time=0.7),
            engine("d"),
        ]
        found = self.count("prefill", fleet, demand(12_000))
        self.assertEqual(found, {"p2": 400})

    def test_a_slow_engine_prefills_while_the_fast_one_is_busy(self):
        # Guards against a queue at fast engines beside idle ones.
        fleet = [
            engine("p1", True, relative_time=1.3),
            engine("p2", True, relative_time=0.7, wait_ms=150),
            engine("d", streams=90),
        ]
        found = self.count("prefill", fleet, demand(12_000))
        self.assertEqual(found, {"p1": 400})

    def test_an_engine_in_a_slow_spell_is_avoided(self):
        # Guards against one in six engines that becomes 2.5 times slower for
        # 0.6 s, in prefill and in decode.
        fleet = [engine(f"p{n}", True) for n in range(6)]
        fleet += [engine(f"d{n}", streams=40) for n in range(6)]
        fleet[0] = fleet[0]._replace(pace=2.5)
        fleet[6] = fleet[6]._replace(pace=2.5)
        self.assertNotIn("p0", self.count("prefill", fleet, demand(9_000)))
        self.assertNotIn("d0", self.count("decode", fleet, demand(9_000)))
        self.assertNotIn("d0", self.count("decode", fleet, demand(200, 200)))

    def test_gateways_spread_over_engines_that_are_equally_good(self):
        # Guards against many gateways that choose one engine at once, before
        # any of them knows of the others' prompts.
        fleet = [engine(f"p{n}", True) for n in range(6)]
        fleet += [engine(f"d{n}") for n in range(6)]
        for field in ("prefill", "decode"):
            found = self.count(field, fleet, demand(9_000))
            self.assertEqual(len(found), 6)
            self.assertLess(max(found.values()), 400 * 0.3)

    def test_an_option_that_would_be_late_is_not_drawn(self):
        # Guards against a late answer for the sake of spreading.
        wanted = demand(12_000)
        fleet = [
            engine("p1", True, wait_ms=100),
            engine("p2", True, wait_ms=100),
            engine("d", streams=90),
        ]
        slack = 400 * placement.TARGET_FRACTION
        slack -= self.choose(fleet, wanted).first_ms
        limits = [wait_ms + slack for wait_ms in (100 - 1, 100 + 1)]
        fleet = [
            engine("p1", True, wait_ms=limits[0]),
            engine("p2", True, wait_ms=limits[1]),
            engine("d", streams=90),
        ]
        found = self.count("prefill", fleet, wanted)
        self.assertEqual(found, {"p1": 400})

    def test_the_time_at_the_engine_is_predicted(self):
        # Guards against wrong queues at slow engines, and against prefills
        # that are given up there although they make progress.
        slow = [engine("p", True, relative_time=1.7, pace=2.0), engine("d")]
        usual = [engine("p", True), engine("d")]
        wanted = demand(9_000, 2_000)
        slow = self.choose(slow, wanted)
        usual = self.choose(usual, wanted)
        if slow.prefill is None:
            self.fail("not split")
        self.assertAlmostEqual(slow.cost_ms, 1.7 * usual.prompt_ms)
        self.assertAlmostEqual(slow.prefill_ms, 3.4 * usual.prompt_ms)
        self.assertGreater(
            slow.first_ms - usual.first_ms, 2.39 * usual.prompt_ms
        )
