"""Which engine of the deployment last prefilled a prompt prefix.

Prompts share long prefixes, which engines cache for some seconds.  Fetching a
long prefix from another engine, also one of another cell, takes less time than
prefilling it, so gateways announce across the deployment which long prefixes
their engines prefilled, and pass on what others announced.  An announcement
may be out of date: then the engine prefills what it cannot fetch.
"""

import collections
import heapq
import typing

from clementinewall import clock

# Shorter prefixes are prefilled in less time than a fetch takes to start.
MIN_PREFIX_TOKENS = 1_000
# Caches evict unused parts soon after this time.
RETENTION_MS = 8_000
MAX_PREFIXES = 20_000
# An announcement is passed on for this time, in which it reaches nearly all
# gateways, and only the newest ones fit into a message.
SPREAD_MS = 1_200
MAX_ROWS = 64
# A copy that seems newer by less than this was only delayed on its way.
MIN_NEWER_MS = 100


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
        # Prefixes to announce: those recorded last are at the end.
        self._recent = collections.deque(maxlen=MAX_PREFIXES)

    def record(self, endpoint_id, parts):
        """Record a prefix that an engine prefilled for this gateway."""
        holder = self.record_peer(endpoint_id, parts)
        if holder is not None:
            self._recent.append((parts[-1][0], holder))

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

    def message(self, last_ms=SPREAD_MS):
        """Return the newest announcements of ``last_ms``, as plain data."""
        now = self._now()
        since = now - last_ms
        recent = [
            (part, holder)
            for part, holder in self._recent
            if holder.prefilled_at >= since
        ]
        self._recent = collections.deque(recent, MAX_PREFIXES)
        newest = heapq.nlargest(
            MAX_ROWS, recent, key=lambda row: row[1].prefilled_at
        )
        return [
            [
                part,
                holder.endpoint_id,
                holder.tokens,
                now - holder.prefilled_at,
            ]
            for part, holder in newest
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
            newer_ms = MIN_NEWER_MS
            if known is not None:
                newer_ms = found.prefilled_at - known.prefilled_at
            if newer_ms > 0:
                self._put(str(part), found)
            if newer_ms >= MIN_NEWER_MS:
                self._recent.append((str(part), found))
