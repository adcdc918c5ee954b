"""What a read of the configuration confirms, and when it is repeated."""

import struct
import unittest

import anyio

from clementinewall.access import confirmation
from clementinewall.access import freshness
from clementinewall.access import peer_clocks
from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import fleet_view
from clementinewall.gateway import topic_followers
from clementinewall.platform import store

BOUNDS = domain.Bounds(configuration_ms=3_000, revocation_ms=2_000)
SETTINGS = domain.Settings(
    "gateway-1",
    "10.0.0.1",
    "a",
    "10.0.0.1:1",
    "10.0.0.1:2",
    "10.0.0.1:3",
    7_000,
    "10.0.0.9:1",
    BOUNDS,
)


class _Topic:
    """A topic without records."""

    late_ms = 0

    def __init__(self):
        self.end = 0
        self.is_complete = True
        self.waits_ms = []

    async def newest(self, _topic):
        """Return nothing."""
        return store.Batch((), self.end)

    async def read(self, _topic, _start, wait_ms=0):
        """Return nothing up to the end."""
        self.waits_ms.append(wait_ms)
        return store.Batch((), self.end, self.is_complete)


class Confirmation(unittest.TestCase):
    """A gateway with customers that reads the configuration."""

    def setUp(self):
        """Read the newest records."""
        self.clock = clock.ManualClock(70_000)
        self.freshness = freshness.Freshness(BOUNDS, self.clock)
        self.topic = _Topic()
        self.follower = topic_followers.configuration_follower(
            SETTINGS,
            self.clock.now,
            fleet_view.FleetView(self.clock.now, BOUNDS),
        )
        self.follower._store = self.topic
        clocks = peer_clocks.PeerClocks("10.0.0.1", self.clock, print)
        self.follower.confirmation = confirmation.Confirmation(
            self.freshness, clocks, self.clock, lambda: True
        )
        self.step()

    def step(self):
        """Read once."""
        anyio.run(self.follower._step)

    def test_an_answer_that_lacks_records_confirms_nothing(self):
        # A store that cuts answers at a size has left out the removal.
        self.clock.advance(1_000)
        self.topic.is_complete = False
        self.step()
        self.assertEqual(1_000, self.freshness.age_ms)
        self.topic.is_complete = True
        self.step()
        self.assertEqual(0, self.freshness.age_ms)

    def test_answers_tell_whether_they_lack_records(self):
        # The end of the log is beyond the last record of the answer.
        record = struct.pack(">I", 2) + b"\x01k"
        for end, is_complete in ((5, True), (6, False)):
            raw = struct.pack(">QQ", end, 0) + record
            found = store._decode_batch(raw, 4)
            self.assertEqual((5, is_complete), found[1:])

    def test_a_read_does_not_wait_until_its_confirmation_is_too_old(self):
        # A read confirms as of its beginning.  One that waits longer than the
        # rest of the bound leaves keys refused although the store answers.
        for age_ms, waits_ms in ((0, 1_050), (900, 300), (1_200, 0)):
            self.freshness.confirm(self.clock.now_with_suspend())
            self.clock.advance(age_ms)
            self.step()
            self.assertEqual(waits_ms, self.topic.waits_ms.pop(), age_ms)

    def test_a_store_that_confirms_nothing_is_not_called_all_the_time(self):
        # A store that lost its records ends before what is known, and each
        # call is billed.
        self.follower._next = 9
        self.clock.advance(BOUNDS.revocation_ms)
        self.step()
        self.assertFalse(self.freshness.is_current)
        self.assertGreater(self.follower._confirming_read_due_ms(), 50)


if __name__ == "__main__":
    unittest.main()
