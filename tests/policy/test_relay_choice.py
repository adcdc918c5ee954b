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

    def test_equal_gateways_share_the_tunnels(self):
        # Guards against one gateway that carries the tunnels of all others.
        first = {order(FAR, seed)[0] for seed in range(400)}
        self.assertGreater(len(first), len(FAR) // 2)
