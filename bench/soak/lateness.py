"""How late the soak's own threads woke up on a busy machine.

The checks of time limits can't tell such a delay from one of a gateway.
"""

import threading
import time
import typing

PERIOD_SECONDS = 0.05


class Delay(typing.NamedTuple):
    """How late a wake-up was, and when since the start; both in seconds."""

    seconds: float
    at: float


class LatenessMonitor(threading.Thread):
    """Sleeps for short periods and records the latest wake-up."""

    def __init__(self, now=time.monotonic):
        """Start with no delay; ``now()`` returns seconds."""
        super().__init__(daemon=True)
        self._over = threading.Event()
        self._now = now
        self._began = now()
        self.worst = Delay(0.0, 0.0)

    def run(self):
        """Measure until stopped."""
        before = self._now()
        while not self._over.wait(PERIOD_SECONDS):
            now = self._now()
            seconds_late = now - before - PERIOD_SECONDS
            if seconds_late > self.worst.seconds:
                self.worst = Delay(seconds_late, now - self._began)
            before = now

    def stop(self):
        """Stop, and return the longest :class:`Delay`."""
        self._over.set()
        self.join()
        return self.worst
