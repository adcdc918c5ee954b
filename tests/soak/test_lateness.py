"""The soak knows when its own threads were held up."""

import itertools
import time
import unittest

from bench.soak import lateness


class Watching(unittest.TestCase):
    """``Watch`` on a clock that jumps once."""

    def test_a_hold_up_is_noticed(self):
        instants = itertools.chain(
            (0.0, 0.0, lateness.PERIOD_SECONDS), itertools.repeat(2.0)
        )
        watch = lateness.Watch(lambda: next(instants))
        watch.start()
        time.sleep(4 * lateness.PERIOD_SECONDS)
        worst = watch.stop()
        self.assertAlmostEqual(worst.seconds, 1.9)
        self.assertEqual(worst.at, 2.0)
