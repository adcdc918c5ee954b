"""Ending waits that take too long, without a timer for each token.

A stream waits twice for each token: for the engine and for the caller.  A
timeout around each wait was a tenth of the processor time of a stream; here
a wait costs two assignments, and one task looks at all of them now and then.
"""

import contextlib

import anyio

from clementinewall import clock

LOOK_MS = 200
ENGINE = "engine"
CALLER = "caller"


class Watch:
    """The present wait of one stream; ``expired`` names what took too long."""

    def __init__(self, now):
        """Start without a wait."""
        self.scope = anyio.CancelScope()
        self.expired = None
        self._now = now
        self._what = None
        self._until = None

    def wait_for(self, what, limit_ms):
        """Note what is waited for from now on, and for how long."""
        self._what = what
        self._until = self._now() + limit_ms

    def check(self):
        """Cancel the stream if its present wait is over its limit."""
        if self._until is not None and self._now() > self._until:
            self.expired = self._what
            self.scope.cancel()


class Watchdog:
    """Watches the streams of one entry."""

    def __init__(self, now):
        """Use ``now`` for milliseconds."""
        self._now = now
        self._watches = set()

    async def run(self):
        """Look at all waits for ever."""
        while True:
            for watch in list(self._watches):
                watch.check()
            await anyio.sleep(clock.seconds(LOOK_MS))

    @contextlib.contextmanager
    def watch(self):
        """Watch the body; afterwards ``expired`` tells whether it was cut."""
        watch = Watch(self._now)
        self._watches.add(watch)
        try:
            with watch.scope:
                yield watch
        finally:
            self._watches.discard(watch)
