"""Which software versions are recorded as lately served."""

import itertools
import unittest

from clementinewall.policy import served_versions

VERSIONS = ("v1", "v2")
SUBSETS = [
    frozenset(found)
    for size in range(len(VERSIONS) + 1)
    for found in itertools.combinations(VERSIONS, size)
]


def updated(recorded, serving, recent):
    """Return the versions to record of one service."""
    found = served_versions.updated(
        {"s": recorded}, {"s": serving}, {"s": recent | serving}
    )
    return found.get("s", frozenset())


class Updated(unittest.TestCase):
    """What one gateway makes of the record of all."""

    def test_what_serves_is_recorded_and_nothing_unrecorded_is_revived(self):
        for case in itertools.product(SUBSETS, repeat=3):
            recorded, serving, recent = case
            found = updated(*case)
            self.assertLessEqual(serving, found)
            self.assertLessEqual(recorded & recent, found)
            self.assertLessEqual(found, recorded | serving)

    def test_gateways_that_agree_write_no_more(self):
        for case in itertools.product(SUBSETS, repeat=3):
            _, serving, recent = case
            found = updated(*case)
            self.assertEqual(updated(found, serving, recent), found)

    def test_gateways_write_one_after_the_other(self):
        delays = [served_versions.write_delay_ms(rank) for rank in range(9)]
        self.assertEqual(delays[0], 0)
        self.assertEqual(delays, sorted(set(delays)))
