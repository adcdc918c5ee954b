"""One entry's estimate of an engine's load between two reports.

Reports lag, and all entries send by them.  The entry adds what it sent since
the last report, scaled up by its share of the arrivals that the report showed:
with eight entries its own count is about an eighth of the total.
"""

from clementinewall.policy import endpoint_health
from clementinewall.policy import routing

MAX_SCALE = 16.0
STALE_MS = 4_000
# Fraction of the earlier counts that is kept at each report.
KEPT_FRACTION = 0.9


class Tracker:
    """One entry's estimate of the load of one engine."""

    def __init__(self):
        """Begin without a report."""
        self.report = None
        self.at = None
        self.open = 0
        self.health = endpoint_health.Health()
        self._tokens = 0.0
        self._streams = 0
        self._scale = 1.0
        self._all = 0.0
        self._own = 0.0

    def sent(self, tokens):
        """Count a request sent now with ``tokens`` of prompt work."""
        self._tokens += tokens
        self._streams += 1
        self.open += 1

    def ended(self):
        """Count the end of a request."""
        self.open -= 1

    def apply_report(self, report, now):
        """Apply a report of the engine's load as of ``now``."""
        if self.report is not None:
            arrived = max(0, report.arrived - self.report.arrived)
            # The ratio of sums, not the mean of ratios: between two reports
            # an entry sends one or two streams, and the mean of ratios of
            # such small numbers is far too high.
            self._all = KEPT_FRACTION * self._all + arrived
            self._own = KEPT_FRACTION * self._own + self._streams
            if self._own > 0:
                part = self._all / self._own
                self._scale = min(MAX_SCALE, max(1.0, part))
        self.report = report
        self.at = now
        self._tokens = 0.0
        self._streams = 0
        self.health.record_report()

    def candidate(self, name, now, distance_ms, cached_tokens=0):
        """Return the engine as the routing policy sees it."""
        report = self.report
        if report is None:
            return routing.Candidate(name, distance_ms=distance_ms)
        known = routing.Candidate(
            id=name,
            role=report.role,
            distance_ms=distance_ms,
            prefill_ms=report.prefill_us / 1_000,
            gap_ms=report.gap_ms,
            slots=max(1, report.slots),
            report_age_ms=now - self.at,
            cached_tokens=cached_tokens,
            slowness=self.health.slowness,
        )
        if now - self.at > STALE_MS:
            # Most of what was sent since the last report has been completed,
            # but no report says so: summing it would show an ever fuller
            # engine and refuse work that it could do.  The requests that are
            # still open here, scaled, are the best estimate.
            return known._replace(running=self.open * self._scale)
        return known._replace(
            queued_tokens=report.queued_tokens,
            running=report.running,
            sent_tokens=self._tokens * self._scale,
            sent_streams=self._streams * self._scale,
        )

    def record_answer(self, gap_ms=None):
        """Record an answer and the observed ms between its tokens."""
        expected = None
        if gap_ms is not None and self.report is not None:
            seen = self.candidate("", self.at, 0.0)
            expected = routing.predict_gap(seen._replace(slowness=1.0))
        self.health.record_success(gap_ms, expected)
