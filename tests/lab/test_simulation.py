"""Tests of whole runs of the lab."""

import unittest

from clementinewall.lab import deployment
from clementinewall.lab import load
from clementinewall.lab import main
from clementinewall.lab import policies
from clementinewall.lab import report

SHARED = deployment.SharedPart(tokens=4_000, things=20, skew=0.3)
LONG = deployment.RequestClass(
    per_s=20,
    goal_ms=400,
    deadline_ms=8_000,
    tokens_in=6_000,
    tokens_out=300,
    late_worth=0.3,
    spread_in=1.0,
    shared=(SHARED,),
)
SHORT = deployment.RequestClass(
    per_s=40,
    goal_ms=200,
    deadline_ms=2_500,
    tokens_in=700,
    tokens_out=50,
    late_worth=0.3,
)
SMALL = deployment.Deployment(
    "small",
    deployment.Gateways(count=7),
    deployment.Engines(count=6, slots=96, kv_tokens=900_000),
    {"long": LONG, "short": SHORT},
    clump=3.0,
)
SECONDS = 6.0


def with_load(factor):
    """Return the small deployment with ``factor`` times its load."""
    classes = {
        name: row._replace(per_s=row.per_s * factor)
        for name, row in SMALL.classes.items()
    }
    return SMALL._replace(classes=classes)


def play(text, where=SMALL, seed=1):
    """Return the summary of one run of the policy named ``text``."""
    policy = policies.parse(text)
    return main.play(main.Job(where, policy, seed, SECONDS))


class LoadTest(unittest.TestCase):
    """Random arrivals."""

    def test_same_seed_draws_the_same_arrivals(self):
        self.assertEqual(
            load.draw(SMALL, SECONDS, 3), load.draw(SMALL, SECONDS, 3)
        )

    def test_rates_and_sizes_follow_the_deployment(self):
        arrivals = load.draw(SMALL, 200.0, 3)
        rows = [a for a in arrivals if a.work_class == "long"]
        own = [a.prompt.parts[-1].tokens for a in rows]
        self.assertAlmostEqual(len(rows) / 200, LONG.per_s, delta=2)
        mean = sum(own) / len(own)
        self.assertAlmostEqual(mean, LONG.tokens_in, delta=600)

    def test_burst_raises_only_its_class(self):
        burst = deployment.Burst("long", at_s=50, for_s=50, factor=2.0)
        arrivals = load.draw(SMALL._replace(bursts=(burst,)), 100.0, 3)
        found = {
            (name, half): sum(
                a.work_class == name and (a.at_ms >= 50_000) == half
                for a in arrivals
            )
            for name in SMALL.classes
            for half in (False, True)
        }
        long_ratio = found["long", True] / found["long", False]
        short_ratio = found["short", True] / found["short", False]
        self.assertAlmostEqual(long_ratio, 2.0, delta=0.4)
        self.assertAlmostEqual(short_ratio, 1.0, delta=0.2)


class SimulationTest(unittest.TestCase):
    """Results of the policies."""

    def test_same_seed_gives_the_same_result(self):
        self.assertEqual(play("gateway"), play("gateway"))

    def test_every_request_has_an_outcome(self):
        found = play("gateway")
        asked = sum(row.asked for row in found.by_class.values())
        self.assertEqual(asked, len(load.draw(SMALL, SECONDS, 1)))

    def test_light_load_is_served_in_time(self):
        self.assertGreater(play("gateway", with_load(0.3)).credit, 0.9)

    def test_no_policy_exceeds_the_bound(self):
        for factor in (0.3, 1.0, 3.0):
            for text in policies.PLACERS:
                found = play(text, with_load(factor))
                self.assertLessEqual(found.credit, found.bound + 1e-9)

    def test_gateway_policy_beats_random_placement(self):
        # At a load near the prefill capacity of the engines, a request that
        # is placed at random waits behind the queue of its engine.
        known = play("gateway").credit
        self.assertGreater(known, play("random").credit + 0.1)
        self.assertGreater(known, play("random-split").credit + 0.02)

    def test_overload_does_not_starve_large_requests(self):
        # Refusing all large requests would earn as much credit for less
        # engine time, but their callers would never be served.
        found = play("gateway", with_load(1.5))
        row = found.by_class["long"]
        self.assertGreater(row.largest, row.credit / 2)


class PrefillSpeedLearningTest(unittest.TestCase):
    """Engines whose prefill speed differs from the gateways' prediction.

    Gateways learn a scale of their predictions from measured prefills.
    """

    WITHOUT_LEARNING = (
        "gateway:prefill_scale.FIRST_STEP=0,prefill_scale.LAST_STEP=0"
    )

    def credits(self, tokens_a_ms, pairs_ms_a_million, factor):
        """Return the mean credit with learning and without."""
        where = with_load(factor)
        engines = where.engines._replace(
            tokens_a_ms=tokens_a_ms, pairs_ms_a_million=pairs_ms_a_million
        )
        where = where._replace(engines=engines)
        return [
            sum(play(text, where, seed).credit for seed in (1, 2, 3)) / 3
            for text in ("gateway", self.WITHOUT_LEARNING)
        ]

    def test_learning_helps_with_engines_slower_than_predicted(self):
        learned, unlearned = self.credits(60.0, 0.3, 0.6)
        self.assertGreater(learned, unlearned + 0.01)

    def test_learning_costs_little_where_predictions_hold(self):
        learned, unlearned = self.credits(157.0, 0.109, 1.0)
        self.assertGreater(learned, unlearned - 0.03)


class PolicyTest(unittest.TestCase):
    """Parsing of policies and overrides of constants."""

    def test_overrides_apply_to_their_run_only(self):
        before = play("gateway")
        other = play("gateway:placement.MAX_SLOT_FRACTION=0.05")
        self.assertNotEqual(other.credit, before.credit)
        self.assertEqual(play("gateway"), before)

    def test_error_names_the_mistake(self):
        for text, part in (
            ("best", "no policy 'best'"),
            ("gateway:placement.NOTHING=1", "placement.NOTHING"),
            ("gateway:placement.TARGET_FRACTION=much", "much"),
            ("gateway:nowhere.ROOM=1", "nowhere.ROOM"),
            ("gateway:placement.choose=1", "is no number"),
        ):
            with self.assertRaises(policies.errors.SettingsError) as caught:
                policies.parse(text)
            self.assertIn(part, caught.exception.message)


class ReportTest(unittest.TestCase):
    """The printed report."""

    def test_table_and_json_name_policies_and_classes(self):
        found = {"gateway": report.mean([play("gateway"), play("gateway")])}
        for text in (report.table(found), report.to_json(found)):
            for name in ("gateway", *SMALL.classes):
                self.assertIn(name, text)
