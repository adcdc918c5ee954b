"""Bounds on replays of the policy; the same figures in every run."""

import unittest

from bench import policy
from bench import replay
from bench import strategies
from bench import traces


def goodput(name, strategy, deployment="harvest", load=0.8):
    """Return the result of one replay."""
    count, settings = policy.DEPLOYMENTS[deployment]
    plan = traces.make(name, 7, count, load)
    return replay.Replay(plan, count, strategy, settings, 7).run()


class RegressionTest(unittest.TestCase):
    """Goodput that the policy must not fall below."""

    def setUp(self):
        """Find the strategies by name."""
        self.by_name = {s.name: s for s in strategies.strategies(6)}

    def test_swings_cost_no_goodput(self):
        """On a swing the policy is within 2% of changing nothing."""
        for name in ("step", "swing_240"):
            own = goodput(name, self.by_name["policy"])
            none = goodput(name, self.by_name["no changes"])
            self.assertGreaterEqual(own.goodput, none.goodput - 0.02)

    def test_goodput_beats_the_threshold_with_half_its_changes(self):
        """The reactive baseline changes roles at every swing."""
        own = goodput("swing_240", self.by_name["policy"])
        other = goodput("swing_240", self.by_name["threshold"])
        self.assertGreater(own.goodput, other.goodput)
        self.assertLessEqual(own.role_changes, other.role_changes / 2)

    def test_overload_leaves_the_goodput_flat(self):
        """Without admission nearly every answer is late at overload."""
        own = goodput("overload", self.by_name["policy"])
        bare = goodput("overload", self.by_name["least open"])
        self.assertGreater(own.goodput, bare.goodput * 2)

    def test_missing_reports_cost_little_goodput(self):
        """For a minute no load report arrives; the engines are healthy."""
        own = goodput("silent", self.by_name["policy"])
        bare = goodput("silent", self.by_name["least open"])
        self.assertGreater(own.goodput, bare.goodput - 0.01)

    def test_a_flooding_caller_costs_others_little(self):
        """The other callers keep most of their answers."""
        own = goodput("flooding", self.by_name["policy"])
        self.assertGreater(own.good_others, 0.85)


if __name__ == "__main__":
    unittest.main()
