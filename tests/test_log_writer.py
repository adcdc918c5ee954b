"""Logging never blocks a request, and dropped lines are counted."""

import os
import time
import unittest

from clementinewall import _log_writer


class StalledReader(unittest.TestCase):
    """The reader of standard output stops reading."""

    def setUp(self):
        """Open a pipe that nobody reads."""
        self.read_end, write_end = os.pipe()
        self.writer = _log_writer.Writer(write_end)
        self.addCleanup(os.close, write_end)
        self.addCleanup(os.close, self.read_end)

    def test_lines_are_dropped_and_counted_without_blocking(self):
        # The log collector hangs and the pipe is full.  A blocking write would
        # then block every request that logs.
        line = b"x" * 199 + b"\n"
        start = time.monotonic()
        for _ in range(10_000):
            self.writer.add(line, False)
        self.assertLess(time.monotonic() - start, 2)
        self.assertGreater(self.writer.dropped, 0)
        before = self.writer.dropped
        self.writer.add(b"a failure\n", True)
        self.assertEqual(self.writer.dropped, before)

    def test_what_was_kept_is_written_when_the_reader_is_back(self):
        for number in range(2_000):
            self.writer.add(b"%06d%s\n" % (number, b"x" * 93), False)
        seen = b""
        for _ in range(1_000):
            self.writer.flush()
            seen += os.read(self.read_end, 65_536)
            if len(seen) >= 200_000:
                break
        numbers = [int(row[:6]) for row in seen.splitlines()]
        self.assertEqual(numbers, list(range(2_000)))
