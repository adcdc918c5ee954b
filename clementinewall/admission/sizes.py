"""How often the largest prompts are served, against all prompts."""

import bisect
import collections

from clementinewall.policy import room

# Recent prompts by which the largest tenth is determined.
KEPT_PROMPTS = 200
LARGEST_FRACTION = 0.1
MAX_LARGE_FRACTION = 0.2
MIN_PROMPTS = 20
# Counts are multiplied by this with each prompt.
KEPT_PER_PROMPT = 0.99


class Sizes:
    """Counts prompts and those of the largest tenth that were served."""

    def __init__(self):
        """Start without prompts."""
        self._sizes = collections.deque(maxlen=KEPT_PROMPTS)
        self._asked = self._served = 0.0
        self._large_asked = self._large_served = 0.0
        self._limit = None

    def record(self, tokens, is_served):
        """Count a prompt."""
        is_large = self.is_large(tokens)
        self._asked = KEPT_PER_PROMPT * self._asked + 1
        self._served = KEPT_PER_PROMPT * self._served + is_served
        self._large_asked = KEPT_PER_PROMPT * self._large_asked + is_large
        self._large_served = KEPT_PER_PROMPT * self._large_served + (
            is_large and is_served
        )
        self._sizes.append(tokens)
        self._limit = None

    def is_large(self, tokens):
        """Tell whether a prompt belongs to the largest tenth."""
        if len(self._sizes) < MIN_PROMPTS:
            return False
        if self._limit is None:
            self._limit = _limit(sorted(self._sizes))
        return tokens >= self._limit

    def is_underserved(self, tokens):
        """Tell whether a prompt is large and too few such were served."""
        if not self._asked or not self.is_large(tokens):
            return False
        rate = self._served / self._asked
        wanted = room.MIN_LARGE_RATE_FRACTION * rate * self._large_asked
        return wanted - self._large_served >= room.MIN_LARGE_DEFICIT


def _limit(ranked):
    """Return from which size on a prompt is one of the largest.

    If one size is that of many prompts, only larger ones count.
    """
    limit = ranked[int(len(ranked) * (1 - LARGEST_FRACTION))]
    count = len(ranked) - bisect.bisect_left(ranked, limit)
    if count > len(ranked) * MAX_LARGE_FRACTION:
        return limit + 1
    return limit
