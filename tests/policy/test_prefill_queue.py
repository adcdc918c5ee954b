"""Predicted waits in the prefill queue of an engine."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import prefill_queue

Job = prefill_queue.Job
ANSWER = prefill_queue.ANSWER_MS

JOBS = strategies.lists(
    strategies.builds(
        Job,
        urgency=strategies.integers(0, 2),
        cost_ms=strategies.floats(1, 400),
        sent_at=strategies.floats(0, 1_000),
    ),
    max_size=8,
)


class Wait(unittest.TestCase):
    """``wait_ms`` on queues that can be checked by hand."""

    def test_an_idle_engine_prefills_at_once(self):
        self.assertEqual(prefill_queue.wait_ms([], 0, 1_000, 0), 0)

    def test_an_urgent_prompt_waits_for_the_one_that_has_begun(self):
        # A short prompt arrives during a prefill of 300 ms.  If it were
        # predicted to preempt it, the answer would come 250 ms later than
        # predicted, while another engine is idle.
        jobs = [Job(2, 300, 1_000)]
        wait = prefill_queue.wait_ms(jobs, 0, 1_050, 0)
        self.assertAlmostEqual(wait, 250)

    def test_an_urgent_prompt_passes_those_that_wait(self):
        jobs = [Job(2, 100, 1_000), Job(2, 100, 1_001), Job(0, 10, 1_002)]
        self.assertAlmostEqual(
            prefill_queue.wait_ms(jobs, 0, 1_050, 0), 50 + 10
        )
        self.assertAlmostEqual(
            prefill_queue.wait_ms(jobs, 0, 1_050, 2), 50 + 10 + 100
        )

    def test_a_prefill_begins_at_the_last_answer(self):
        # The answer to the first prompt has just arrived; the engine has
        # worked on the second one since then, not since it was sent.
        jobs = [Job(1, 100, 1_000)]
        wait = prefill_queue.wait_ms(jobs, 1_060 + ANSWER, 1_100, 1)
        self.assertAlmostEqual(wait, 60)

    def test_a_finished_prefill_adds_no_wait(self):
        jobs = [Job(1, 50, 1_000)]
        self.assertEqual(prefill_queue.wait_ms(jobs, 0, 1_060, 1), 0)

    @hypothesis.given(JOBS, strategies.floats(0, 1_000))
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_waits_are_bounded_and_ordered_by_urgency(self, jobs, last_end):
        now = 1_000
        waits = [
            prefill_queue.wait_ms(jobs, last_end, now, urgency)
            for urgency in range(3)
        ]
        total = sum(job.cost_ms for job in jobs)
        self.assertEqual(waits, sorted(waits))
        for wait in waits:
            self.assertTrue(0 <= wait <= total + 1e-6)
