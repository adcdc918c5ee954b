"""What the tests of the soak's checks share."""

import time
import unittest

from bench.soak import checks
from bench.soak import ledger as ledger_module

GATEWAY = "gateway-1"


def sent(attempt, kind="unsafe", status=200, right=True, **more):
    """Return a request as a caller sent it."""
    now = time.monotonic()
    row = ledger_module.Sent(
        attempt, kind, GATEWAY, "/book/x", now, now, status, right
    )
    return row._replace(**more)


def run(attempt, endpoint="app-1", at=None):
    """Return a run at an endpoint."""
    at = time.monotonic() if at is None else at
    return ledger_module.Run(attempt, endpoint, "/book/x", at)


class LedgerCase(unittest.TestCase):
    """A ledger that a test fills."""

    def setUp(self):
        """Begin with nothing seen."""
        self.ledger = ledger_module.Ledger()

    def see(self, *rows):
        """Note rows of any kind."""
        rows_by_type = {
            ledger_module.Sent: self.ledger.sent,
            ledger_module.Run: self.ledger.runs,
            ledger_module.RunEnd: self.ledger.run_ends,
            ledger_module.Arrival: self.ledger.arrivals,
            ledger_module.Readiness: self.ledger.readiness,
            ledger_module.Stop: self.ledger.stops,
            ledger_module.Trouble: self.ledger.troubles,
        }
        for row in rows:
            if isinstance(row, (ledger_module.Sent, ledger_module.Run)):
                self.ledger.begin(row.attempt)
            self.ledger.add(rows_by_type[type(row)], row)

    def broken(self):
        """Return how many promises are broken."""
        return len(checks.judge(self.ledger))
