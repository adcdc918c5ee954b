"""Windows of the time of day and its jumps."""

import unittest

from clementinewall import clock
from clementinewall.usage import window_clock

WINDOW_MS = 5_000
HOUR_MS = 3_600_000


class Windows(unittest.TestCase):
    """A clock whose time of day is set while it runs."""

    def setUp(self):
        """Begin well after 1970."""
        self.clock = clock.ManualClock(1_000)
        self.clock.wall_offset = 1_000 * HOUR_MS
        self.windows = window_clock.WindowClock(self.clock, WINDOW_MS)

    def error_ms(self):
        """Return by how much the windows are ahead of the time of day."""
        return self.windows.now() - self.clock.time_of_day()

    def test_windows_follow_the_time_of_day(self):
        # Guards against windows that begin elsewhere on each gateway.
        now = self.clock.time_of_day()
        self.assertEqual(self.windows.window(), now // WINDOW_MS)
        end = (now // WINDOW_MS + 1) * WINDOW_MS
        self.assertEqual(
            self.windows.since_end_ms(now // WINDOW_MS), now - end
        )

    def test_suspension_moves_the_window(self):
        # Guards against counts in a window that ended during a suspension.
        self.clock.suspended += 3 * WINDOW_MS
        self.assertEqual(self.error_ms(), 0)

    def test_small_corrections_are_followed_at_once(self):
        # Guards against windows that drift away from those of others.
        for step in (300, -300, 400):
            self.clock.wall_offset += step
            self.assertEqual(self.error_ms(), 0)

    def test_jump_that_is_taken_back_changes_nothing(self):
        # Guards against counts in windows of a wrong hour.
        for jump in (HOUR_MS, -HOUR_MS):
            before = self.windows.now()
            self.clock.wall_offset += jump
            for _ in range(10):
                self.clock.advance(1_000)
                self.windows.now()
            self.assertEqual(self.windows.now(), before + 10_000)
            self.clock.wall_offset -= jump
            self.assertEqual(self.error_ms(), 0)

    def test_jump_that_lasts_is_followed(self):
        # Guards against a gateway that never returns to the true time.
        for jump in (HOUR_MS, -HOUR_MS):
            self.clock.wall_offset += jump
            self.windows.now()
            self.clock.advance(window_clock.JUMP_LASTING_MS)
            self.assertEqual(self.error_ms(), 0)

    def test_another_jump_has_to_last_by_itself(self):
        # Guards against a jump that is followed after a second, because an
        # earlier one to another time had lasted.
        self.clock.wall_offset += HOUR_MS
        self.windows.now()
        self.clock.advance(window_clock.JUMP_LASTING_MS - 1_000)
        self.windows.now()
        self.clock.wall_offset += HOUR_MS
        self.windows.now()
        self.clock.advance(1_000)
        self.assertEqual(self.error_ms(), -2 * HOUR_MS)
