"""Which gateways are asked for a tunnel."""

import random
import unittest

from clementinewall.policy import relay_choice

NEAR = [relay_choice.Candidate(f"near-{n}", "a") for n in range(4)]
FAR = [relay_choice.Candidate(f"far-{n}", "b") for n in range(40)]


def order(candidates, seed=1):
    """Return the order for a gateway in the data centre a."""
    return relay_choice.order(candidates, "a", random.Random(seed))


class RelayChoiceTest(unittest.TestCase):
    """The order of gateways with different answers."""

    def test_gateways_of_the_own_data_centre_come_first(self):
        names = order([*FAR, *NEAR])
        self.assertEqual(sorted(names[:4]), [each.ip for each in NEAR])

    def test_one_that_reached_the_endpoint_comes_first(self):
        proven = FAR[0]._replace(is_proven=True)
        self.assertEqual(order([*NEAR, *FAR[1:], proven])[0], proven.ip)

    def test_one_that_did_not_reach_it_comes_last(self):
        failed = [each._replace(has_failed=True) for each in NEAR]
        names = order([*failed, *FAR[:4]])
        self.assertEqual(sorted(names[:4]), [each.ip for each in FAR[:4]])

    def test_the_number_asked_is_bounded(self):
        # Guards against a fleet whose gateways all ask all others.
        self.assertEqual(len(order(FAR)), relay_choice.MAX_ASKED)

    def test_half_of_those_asked_stand_in_other_data_centres(self):
        # Guards against asking only gateways that share a cut.
        many = [relay_choice.Candidate(f"near-{n}", "a") for n in range(40)]
        names = order([*many, *FAR])
        far = [name for name in names if name.startswith("far")]
        self.assertEqual(len(far), relay_choice.MAX_ASKED / 2)
        self.assertEqual(len(order(many)), relay_choice.MAX_ASKED)

    def test_who_was_asked_longest_ago_comes_first(self):
        # Guards against a gateway with a way that is never asked.
        asked = [
            each._replace(asked_ms=100 * number)
            for number, each in enumerate(FAR)
        ]
        expected = [each.ip for each in reversed(asked[-4:])]
        self.assertEqual(order(asked)[:4], expected)
        lately = [each._replace(asked_ms=0) for each in NEAR]
        self.assertLessEqual(
            set(order([*lately, *FAR])), {each.ip for each in FAR}
        )

    def test_one_that_reached_another_endpoint_comes_before_unknown_ones(self):
        # Guards against a search of its own for each endpoint.
        connecting = FAR[0]._replace(connects=True, asked_ms=10)
        proven = FAR[1]._replace(is_proven=True, asked_ms=10)
        names = order([*NEAR, connecting, proven, *FAR[2:]])
        self.assertEqual(names[:2], [proven.ip, connecting.ip])
        failed = connecting._replace(has_failed=True)
        self.assertNotIn(failed.ip, order([*NEAR, failed, *FAR[1:]]))

    def test_equal_gateways_share_the_tunnels(self):
        # Guards against one gateway that carries the tunnels of all others.
        first = {order(FAR, seed)[0] for seed in range(400)}
        self.assertGreater(len(first), len(FAR) // 2)
