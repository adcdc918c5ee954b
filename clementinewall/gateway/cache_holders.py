"""Which engine of the deployment last prefilled a prompt prefix.

Prompts share long prefixes, which engines cache for some seconds.  Fetching a
long prefix from another engine, also one of another cell, takes less time than
prefilling it, so gateways announce across the deployment which long prefixes
their engines prefilled.  An announcement may be out of date: then the engine
prefills what it cannot fetch.
"""

import collections
import typing

from clementinewall import clock

# Shorter prefixes are prefilled in less time than a fetch takes to start.
MIN_PREFIX_TOKENS = 1_000
# Caches evict unused parts soon after this time.
RETENTION_MS = 8_000
MAX_PREFIXES = 20_000


class CacheHolder(typing.NamedTuple):
    """The engine that prefilled ``tokens`` of a prefix at ``prefilled_at``."""

    endpoint_id: str
    tokens: int
    prefilled_at: clock.Millis


class CacheHolders:
    """Finds cache holders by the last part of a prompt prefix."""

    def __init__(self, now):
        """Start empty."""
        self._now = now
        self._holder_by_part_id = collections.OrderedDict()
        self._own = collections.deque()

    def record(self, endpoint_id, parts):
        """Record a prefix that an engine prefilled for this gateway."""
        holder = self.record_peer(endpoint_id, parts)
        if holder is not None:
            self._own.append((parts[-1][0], holder))

    def record_peer(self, endpoint_id, parts):
        """Record a prefilled prefix, given as parts of (id, tokens).

        Return the cache holder, or ``None`` if it is too short to fetch.
        """
        tokens = sum(size for _, size in parts)
        if tokens < MIN_PREFIX_TOKENS:
            return None
        holder = CacheHolder(endpoint_id, tokens, self._now())
        self._put(parts[-1][0], holder)
        return holder

    def _put(self, part_id, holder):
        self._holder_by_part_id[part_id] = holder
        self._holder_by_part_id.move_to_end(part_id)
        while len(self._holder_by_part_id) > MAX_PREFIXES:
            self._holder_by_part_id.popitem(last=False)

    def find(self, parts):
        """Return the holder of a prompt's shared parts, or ``None``."""
        if not parts:
            return None
        holder = self._holder_by_part_id.get(parts[-1].id)
        if holder is None or self._now() - holder.prefilled_at > RETENTION_MS:
            return None
        return holder

    def message(self, last_ms):
        """Return what was recorded in the last ``last_ms``, as plain data."""
        now = self._now()
        while self._own and now - self._own[0][1].prefilled_at > RETENTION_MS:
            self._own.popleft()
        return [
            [
                part,
                holder.endpoint_id,
                holder.tokens,
                now - holder.prefilled_at,
            ]
            for part, holder in self._own
            if now - holder.prefilled_at <= last_ms
        ]

    def merge(self, rows):
        """Merge what another gateway recorded.

        :raises TypeError, ValueError: if the rows are malformed.
        """
        now = self._now()
        for part, endpoint_id, tokens, age in rows:
            found = CacheHolder(
                str(endpoint_id), int(tokens), now - max(0, age)
            )
            known = self._holder_by_part_id.get(part)
            if known is None or known.prefilled_at < found.prefilled_at:
                self._put(str(part), found)
