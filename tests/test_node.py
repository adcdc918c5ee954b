"""What a draining entry may still take."""

import types
import unittest

from clementinewall import clock
from clementinewall import errors
from clementinewall import node

DRAIN_MS = 8_000


class Drain(unittest.TestCase):
    """The time left of a drain."""

    def test_suspension_of_the_machine_uses_up_a_drain(self):
        # Guards against work that outlasts the process: the operators' limit
        # for a stop runs on while the machine is suspended.
        ticker = clock.ManualClock(1_000)
        draining = types.SimpleNamespace(
            clock=ticker, drain_end=ticker.now() + DRAIN_MS
        )
        ticker.suspended = DRAIN_MS
        with self.assertRaises(errors.NotReady):
            node.Node.check_remaining_time(draining, DRAIN_MS // 2)
