"""An event loop in virtual time."""

import heapq
import itertools


class Loop:
    """Calls functions in the order of their virtual times.

    Times are milliseconds; calls of the same time run in the order in which
    they were scheduled.
    """

    def __init__(self):
        """Start at time 0 with nothing scheduled."""
        self.now = 0.0
        self._serial = itertools.count()
        self._calls = []

    def time_ms(self):
        """Return the virtual time, as a clock for the gateway's code."""
        return self.now

    def after(self, ms, function, *arguments):
        """Schedule a call of ``function`` in ``ms``; negative means now."""
        at = self.now + max(0.0, ms)
        call = (at, next(self._serial), function, arguments)
        heapq.heappush(self._calls, call)

    def run(self, until_ms):
        """Make all calls that are due by ``until_ms``."""
        while self._calls and self._calls[0][0] <= until_ms:
            self.now, _, function, arguments = heapq.heappop(self._calls)
            function(*arguments)
