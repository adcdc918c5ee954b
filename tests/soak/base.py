"""Helpers for the tests of the soak's checks."""

import time
import unittest

from bench.soak import checks
from bench.soak import history as history_module

GATEWAY = "gateway-1"


def sent(attempt, kind="unsafe", status=200, is_correct=True, **more):
    """Return a request as a caller sent it."""
    now = time.monotonic()
    row = history_module.SentRequest(
        attempt, kind, GATEWAY, "/book/x", now, now, status, is_correct
    )
    return row._replace(**more)


def run(attempt, endpoint="app-1", at=None):
    """Return a run at an endpoint."""
    at = time.monotonic() if at is None else at
    return history_module.Run(attempt, endpoint, "/book/x", at)


class HistoryCase(unittest.TestCase):
    """A history that a test fills."""

    def setUp(self):
        """Start with an empty history."""
        self.history = history_module.History()

    def record(self, *rows):
        """Record rows of any kind."""
        rows_by_type = {
            history_module.SentRequest: self.history.sent,
            history_module.Run: self.history.runs,
            history_module.RunEnd: self.history.run_ends,
            history_module.Arrival: self.history.arrivals,
            history_module.Readiness: self.history.readiness,
            history_module.Stop: self.history.stops,
            history_module.Disturbance: self.history.disturbances,
        }
        for row in rows:
            if isinstance(
                row, (history_module.SentRequest, history_module.Run)
            ):
                self.history.record_attempt(row.attempt)
            self.history.add(rows_by_type[type(row)], row)

    def violations(self):
        """Return how many guarantees are broken."""
        return len(checks.find_violations(self.history))
