"""How often large prompts are served, against all of a kind of request.

A prompt's own time is part of its target, so large ones have less time to wait
and are refused first while engines are busy.
"""

import bisect
import collections

from clementinewall.policy import room

# Recent prompts by which the bands are determined.
KEPT_PROMPTS = 200
# The bands of sizes, the largest first, each as a part of all prompts.
BAND_FRACTIONS = (0.1, 0.2)
# A band has at most this many times its part, as many may be of one size.
MAX_BAND_FACTOR = 2
MIN_PROMPTS = 20
# Counts are multiplied by this with each prompt.
KEPT_PER_PROMPT = 0.99


class _Count:
    """A decaying count of prompts, and of those that were served."""

    def __init__(self):
        self.asked = self.served = 0.0

    def decay(self):
        self.asked *= KEPT_PER_PROMPT
        self.served *= KEPT_PER_PROMPT


class Sizes:
    """Counts the prompts of one kind of request by their size."""

    def __init__(self):
        """Start without prompts."""
        self._sizes = collections.deque(maxlen=KEPT_PROMPTS)
        self._all = _Count()
        self._bands = [_Count() for _ in BAND_FRACTIONS]
        self._limits = None

    def record(self, tokens, is_served):
        """Count a prompt."""
        counts = self._counts(tokens)
        for count in (self._all, *self._bands):
            count.decay()
        for count in counts:
            count.asked += 1
            count.served += is_served
        self._sizes.append(tokens)
        self._limits = None

    def withdraw(self, tokens):
        """Count a prompt that was recorded as served as one that wasn't."""
        for count in self._counts(tokens):
            count.served = max(0.0, count.served - 1)

    def is_large(self, tokens):
        """Tell whether a prompt belongs to the band of the largest."""
        return self._band(tokens) is self._bands[0]

    def is_underserved(self, tokens):
        """Tell whether too few prompts of a large prompt's band are served."""
        band = self._band(tokens)
        if band is None or not self._all.asked:
            return False
        rate = self._all.served / self._all.asked
        wanted = room.MIN_LARGE_RATE_FRACTION * rate * band.asked
        return wanted - band.served >= room.MIN_LARGE_DEFICIT

    def _counts(self, tokens):
        band = self._band(tokens)
        return (self._all,) if band is None else (self._all, band)

    def _band(self, tokens):
        """Return the count of a size's band, ``None`` for the smaller ones."""
        if len(self._sizes) < MIN_PROMPTS:
            return None
        if self._limits is None:
            self._limits = _limits(sorted(self._sizes))
        for count, limit in zip(self._bands, self._limits, strict=True):
            if tokens >= limit:
                return count
        return None


def _limits(ranked):
    """Return from which size on each band begins.

    If one size is that of many prompts, only larger ones count.
    """
    limits = []
    end = len(ranked)
    for fraction in BAND_FRACTIONS:
        limit = ranked[max(0, int(end - len(ranked) * fraction))]
        begin = bisect.bisect_left(ranked, limit)
        if end - begin > len(ranked) * fraction * MAX_BAND_FACTOR:
            limit += 1
            begin = bisect.bisect_left(ranked, limit)
        limits.append(limit)
        end = begin
    return limits
