"""Learning which endpoints are slow or broken, as pure state.

Speed is the smoothed ratio of what was seen to what the report promised, so
an engine at half speed is predicted at half speed.  Failures in a row leave
an endpoint out for a growing time, after which a single request probes it.
One failure is enough if it shows that the endpoint isn't there.
"""

FAILURES_TO_PAUSE = 2
FIRST_PAUSE_MS = 1_000
# An endpoint that isn't there comes back as a new one, with a record of its
# own.  Tried before that record is known, it may be in another stage and
# refuse what it gets.
ABSENT_PAUSE_MS = 5_000
MAX_PAUSE_MS = 30_000
SMOOTHING = 0.1
FASTEST = 0.5
SLOWEST = 10.0


class Health:
    """The health of one endpoint, as one reader learned it."""

    def __init__(self):
        """Begin with a clean record."""
        self.slowness = 1.0
        self._failures = 0
        self._paused_until = None
        self._absent_until = None
        self._pause_ms = FIRST_PAUSE_MS

    def is_absent(self, now):
        """Tell whether nothing was there when it was last tried."""
        return self._absent_until is not None and now < self._absent_until

    def is_usable(self, now):
        """Tell whether work may go there now."""
        return self._paused_until is None or now >= self._paused_until

    def record_failure(self, now, absent=False):
        """Count a failure; return the pause in ms if one begins.

        ``absent`` tells that nothing listens where the endpoint was, or that
        another one answered.
        """
        if absent:
            self._paused_until = self._absent_until = now + ABSENT_PAUSE_MS
            return ABSENT_PAUSE_MS
        self._failures += 1
        if self._failures < FAILURES_TO_PAUSE or not self.is_usable(now):
            return 0
        pause = self._pause_ms
        self._paused_until = now + pause
        self._pause_ms = min(MAX_PAUSE_MS, pause * 2)
        return pause

    def record_success(self, seen_ms=None, expected_ms=None):
        """Count an answer, and how its speed compares to the promise."""
        self._failures = 0
        self._paused_until = self._absent_until = None
        self._pause_ms = FIRST_PAUSE_MS
        if seen_ms is not None and expected_ms:
            ratio = min(SLOWEST, max(FASTEST, seen_ms / expected_ms))
            self.slowness += SMOOTHING * (ratio - self.slowness)

    def record_report(self):
        """Count a load report: the endpoint is there, if not yet well."""
        if self._paused_until is None:
            self._failures = 0
