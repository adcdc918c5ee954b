"""A budget that keeps retries from multiplying the load of a failure.

Each request earns a part of a retry and each retry spends a whole one, so
retries add at most that part to the load, whatever fails and however long.
"""

EARNED = 0.1
BURST = 20.0


class RetryBudget:
    """The budget of one class at one entry."""

    def __init__(self):
        """Begin with a full burst."""
        self._left = BURST

    def earn(self):
        """Count a request."""
        self._left = min(BURST, self._left + EARNED)

    def spend(self):
        """Take one retry; return whether there was one left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
