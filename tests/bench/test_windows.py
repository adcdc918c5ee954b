"""Counts in sliding windows."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from bench import windows


class MostInWindow(unittest.TestCase):
    """The fullest window of a series."""

    def test_no_times(self):
        self.assertEqual(windows.most_in_window([], 4), 0)

    def test_a_window_ends_before_its_length(self):
        self.assertEqual(windows.most_in_window([0, 1, 4], 4), 2)

    @given(st.lists(st.integers(0, 50)), st.integers(1, 20))
    def test_no_window_has_more(self, times, length):
        times.sort()
        most = windows.most_in_window(times, length)
        counts = [
            sum(start <= at < start + length for at in times)
            for start in range(51)
        ]
        self.assertEqual(most, max(counts))
