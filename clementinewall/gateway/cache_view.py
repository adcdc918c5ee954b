"""A gateway's view of the prompt parts in the engines' KV caches.

It has three sources: prompts that engines prefill or fetch, for this or other
gateways; an engine's full list of cached parts; and the changes that an engine
reports to the one gateway that polls it, which forwards them to the others.
"""

import collections
import typing

# Remembered parts that several requests may share.
MAX_SHARED_PARTS = 20_000
# Engines cache parts in blocks of tokens.  A part that lacks a block is
# incomplete, and the prompt after it is prefilled again.
CACHE_BLOCK_TOKENS = 64


class Change(typing.NamedTuple):
    """The number of tokens of a part that an engine now caches, 0 if none."""

    endpoint_id: str
    part_id: str
    tokens: int


class CacheView:
    """The parts assumed to be in one engine's cache, in LRU order."""

    def __init__(self):
        """Start empty."""
        self._tokens_by_part_id = collections.OrderedDict()
        self._tokens = 0

    @property
    def part_ids(self):
        """Return the ids of the cached parts."""
        return set(self._tokens_by_part_id)

    def cached_tokens(self, part_id):
        """Return how many tokens of a part are cached."""
        return self._tokens_by_part_id.get(part_id, 0)

    def put(self, part_id, tokens):
        """Set how many tokens of a part the engine caches."""
        self._tokens += tokens - self.cached_tokens(part_id)
        if tokens:
            self._tokens_by_part_id[part_id] = tokens
        else:
            self._tokens_by_part_id.pop(part_id, None)

    def use(self, parts, capacity):
        """Record (id, tokens) of a prompt that was prefilled or fetched.

        Least recently used parts are evicted beyond ``capacity`` tokens.
        """
        for part_id, tokens in parts:
            self.put(part_id, max(tokens, self.cached_tokens(part_id)))
            self._tokens_by_part_id.move_to_end(part_id)
        while self._tokens > capacity and self._tokens_by_part_id:
            self.put(next(iter(self._tokens_by_part_id)), 0)

    def cached_prefix_tokens(self, parts):
        """Return how many leading tokens of a prompt are cached."""
        total = 0
        for part in parts:
            kept = min(part.tokens, self.cached_tokens(part.id))
            total += kept
            if part.tokens - kept >= CACHE_BLOCK_TOKENS:
                break
        return total


class UnsentChanges:
    """Cache changes reported by engines, to be sent to other gateways.

    Parts that belong to a single request, which are most, are left out.
    """

    def __init__(self):
        """Start without changes."""
        self._shared = collections.OrderedDict()
        self._unsent = []

    def __bool__(self):
        """Return whether there are unsent changes."""
        return bool(self._unsent)

    def record_shared(self, parts):
        """Record (id, tokens) of parts that several requests may share."""
        for part_id, _ in parts:
            self._shared[part_id] = None
            self._shared.move_to_end(part_id)
        while len(self._shared) > MAX_SHARED_PARTS:
            self._shared.popitem(last=False)

    def take(self, cache, change):
        """Apply a change to the cache view, and queue it if others need it.

        Other gateways may also assume that a part is cached although it is
        not known to be shared: they have the engine's list.
        """
        known = cache.cached_tokens(change.part_id)
        is_shared = change.part_id in self._shared
        if change.tokens == known or not (known or is_shared):
            return
        cache.put(change.part_id, change.tokens)
        self._unsent.append(change)

    def drain(self):
        """Return and clear the changes not sent yet."""
        unsent = self._unsent
        self._unsent = []
        return unsent
