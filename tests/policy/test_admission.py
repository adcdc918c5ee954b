"""Admission: true refusals, with when to come back."""

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
    """Whom admission lets in."""

    @hypothesis.given(DEMAND, st.floats(0, 100))
    def test_a_refusal_says_when_to_come_back(self, demand, score):
        """A caller that is refused can act on the answer."""
        verdict = admission.decide(choice(score), demand, 1_000)
        if not verdict.admit:
            self.assertGreaterEqual(
                verdict.retry_after_ms, admission.MIN_RETRY_MS
            )
            self.assertLessEqual(
                verdict.retry_after_ms, admission.MAX_RETRY_MS
            )

    @hypothesis.given(DEMAND, st.floats(0, admission.PRESSURE))
    def test_without_pressure_everybody_is_let_in(self, demand, score):
        """Even a caller who takes all, while nobody is hurt by it."""
        self.assertTrue(admission.decide(choice(score), demand, 1_000).admit)

    @hypothesis.given(DEMAND, st.floats(0, 3))
    def test_a_higher_priority_is_never_worse_off(self, demand, score):
        """What a low priority gets, a high one gets too."""
        low = demand._replace(priority=0)
        high = demand._replace(priority=9)
        if admission.decide(choice(score), low, 1_000).admit:
            self.assertTrue(admission.decide(choice(score), high, 1_000).admit)

    def test_a_flooding_caller_waits_under_pressure(self):
        """One of forty callers sends half of all work."""
        flood = admission.Demand(5, 0.5, 40)
        other = admission.Demand(5, 0.02, 40)
        self.assertFalse(admission.decide(choice(0.7), flood, 1_000).admit)
        self.assertTrue(admission.decide(choice(0.7), other, 1_000).admit)


if __name__ == "__main__":
    unittest.main()
