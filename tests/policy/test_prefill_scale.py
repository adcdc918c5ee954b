"""Estimates of the ratio of actual to predicted prefill times."""

import random
import unittest

from clementinewall.policy import prefill_scale


def estimate_after(scale, samples, seed, delayed=0.0):
    """Return an estimate after so many prompts, a fraction of them delayed."""
    chances = random.Random(seed)
    found = prefill_scale.PrefillScale()
    for _ in range(samples):
        predicted = chances.uniform(20, 200)
        seen = predicted * scale * chances.uniform(0.9, 1.1)
        if chances.random() < delayed:
            seen += chances.uniform(100, 2_000)
        found.record(seen, predicted)
    return found.estimate


class Scale(unittest.TestCase):
    """Gateways that see a few prompts each."""

    def test_each_speed_is_found_after_some_prompts(self):
        for scale in (0.5, 1.0, 1.4, 3.0):
            with self.subTest(scale=scale):
                found = prefill_scale.combined([estimate_after(scale, 40, 1)])
                self.assertAlmostEqual(found / scale, 1.0, delta=0.15)

    def test_prompts_with_unseen_waits_do_not_distort_it(self):
        found = prefill_scale.combined(
            [estimate_after(1.4, 60, 2, delayed=0.25)]
        )
        self.assertAlmostEqual(found / 1.4, 1.0, delta=0.25)

    def test_estimates_from_few_samples_add_up(self):
        few = [estimate_after(2.0, 6, seed) for seed in range(9)]
        found = prefill_scale.combined(few)
        self.assertAlmostEqual(found / 2.0, 1.0, delta=0.25)

    def test_the_scale_is_1_without_samples(self):
        self.assertEqual(prefill_scale.combined([]), 1.0)

    def test_short_prompts_are_ignored(self):
        found = prefill_scale.PrefillScale()
        found.record(500.0, prefill_scale.MIN_PREDICTED_MS / 2)
        self.assertEqual(found.estimate.weight, 0)

    def test_it_stays_within_its_limits(self):
        found = prefill_scale.PrefillScale()
        for _ in range(1_000):
            found.record(1e9, 100.0)
        self.assertLessEqual(
            found.estimate.log_scale, prefill_scale.MAX_LOG_SCALE
        )
