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
    """What the policy must not fall back behind."""

    def setUp(self):
        """Find the strategies by name."""
        self.by_name = {s.name: s for s in strategies.strategies(6)}

    def test_it_does_no_harm(self):
        """On a swing the policy is within 2% of changing nothing."""
        for name in ("step", "swing_240"):
            own = goodput(name, self.by_name["policy"])
            none = goodput(name, self.by_name["no changes"])
            self.assertGreaterEqual(own.goodput, none.goodput - 0.02)

    def test_it_beats_the_threshold_with_half_its_changes(self):
        """The reactive baseline follows every swing."""
        own = goodput("swing_240", self.by_name["policy"])
        other = goodput("swing_240", self.by_name["threshold"])
        self.assertGreater(own.goodput, other.goodput)
        self.assertLessEqual(own.role_changes, other.role_changes / 2)

    def test_overload_leaves_the_goodput_flat(self):
        """Without admission nearly every answer is late at overload."""
        own = goodput("overload", self.by_name["policy"])
        bare = goodput("overload", self.by_name["least open"])
        self.assertGreater(own.goodput, bare.goodput * 2)

    def test_silent_reports_refuse_little(self):
        """For a minute no load report arrives; the engines are well."""
        own = goodput("silent", self.by_name["policy"])
        bare = goodput("silent", self.by_name["least open"])
        self.assertGreater(own.goodput, bare.goodput - 0.01)

    def test_a_flood_hurts_its_sender(self):
        """The other callers keep most of their answers."""
        own = goodput("flooding", self.by_name["policy"])
        self.assertGreater(own.good_others, 0.85)


if __name__ == "__main__":
    unittest.main()
