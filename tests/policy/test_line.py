"""The line in which gateways stand."""

import random
import unittest

from clementinewall.policy import line


class LineTest(unittest.TestCase):
    """Gateways in three data centres."""

    def setUp(self):
        """Have a large data centre and two small ones."""
        self.data_centre_by_name = {f"a{n}": "a" for n in range(24)}
        self.data_centre_by_name.update({"b1": "b", "b2": "b", "c1": "c"})

    def order(self, names=None):
        """Return the line, by default of all."""
        names = self.data_centre_by_name if names is None else names
        return line.order(names, self.data_centre_by_name)

    def test_the_loss_of_a_data_centre_costs_few_places(self):
        # Guards against a line whose whole front shares a fault.
        self.assertEqual(self.order()[:5], ["a0", "b1", "c1", "a1", "b2"])

    def test_all_stand_in_it_once_whatever_order_they_are_known_in(self):
        known = list(self.data_centre_by_name)
        random.Random(1).shuffle(known)
        self.assertEqual(self.order(known), self.order())
        self.assertEqual(sorted(self.order()), sorted(known))

    def test_one_data_centre_stands_by_name(self):
        self.assertEqual(self.order(["a2", "a0", "a1"]), ["a0", "a1", "a2"])
