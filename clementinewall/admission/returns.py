"""Recognises callers that return after a refusal.

A request has no identity across attempts.  One of the same customer or
caller, route and prompt shortly after a refusal counts as its return.
"""

import collections
import typing

from clementinewall import clock

# Refusals are remembered for this long after their callers may return.
KEEP_MS = 5_000
MAX_REFUSALS = 2_000
# Callers' clocks and timers are inexact: one that waited this fraction of the
# advised time has waited.
WAITED_FRACTION = 0.9


class _Refusal(typing.NamedTuple):
    at: clock.Millis
    retry_ms: float


class Returns:
    """The recent refusals of this gateway."""

    def __init__(self, now):
        """Start without refusals."""
        self._now = now
        self._refusal_by_key = collections.OrderedDict()

    def record_refusal(self, key, retry_ms):
        """Record a refusal, after which a caller may return."""
        by_key = self._refusal_by_key
        by_key.pop(key, None)
        by_key[key] = _Refusal(self._now(), retry_ms)
        if len(by_key) > MAX_REFUSALS:
            by_key.popitem(last=False)

    def record_admission(self, key):
        """Record that the request was admitted."""
        self._refusal_by_key.pop(key, None)

    def is_return(self, key):
        """Tell whether a request is a return (true) or a repeat (false).

        It is ``None`` for a request that was not refused lately.
        """
        refusal = self._refusal_by_key.get(key)
        if refusal is None:
            return None
        waited_ms = self._now() - refusal.at
        if waited_ms > refusal.retry_ms + KEEP_MS:
            del self._refusal_by_key[key]
            return None
        return waited_ms >= refusal.retry_ms * WAITED_FRACTION
