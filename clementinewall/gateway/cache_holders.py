"""Which engine read the beginning of a prompt last, wherever it is.

Prompts share long beginnings, and engines keep for some seconds what they
read.  Engines of other cells keep them too, and a long beginning is fetched in
less time than it is read.  So gateways tell each other, all over the
deployment, which long beginnings engines read for them.  What is told may be
out of date: then the engine reads what it cannot fetch.
"""

import collections
import typing

from clementinewall import clock

# Shorter beginnings are read in less time than a fetch takes to begin.
MIN_PREFIX_TOKENS = 1_000
# Caches drop what isn't used again soon after that time.
RETENTION_MS = 8_000
MAX_PREFIXES = 20_000


class CacheHolder(typing.NamedTuple):
    """The engine that read a beginning of so many tokens at ``read_at``."""

    endpoint_id: str
    tokens: int
    prefilled_at: clock.Millis


class CacheHolders:
    """Finds keepers by the last part of a beginning."""

    def __init__(self, now):
        """Know of none."""
        self._now = now
        self._holder_by_part_id = collections.OrderedDict()
        self._own = collections.deque()

    def record(self, endpoint_id, parts):
        """Note a beginning that an engine read for this gateway."""
        holder = self.record_peer(endpoint_id, parts)
        if holder is not None:
            self._own.append((parts[-1][0], holder))

    def record_peer(self, endpoint_id, parts):
        """Note a beginning that an engine read; ``parts`` as (id, tokens).

        Return the keeper, or ``None`` for what is too short to fetch.
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
        """Return the keeper of a prompt's shared parts, or ``None``."""
        if not parts:
            return None
        holder = self._holder_by_part_id.get(parts[-1].id)
        if holder is None or self._now() - holder.prefilled_at > RETENTION_MS:
            return None
        return holder

    def message(self, last_ms):
        """Return what was noted in the last ``last_ms``, as plain data."""
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
        """Take in what another gateway noted.

        :raises TypeError, ValueError: it is no such message.
        """
        now = self._now()
        for part, endpoint_id, tokens, age in rows:
            found = CacheHolder(
                str(endpoint_id), int(tokens), now - max(0, age)
            )
            known = self._holder_by_part_id.get(part)
            if known is None or known.prefilled_at < found.prefilled_at:
                self._put(str(part), found)
