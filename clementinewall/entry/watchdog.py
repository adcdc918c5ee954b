"""Cancels waits that take too long, without a timer for each token.

A stream waits twice for each token: for the engine and for the caller.  A
timeout around each wait takes a tenth of the processor time of a stream;
here a wait costs two assignments, and one task checks all waits periodically.
"""

import contextlib

import anyio

from clementinewall import clock

CHECK_INTERVAL_MS = 200
ENGINE = "engine"
CALLER = "caller"


class Watch:
    """The current wait of one stream.

    ``expired`` is ``ENGINE`` or ``CALLER`` if that wait took too long.
    """

    def __init__(self, now):
        """Start without a wait; ``now`` returns the time in ms."""
        self.scope = anyio.CancelScope()
        self.expired = None
        self._now = now
        self._awaited = None
        self._deadline = None

    def wait_for(self, awaited, limit_ms):
        """Start to wait for ``awaited``, for at most ``limit_ms``."""
        self._awaited = awaited
        self._deadline = self._now() + limit_ms

    def check(self):
        """Cancel the stream if its current wait exceeds its limit."""
        if self._deadline is not None and self._now() > self._deadline:
            self.expired = self._awaited
            self.scope.cancel()


class Watchdog:
    """Watches the streams of one entry."""

    def __init__(self, now):
        """Start empty; ``now`` returns the time in ms."""
        self._now = now
        self._watches = set()

    async def run(self):
        """Check all waits until cancelled."""
        while True:
            for watch in list(self._watches):
                watch.check()
            await anyio.sleep(clock.seconds(CHECK_INTERVAL_MS))

    @contextlib.contextmanager
    def watch(self):
        """Watch the block; ``expired`` then tells whether it was cancelled."""
        watch = Watch(self._now)
        self._watches.add(watch)
        try:
            with watch.scope:
                yield watch
        finally:
            self._watches.discard(watch)
