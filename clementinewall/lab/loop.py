"""Virtual time: calls in the order of their times, nothing in between."""

import heapq
import itertools


class Loop:
    """Calls functions at virtual times, in milliseconds."""

    def __init__(self):
        """Begin at 0 with nothing to do."""
        self.now = 0.0
        self._serial = itertools.count()
        self._calls = []

    def time_ms(self):
        """Return the time, as the gateway's parts ask for it."""
        return self.now

    def after(self, ms, function, *arguments):
        """Call ``function`` after ``ms``."""
        at = self.now + max(0.0, ms)
        call = (at, next(self._serial), function, arguments)
        heapq.heappush(self._calls, call)

    def run(self, until_ms):
        """Make all calls that are due until then."""
        while self._calls and self._calls[0][0] <= until_ms:
            self.now, _, function, arguments = heapq.heappop(self._calls)
            function(*arguments)
