"""Ports that tests give to the processes they start."""

import subprocess
import sys
import unittest
from unittest import mock

from standins import bringup

RANGE = (15_000, 15_040)
DRAW = (
    "from standins import bringup\n"
    f"bringup.PORTS = {RANGE}\n"
    "print([bringup.free_port() for _ in range(15)], flush=True)\n"
    "input()\n"
)


class Ports(unittest.TestCase):
    """Two suites that run side by side on one machine."""

    def test_no_port_is_given_out_by_two_suites(self):
        # Two runs of the suite draw ports from the same range.  A port that
        # the one has given to a process that doesn't listen yet is free to
        # look at; given out again, one of the two processes can't start.
        other = subprocess.Popen(
            [sys.executable, "-c", DRAW],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(other.communicate, "\n")
        theirs = set(map(int, other.stdout.readline()[1:-2].split(",")))
        with mock.patch.object(bringup, "PORTS", RANGE):
            ours = {bringup.free_port() for _ in range(15)}
        self.assertEqual((len(theirs), len(ours)), (15, 15))
        self.assertEqual(ours & theirs, set())
