"""Properties of the routing choice."""

import unittest

import hypothesis
from hypothesis import strategies as st

from clementinewall.policy import routing

CANDIDATES = st.lists(
    st.builds(
        routing.Candidate,
        id=st.integers(0, 99).map(lambda n: f"e{n}"),
        role=st.sampled_from(["mixed", "prefill", "decode"]),
        distance_ms=st.floats(0, 50),
        queued_tokens=st.floats(0, 1e6),
        running=st.floats(0, 500),
        sent_tokens=st.floats(0, 1e5),
        sent_streams=st.floats(0, 100),
        report_age_ms=st.integers(0, 100_000),
        cached_tokens=st.integers(0, 10_000),
        slowness=st.floats(0.5, 10),
        prefill_ms=st.floats(0.001, 1),
        gap_ms=st.floats(1, 100),
        slots=st.integers(1, 64),
    ),
    min_size=1,
    max_size=12,
    unique_by=lambda c: c.id,
)
WORK = st.builds(
    routing.Work,
    prompt_tokens=st.integers(1, 100_000),
    first_ms=st.integers(1, 60_000),
    gap_ms=st.integers(1, 1_000),
)
DRAW = st.floats(0, 1, exclude_max=True)


class ChooseTest(unittest.TestCase):
    """Properties of the choice for any reports."""

    @hypothesis.given(CANDIDATES, WORK, DRAW)
    def test_the_choice_is_nearly_the_best(self, candidates, work, draw):
        """Without preferred engines the choice ranks close to the best."""
        choice = routing.choose(candidates, work, draw)
        rank_by_id = {c.id: routing.rank(c, work) for c in candidates}
        best = min(rank_by_id.values())
        self.assertLessEqual(
            rank_by_id[choice.id], best * routing.NEARLY_EQUAL_FACTOR
        )

    @hypothesis.given(CANDIDATES, WORK, DRAW)
    def test_affinity_never_costs_the_target(self, candidates, work, draw):
        """A preferred engine is chosen only well within the target."""
        preferred = (candidates[0].id,)
        choice = routing.choose(candidates, work, draw, preferred)
        plain = routing.choose(candidates, work, draw)
        self.assertLessEqual(
            choice.score,
            max(
                plain.score,
                routing.AFFINITY_LIMIT * routing.NEARLY_EQUAL_FACTOR,
            ),
        )

    @hypothesis.given(CANDIDATES, WORK)
    def test_more_work_is_never_predicted_faster(self, candidates, work):
        """Added load makes no prediction better."""
        for one in candidates:
            more = one._replace(
                queued_tokens=one.queued_tokens + 100, running=one.running + 1
            )
            self.assertGreaterEqual(
                routing.score(more, work), routing.score(one, work)
            )

    @hypothesis.given(CANDIDATES, WORK, DRAW)
    def test_a_split_keeps_to_the_roles(self, candidates, work, draw):
        """Prefill goes to prefill engines and decode to the others."""
        split = routing.choose_split(candidates, work, draw, 1.0)
        role_by_id = {c.id: c.role for c in candidates}
        roles = set(role_by_id.values())
        if split is None:
            self.assertTrue("prefill" not in roles or roles == {"prefill"})
        else:
            self.assertEqual("prefill", role_by_id[split.prefill_id])
            self.assertNotEqual("prefill", role_by_id[split.decode.id])

    @hypothesis.given(CANDIDATES, WORK, DRAW, st.integers(0, 10**7))
    def test_the_age_of_reports_does_not_change_the_score(
        self, candidates, work, draw, age
    ):
        """All load reports stop, and only the reports.

        An engine that had capacity then must not seem too busy to admit work
        only because its report is old.
        """
        fresh = [c._replace(report_age_ms=0) for c in candidates]
        old = [c._replace(report_age_ms=age) for c in candidates]
        self.assertEqual(
            routing.choose(fresh, work, draw).score,
            routing.choose(old, work, draw).score,
        )

    def test_no_candidates_give_no_choice(self):
        """Without candidates there is no choice."""
        work = routing.Work(1, 1, 1)
        self.assertIsNone(routing.choose([], work, 0.5))


if __name__ == "__main__":
    unittest.main()
