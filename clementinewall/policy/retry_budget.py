"""A budget that keeps retries from multiplying the load of a failure.

Each request earns a fraction of a retry and each retry spends a whole one, so
retries add at most that fraction to the load, whatever fails and for however
long.
"""

EARNED_PER_REQUEST = 0.1
MAX_RETRIES = 20.0


class RetryBudget:
    """The retry budget of one class at one entry."""

    def __init__(self):
        """Begin with a full burst."""
        self._left = MAX_RETRIES

    def earn(self):
        """Count a request."""
        self._left = min(MAX_RETRIES, self._left + EARNED_PER_REQUEST)

    def spend(self):
        """Take one retry; return whether there was one left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
