"""How long the work of single engines takes, against the prediction."""

import math
import random
import unittest

from clementinewall.policy import engine_speed


def observed(relative_time, samples, seed=1, queued=0.3):
    """Return the speed after samples, some of which had to queue unseen."""
    rng = random.Random(seed)
    found = engine_speed.EngineSpeed()
    for _ in range(samples):
        seen_ms = 60.0 * relative_time * rng.lognormvariate(0, 0.1)
        if rng.random() < queued:
            seen_ms += rng.uniform(20, 200)
        found.record(seen_ms, 60.0, 0)
    return found


class LongTerm(unittest.TestCase):
    """The long-term time, learned from samples."""

    def test_each_speed_is_found_despite_unseen_queueing(self):
        # Guards against an engine that counts as slow because others queued.
        for relative_time in (0.7, 1.0, 1.3, 1.7):
            for seed in range(5):
                with self.subTest(relative_time=relative_time, seed=seed):
                    speed = observed(relative_time, 200, seed)
                    found = speed.relative_time(1.0, 0)
                    self.assertAlmostEqual(
                        found / relative_time, 1.0, delta=0.15
                    )

    def test_few_samples_tell_fast_engines_from_slow_ones(self):
        # Guards against seconds in which slow engines get as much as others.
        fast = observed(0.7, 4, queued=0).relative_time(1.0, 0)
        slow = observed(1.7, 4, queued=0).relative_time(1.0, 0)
        self.assertGreater(slow, 1.6 * fast)

    def test_an_engine_without_samples_is_as_its_service(self):
        found = engine_speed.EngineSpeed()
        self.assertEqual(found.relative_time(1.4, 0), 1.0)

    def test_the_time_is_relative_to_the_scale_of_the_service(self):
        # Guards against counting the speed of a service twice.
        speed = observed(1.5, 200, queued=0)
        self.assertAlmostEqual(speed.relative_time(1.5, 0), 1.0, delta=0.1)

    def test_outliers_leave_the_time_within_bounds(self):
        # Guards against an engine that gets no work again after one stall.
        found = engine_speed.EngineSpeed()
        found.record(1e9, 60.0, 0)
        self.assertLessEqual(
            found.relative_time(0.2, 0), engine_speed.MAX_RELATIVE_TIME
        )
        for _ in range(40):
            found.record(60.0, 60.0, 0)
        self.assertLess(found.relative_time(1.0, 0), 1.3)

    def test_short_predictions_are_ignored(self):
        found = engine_speed.EngineSpeed()
        found.record(500.0, engine_speed.MIN_PREDICTED_MS / 2, 0)
        self.assertEqual(found.estimate.weight, 0)

    def test_a_gateway_learns_from_its_peers(self):
        # Guards against many gateways that each have to find a slow engine.
        found = engine_speed.EngineSpeed()
        estimate = engine_speed.Estimate(math.log(1.7), 20)
        found.record_peer("10.0.0.2", estimate, 0)
        self.assertAlmostEqual(found.relative_time(1.0, 0), 1.7, delta=0.1)
        later = engine_speed.PEER_LIFETIME_MS + 1
        self.assertEqual(found.relative_time(1.0, later), 1.0)

    def test_estimates_of_peers_are_bounded(self):
        # Guards against memory that grows with the addresses of gateways.
        found = engine_speed.EngineSpeed()
        for n in range(100):
            estimate = engine_speed.Estimate(0.0, 1)
            found.record_peer(f"10.0.0.{n}", estimate, n)
        peers = found._peer_estimate_by_ip
        self.assertEqual(len(peers), engine_speed.MAX_PEERS)
        self.assertIn("10.0.0.99", peers)


class Paces(unittest.TestCase):
    """The momentary pace."""

    def paced(self, *paces):
        """Return the speed of an engine that reported these, 100 ms apart."""
        found = engine_speed.EngineSpeed()
        for number, pace in enumerate(paces):
            found.record_pace(pace, 100.0 * number)
        return found, 100.0 * (len(paces) - 1)

    def test_a_slow_spell_counts_at_once(self):
        # Guards against prompts for one in six engines that becomes 2.5 times
        # slower for 0.6 s.
        found, now = self.paced(*[1.0] * 30, 2.5)
        self.assertGreater(found.pace(now), 2.3)

    def test_an_old_figure_does_not_count(self):
        # Guards against avoiding an engine whose slow spell has ended.
        found, now = self.paced(*[1.0] * 30, 2.5)
        half = found.pace(now + engine_speed.PACE_LIFETIME_MS / 2)
        self.assertTrue(1.3 < half < 2.0)
        self.assertEqual(found.pace(now + engine_speed.PACE_LIFETIME_MS), 1.0)

    def test_a_figure_that_came_late_does_not_replace_a_newer_one(self):
        found, now = self.paced(*[1.0] * 30, 2.5)
        found.record_pace(1.0, now - 50)
        self.assertGreater(found.pace(now), 2.3)

    def test_a_slow_spell_does_not_become_the_usual_pace(self):
        # Guards against an engine that counts as fast after a slow spell.
        found, now = self.paced(*([1.0] * 30 + [2.5] * 6) * 5, 1.0)
        self.assertGreater(found.pace(now), 0.9)

    def test_the_pace_may_contain_the_long_term_time(self):
        # Guards against counting the long-term time twice where engines
        # report their pace against the usual time of all.
        found, now = self.paced(*[1.7] * 60)
        self.assertAlmostEqual(found.pace(now), 1.0, delta=0.1)

    def test_a_slow_spell_does_not_change_the_long_term_time(self):
        # Guards against prompts of a slow spell that count for good.
        found = engine_speed.EngineSpeed()
        for n in range(60):
            pace = 2.5 if n % 6 == 0 else 1.0
            found.record_pace(pace, 1_000.0 * n)
            found.record(60.0 * pace, 60.0, 1_000.0 * n)
        now = 60_000.0
        self.assertAlmostEqual(found.relative_time(1.0, now), 1.0, delta=0.1)
