"""Each caller's share of the recent work at this entry.

Counts decay, so that a flood stops counting against its caller soon after.
The table is bounded; on overflow the smallest count is dropped, whose share
was close to zero.
"""

import math

HALF_LIFE_MS = 10_000
MAX_CALLERS = 2_000
MIN_TOKENS = 1.0


class Shares:
    """Exponentially decaying token counts by caller."""

    def __init__(self, now):
        """Start empty; ``now`` returns the time in ms."""
        self._now = now
        self._decayed_at = now()
        self._tokens_by_caller = {}

    def add(self, caller, tokens):
        """Count ``tokens`` of admitted work."""
        self._decay()
        known = self._tokens_by_caller
        known[caller] = known.get(caller, 0.0) + tokens
        if len(known) > MAX_CALLERS:
            del known[min(known, key=known.get)]

    def share(self, caller):
        """Return the caller's share, 0 to 1, and the number of callers."""
        self._decay()
        total = sum(self._tokens_by_caller.values())
        count = len(self._tokens_by_caller)
        if not total:
            return 0.0, count
        return self._tokens_by_caller.get(caller, 0.0) / total, count

    def _decay(self):
        passed = self._now() - self._decayed_at
        if passed < HALF_LIFE_MS / 20:
            return
        self._decayed_at += passed
        factor = math.pow(0.5, passed / HALF_LIFE_MS)
        self._tokens_by_caller = {
            caller: tokens * factor
            for caller, tokens in self._tokens_by_caller.items()
            if tokens * factor >= MIN_TOKENS
        }
