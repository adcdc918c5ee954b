"""Time in whole milliseconds, from one monotonic clock per process.

Durations and points in time are plain ``int`` milliseconds.  A point in time
is valid inside its own process only and is never compared with the clock of
another instance.
"""

import time

Millis = int


class Clock:
    """The process's monotonic clock."""

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary fixed point."""
        return time.monotonic_ns() // 1_000_000

    def now_with_suspend(self) -> Millis:
        """Return the milliseconds, including time spent suspended.

        The monotonic clock stops while a machine is suspended; a lease timed
        by it would be held beyond its end.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000

    def time_of_day(self) -> Millis:
        """Return the milliseconds since 1970, which may jump either way."""
        return time.time_ns() // 1_000_000

    def time_of_day_seconds(self) -> int:
        """Return the seconds since 1970, which may jump either way.

        Only for numbers that should grow from one process to the next.
        """
        return int(time.time())


class ManualClock(Clock):
    """A clock that is advanced explicitly, for tests and replays."""

    def __init__(self, start: Millis = 0):
        """Start at ``start`` milliseconds."""
        self._now = start
        self.suspended = 0
        # By how much the time of day is ahead of the other clocks.
        self.wall_offset = 0

    def now(self) -> Millis:
        """Return the time last set."""
        return self._now

    def now_with_suspend(self) -> Millis:
        """Return the time last set plus ``suspended``."""
        return self._now + self.suspended

    def time_of_day(self) -> Millis:
        """Return the time with suspension plus ``wall_offset``."""
        return self.now_with_suspend() + self.wall_offset

    def advance(self, by: Millis):
        """Advance by ``by`` milliseconds."""
        self._now += by


def seconds(millis: Millis) -> float:
    """Return seconds, for library calls that take them."""
    return millis / 1000
