"""How late the soak's own threads ran, which its time limits can't tell."""

import threading
import time
import typing

PERIOD_SECONDS = 0.05


class Late(typing.NamedTuple):
    """A wake-up that came so many seconds late, so long after the start."""

    seconds: float
    at: float


class Watch(threading.Thread):
    """Sleeps for short times and notes the one that lasted longest."""

    def __init__(self, now=time.monotonic):
        """Begin with nothing late; ``now()`` returns seconds."""
        super().__init__(daemon=True)
        self._over = threading.Event()
        self._now = now
        self._began = now()
        self.worst = Late(0.0, 0.0)

    def run(self):
        """Watch until stopped."""
        before = self._now()
        while not self._over.wait(PERIOD_SECONDS):
            now = self._now()
            late = now - before - PERIOD_SECONDS
            if late > self.worst.seconds:
                self.worst = Late(late, now - self._began)
            before = now

    def stop(self):
        """End, and return the :class:`Late` that was worst."""
        self._over.set()
        self.join()
        return self.worst
