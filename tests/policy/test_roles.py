"""Role changes: minimum counts, one at a time, none without a gain."""

import unittest

import hypothesis
from hypothesis import strategies as st

from clementinewall.policy import roles
from clementinewall.records import configuration

POLICY = configuration.Policy()
ENGINES = st.lists(st.sampled_from(roles.ROLES), min_size=1, max_size=8).map(
    lambda found: [
        roles.EngineView(f"e{n}", role) for n, role in enumerate(found)
    ]
)
DEMAND = st.builds(
    roles.Demand,
    prefill=st.floats(0, 20),
    decode=st.floats(0, 20),
    answers=st.floats(0, 100),
)
SHORTFALL = st.floats(0, 1)
LONG_MS = 600_000


def propose(engines, short, long, shortfall, policy=POLICY):
    """Return the proposal over a long horizon."""
    return roles.propose(engines, short, long, policy, shortfall, LONG_MS)


class ProposeTest(unittest.TestCase):
    """What a proposal may be."""

    @hypothesis.given(ENGINES, DEMAND, DEMAND, SHORTFALL)
    def test_each_kind_of_work_keeps_an_engine(
        self, engines, short, long, missed
    ):
        """Each kind of work keeps an engine that can do it."""
        before = roles.count_roles(engines)
        able = before["mixed"] + min(before["prefill"], before["decode"])
        hypothesis.assume(able > 0)
        proposal = propose(engines, short, long, missed)
        if proposal is None:
            return
        role_by_id = {e.id: e.role for e in engines}
        role_by_id[proposal.engine] = proposal.role
        left = list(role_by_id.values())
        self.assertTrue({"mixed", "prefill"} & set(left))
        self.assertTrue({"mixed", "decode"} & set(left))

    @hypothesis.given(ENGINES, DEMAND, DEMAND, SHORTFALL)
    def test_one_change_at_a_time(self, engines, short, long, missed):
        """While an engine is unavailable no other is changed."""
        engines[0] = engines[0]._replace(is_unavailable=True)
        self.assertIsNone(propose(engines, short, long, missed))

    @hypothesis.given(ENGINES, DEMAND, DEMAND)
    def test_nothing_changes_while_targets_are_met(self, engines, short, long):
        """Without misses no change can gain anything."""
        self.assertIsNone(propose(engines, short, long, 0.0))

    @hypothesis.given(ENGINES, DEMAND, DEMAND, SHORTFALL)
    def test_a_higher_price_never_adds_a_change(
        self, engines, short, long, missed
    ):
        """The price that operators publish only ever prevents changes."""
        dear = POLICY._replace(change_price=50.0)
        if propose(engines, short, long, missed, dear) is not None:
            self.assertIsNotNone(propose(engines, short, long, missed))

    @hypothesis.given(DEMAND, st.integers(1, 8))
    def test_more_engines_never_serve_less(self, demand, count):
        """Another mixed engine never reduces what is served."""
        few = {"mixed": count, "prefill": 0, "decode": 0}
        more = {"mixed": count + 1, "prefill": 0, "decode": 0}
        self.assertGreaterEqual(
            roles.served(more, demand) + 1e-6, roles.served(few, demand)
        )

    def test_a_lasting_prompt_heavy_mix_changes_a_role(self):
        """Six mixed engines miss a third of a steady flood of prompts."""
        engines = [roles.EngineView(f"e{n}", "mixed") for n in range(6)]
        demand = roles.Demand(5.5, 0.6, 10.0)
        proposal = propose(engines, demand, demand, 0.35)
        self.assertIsNotNone(proposal)

    def test_changes_without_effect_are_delayed_ever_longer(self):
        """The mix swings faster than changes pay.

        No change reduces the misses.  Unless each one is delayed longer than
        the last, engines change back and forth without a gain.
        """
        engines = [roles.EngineView(f"e{n}", "mixed") for n in range(6)]
        plan = roles.ModelPlan(0)
        demand = roles.Demand(4.5, 0.6, 10.0)
        changes = []
        for now in range(0, 1_800_000, 2_000):
            plan.record_demand(demand, 20, 14, 2_000)
            if plan.next_change(engines, POLICY, now) is not None:
                plan.record_change(now)
                changes.append(now)
        gaps = [b - a for a, b in zip(changes, changes[1:])]
        self.assertGreater(len(gaps), 2)
        self.assertEqual(sorted(gaps), gaps)
        self.assertGreater(gaps[-1], 4 * gaps[0])


if __name__ == "__main__":
    unittest.main()
