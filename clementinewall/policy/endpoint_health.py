"""Health of endpoints: which are slow or failing, as pure state.

Slowness is the smoothed ratio of observed to expected times, so an engine at
half speed is predicted at half speed.  Consecutive failures pause an endpoint
for a growing time, after which a single request probes it.  One failure is
enough if it shows that the endpoint is absent.
"""

FAILURES_TO_PAUSE = 2
FIRST_PAUSE_MS = 1_000
# An absent endpoint comes back as a new incarnation with a new record.  Before
# that record is known, the endpoint may be in another stage and refuse what it
# is sent.
ABSENT_PAUSE_MS = 5_000
MAX_PAUSE_MS = 30_000
SMOOTHING = 0.1
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 10.0


class Health:
    """The health of one endpoint, as one process observed it."""

    def __init__(self):
        """Begin as healthy."""
        self.slowness = 1.0
        self._failures = 0
        self._paused_until = None
        self._absent_until = None
        self._pause_ms = FIRST_PAUSE_MS

    def is_absent(self, now):
        """Tell whether it was absent when last tried."""
        return self._absent_until is not None and now < self._absent_until

    def is_usable(self, now):
        """Tell whether it may be sent work now."""
        return self._paused_until is None or now >= self._paused_until

    def record_failure(self, now, absent=False):
        """Count a failure; return the pause in ms if one begins.

        ``absent`` tells that nothing listens at the endpoint's address, or
        that another endpoint answered there.
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
        """Count an answer; compare its time in ms with the expected one."""
        self._failures = 0
        self._paused_until = self._absent_until = None
        self._pause_ms = FIRST_PAUSE_MS
        if seen_ms is not None and expected_ms:
            ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, seen_ms / expected_ms))
            self.slowness += SMOOTHING * (ratio - self.slowness)

    def record_report(self):
        """Count a load report: the endpoint is present, if not yet healthy."""
        if self._paused_until is None:
            self._failures = 0
