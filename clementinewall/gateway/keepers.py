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
MIN_TOKENS = 1_000
# Caches drop what isn't used again soon after that time.
KEPT_MS = 8_000
LIMIT = 20_000


class Keeper(typing.NamedTuple):
    """The engine that read a beginning of so many tokens at ``read_at``."""

    endpoint_id: str
    tokens: int
    read_at: clock.Millis


class Keepers:
    """Finds keepers by the last part of a beginning."""

    def __init__(self, now):
        """Know of none."""
        self._now = now
        self._by_part = collections.OrderedDict()
        self._own = collections.deque()

    def note(self, endpoint_id, parts):
        """Note a beginning that an engine read for this gateway."""
        keeper = self.hear(endpoint_id, parts)
        if keeper is not None:
            self._own.append((parts[-1][0], keeper))

    def hear(self, endpoint_id, parts):
        """Note a beginning that an engine read; ``parts`` as (id, tokens).

        Return the keeper, or ``None`` for what is too short to fetch.
        """
        tokens = sum(size for _, size in parts)
        if tokens < MIN_TOKENS:
            return None
        keeper = Keeper(endpoint_id, tokens, self._now())
        self._put(parts[-1][0], keeper)
        return keeper

    def _put(self, part_id, keeper):
        self._by_part[part_id] = keeper
        self._by_part.move_to_end(part_id)
        while len(self._by_part) > LIMIT:
            self._by_part.popitem(last=False)

    def find(self, parts):
        """Return the keeper of a prompt's shared parts, or ``None``."""
        if not parts:
            return None
        keeper = self._by_part.get(parts[-1].id)
        if keeper is None or self._now() - keeper.read_at > KEPT_MS:
            return None
        return keeper

    def message(self, last_ms):
        """Return what was noted in the last ``last_ms``, as plain data."""
        now = self._now()
        while self._own and now - self._own[0][1].read_at > KEPT_MS:
            self._own.popleft()
        return [
            [part, keeper.endpoint_id, keeper.tokens, now - keeper.read_at]
            for part, keeper in self._own
            if now - keeper.read_at <= last_ms
        ]

    def learn(self, rows):
        """Take in what another gateway noted.

        :raises TypeError, ValueError: it is no such message.
        """
        now = self._now()
        for part, endpoint_id, tokens, age in rows:
            found = Keeper(str(endpoint_id), int(tokens), now - max(0, age))
            known = self._by_part.get(part)
            if known is None or known.read_at < found.read_at:
                self._put(str(part), found)
