"""Time in whole milliseconds, from one monotonic clock per process.

Durations and instants are plain ``int`` milliseconds.  An instant has a
meaning inside its own process only: nothing here is ever compared with the
clock of another instance.
"""

import time

Millis = int


class Clock:
    """The process's monotonic clock."""

    def now(self) -> Millis:
        """Return the milliseconds since some fixed moment."""
        return time.monotonic_ns() // 1_000_000

    def now_with_suspend(self) -> Millis:
        """Return the milliseconds, those of a suspended machine included.

        The monotonic clock stands still while a machine is suspended; a
        lease that is counted by it would outlive its time.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock(Clock):
    """A clock that moves only when told, for tests and replays."""

    def __init__(self, start: Millis = 0):
        """Start at ``start`` milliseconds."""
        self._now = start
        self.suspended = 0

    def now(self) -> Millis:
        """Return the time last set."""
        return self._now

    def now_with_suspend(self) -> Millis:
        """Return the time last set, with what was spent suspended."""
        return self._now + self.suspended

    def advance(self, by: Millis):
        """Move forward by ``by`` milliseconds."""
        self._now += by


def seconds(millis: Millis) -> float:
    """Convert for the library calls that take seconds."""
    return millis / 1000
