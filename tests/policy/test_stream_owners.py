"""Which gateways keep what is known of a stream."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import stream_owners

NAMES = strategies.sets(
    strategies.integers(0, 10_000).map(lambda n: f"10.0.{n // 256}.{n % 256}"),
    min_size=8,
    max_size=40,
)


class Owners(unittest.TestCase):
    """Owners by the hash of an attempt."""

    @hypothesis.given(NAMES, strategies.text(max_size=20))
    def test_two_members_more_or_less_leave_the_told_among_the_asked(
        self, ips, attempt
    ):
        told = stream_owners.rank(attempt, ips, stream_owners.TOLD)
        lost = sorted(ips - set(told))[:1]
        later = (ips - set(lost)) | {"10.9.9.9", "10.9.9.8"}
        asked = stream_owners.rank(attempt, later, stream_owners.ASKED)
        self.assertLessEqual(set(told), set(asked))

    def test_owners_are_spread_evenly(self):
        ips = [f"10.0.0.{n}" for n in range(1, 21)]
        counts = collections.Counter(
            ip
            for number in range(2_000)
            for ip in stream_owners.rank(f"{number:016x}", ips, 3)
        )
        self.assertEqual(len(counts), len(ips))
        self.assertLess(max(counts.values()), 2 * min(counts.values()))
