"""Which parts most prompts share.

A part that most prompts have was at each crash of an engine whatever crashed
it, so its presence there tells nothing.
"""

import collections

# Shares are those of the last one to two spans of this length.
SPAN_MS = 10_000
# From this share and this number of prompts on a part is shared by most.
COMMON_SHARE = 0.5
MIN_PROMPTS = 8
# Parts that most prompts share come first in them.
COUNTED_PARTS = 4


class PartShares:
    """Counts looks at prompts of each service, and at those with a part."""

    def __init__(self, now):
        """Start without prompts; ``now`` returns ms."""
        self._now = now
        self._span = None
        self._counts = _Counts(), _Counts()
        self._common_by_service = {}
        # The parts that most prompts of their service have.
        self.common = frozenset()

    def count(self, service, parts):
        """Count a prompt; return whether the common parts changed.

        ``parts`` are the names of its parts, which name the service as well.
        """
        self._begin_span()
        counted = parts[:COUNTED_PARTS]
        self._counts[-1].by_service[service] += 1
        self._counts[-1].by_part.update(counted)
        known = self._common_by_service.get(service, frozenset())
        prompts = sum(c.by_service[service] for c in self._counts)
        least = COMMON_SHARE * prompts
        found = frozenset(
            part
            for part in known.union(counted)
            if prompts >= MIN_PROMPTS
            and sum(c.by_part[part] for c in self._counts) >= least
        )
        if found == known:
            return False
        self._common_by_service[service] = found
        self.common = frozenset().union(*self._common_by_service.values())
        return True

    def _begin_span(self):
        span = self._now() // SPAN_MS
        if span == self._span:
            return
        is_next = self._span is not None and span == self._span + 1
        earlier = self._counts[-1] if is_next else _Counts()
        self._counts = earlier, _Counts()
        self._span = span


class _Counts:
    """The counts of one span."""

    def __init__(self):
        self.by_service = collections.Counter()
        self.by_part = collections.Counter()
