"""Whom admission refuses, and the time to retry that it gives."""

import unittest

import hypothesis
from hypothesis import strategies as st

from clementinewall.policy import admission
from clementinewall.policy import routing

DEMAND = st.builds(
    admission.Demand,
    priority=st.integers(0, 9),
    share=st.floats(0, 1),
    callers=st.integers(0, 500),
)


def choice(score):
    """Return a choice with a score."""
    return routing.Choice("e", score, 0.0, 0.0, "")


class JudgeTest(unittest.TestCase):
    """Which requests are admitted."""

    @hypothesis.given(DEMAND, st.floats(0, 100))
    def test_a_refusal_gives_a_time_to_retry(self, demand, score):
        """A refusal gives a time to retry within the limits."""
        verdict = admission.decide(choice(score), demand, 1_000)
        if not verdict.admit:
            self.assertGreaterEqual(
                verdict.retry_after_ms, admission.MIN_RETRY_MS
            )
            self.assertLessEqual(
                verdict.retry_after_ms, admission.MAX_RETRY_MS
            )

    @hypothesis.given(DEMAND, st.floats(0, admission.PRESSURE))
    def test_everybody_is_admitted_at_low_load(self, demand, score):
        """Even a caller who uses everything, while nobody is delayed."""
        self.assertTrue(admission.decide(choice(score), demand, 1_000).admit)

    @hypothesis.given(DEMAND, st.floats(0, 3))
    def test_a_higher_priority_is_never_worse_off(self, demand, score):
        """What is admitted at a low priority is admitted at a high one."""
        low = demand._replace(priority=0)
        high = demand._replace(priority=9)
        if admission.decide(choice(score), low, 1_000).admit:
            self.assertTrue(admission.decide(choice(score), high, 1_000).admit)

    def test_a_flooding_caller_is_refused_under_load(self):
        """One of forty callers sends half of all work."""
        flood = admission.Demand(5, 0.5, 40)
        other = admission.Demand(5, 0.02, 40)
        self.assertFalse(admission.decide(choice(0.7), flood, 1_000).admit)
        self.assertTrue(admission.decide(choice(0.7), other, 1_000).admit)


if __name__ == "__main__":
    unittest.main()
