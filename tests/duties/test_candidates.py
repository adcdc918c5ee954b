"""Which gateways may act for all."""

import typing
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.duties import candidates


class Peer(typing.NamedTuple):
    """What a heartbeat says."""

    ip: str
    ready: bool


IPS = [f"10.0.0.{n}" for n in range(9)]


class Choice(unittest.TestCase):
    """Views of a fleet."""

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(IPS), strategies.booleans(), min_size=1
        )
    )
    @hypothesis.settings(derandomize=True, max_examples=60)
    def test_gateways_with_one_view_agree(self, ready_by_ip):
        # Guards against counts that are sent to others than the holder.
        peers = [Peer(*item) for item in ready_by_ip.items()]
        chosen = {
            candidates.choose(
                own.ip, own.ready, [p for p in peers if p is not own]
            )
            for own in peers
        }
        expected = sorted(ip for ip, ready in ready_by_ip.items() if ready)
        self.assertEqual(chosen, {tuple(expected[: candidates.CANDIDATES])})

    def test_a_stopping_gateway_is_no_candidate(self):
        # Guards against an own heartbeat of before that came back.
        self.assertEqual(candidates.choose("a", False, [Peer("a", True)]), ())
