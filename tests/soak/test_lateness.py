"""The soak detects that its own threads were delayed."""

import itertools
import time
import unittest

from bench.soak import lateness


class LatenessMonitorTest(unittest.TestCase):
    """``LatenessMonitor`` on a clock that jumps once."""

    def test_a_delayed_wake_up_is_recorded(self):
        instants = itertools.chain(
            (0.0, 0.0, lateness.PERIOD_SECONDS), itertools.repeat(2.0)
        )
        monitor = lateness.LatenessMonitor(lambda: next(instants))
        monitor.start()
        time.sleep(4 * lateness.PERIOD_SECONDS)
        worst = monitor.stop()
        self.assertAlmostEqual(worst.seconds, 1.9)
        self.assertEqual(worst.at, 2.0)
