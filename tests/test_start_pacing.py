"""How starts that share a processor are spread."""

import subprocess
import sys
import unittest

from clementinewall import start_pacing


class Pacing(unittest.TestCase):
    """Waits by how many processes seem to share the processor."""

    def paced(self, *found):
        """Return the waits of a start that finds so many sharers in turn."""
        waits = []
        sharers = iter(found)
        waited_ms = start_pacing.pace(waits.append, lambda: next(sharers))
        self.assertAlmostEqual(waited_ms, 1_000 * sum(waits))
        return waits

    def test_a_start_alone_waits_for_nothing(self):
        # Guards against starts that are late on a machine of their own.
        self.assertEqual(self.paced(1.0), [])
        self.assertEqual(self.paced(start_pacing.MIN_CROWD - 0.1), [])

    def test_a_start_in_a_crowd_waits_for_a_part_of_all_starts(self):
        # Guards against starts that all end together.
        waits = [self.paced(71.0, 1.0) for _ in range(400)]
        longest = start_pacing.SPREAD * 70 * start_pacing.START_MS / 1_000
        limit = min(longest, start_pacing.MAX_WAIT_MS / 1_000)
        self.assertTrue(all(len(row) == 1 for row in waits))
        self.assertLessEqual(max(waits)[0], limit)
        self.assertLess(min(waits)[0], 0.1 * limit)
        self.assertGreater(max(waits)[0], 0.7 * limit)

    def test_a_crowd_that_dissolves_is_waited_for_again(self):
        # Guards against many that end their first wait together.
        counts = {len(self.paced(40.0, 20.0, 10.0, 2.0)) for _ in range(99)}
        self.assertEqual(max(counts), 3)

    def test_a_slow_machine_is_no_crowd(self):
        # Guards against waits that gain nothing, as nobody else starts.
        self.assertEqual(len(self.paced(11.0, 11.0)), 1)

    def test_all_waits_together_are_bounded(self):
        # Guards against a start that never comes to its turn.
        for _ in range(50):
            waits = self.paced(40.0, 20.0, 10.0, 5.0, 4.0)
            self.assertLessEqual(
                sum(waits), start_pacing.window_ms(40.0) / 1_000 + 0.001
            )
            waits = self.paced(4_000.0, 2_000.0, 900.0, 400.0, 200.0)
            self.assertLessEqual(
                sum(waits), start_pacing.MAX_WAIT_MS / 1_000 + 0.001
            )

    def test_a_signal_ends_the_wait(self):
        # Guards against a stop that waits for the starts of others.
        code = (
            "from clementinewall import signals; inbox = signals.catch();"
            "print('caught', flush=True); inbox.wait(20)"
        )
        with subprocess.Popen(
            [sys.executable, "-c", code], stdout=subprocess.PIPE
        ) as waiting:
            waiting.stdout.readline()
            waiting.terminate()
            self.assertEqual(waiting.wait(10), 0)

    def test_a_process_alone_finds_few_sharers(self):
        # Guards against a probe that takes its own work for that of others.
        clock = iter(range(0, 10**9, 10**6))
        found = start_pacing.count_sharers(
            monotonic_ns=iter((0, 16 * 10**6)).__next__,
            process_time_ns=clock.__next__,
        )
        self.assertEqual(found, 2.0)
