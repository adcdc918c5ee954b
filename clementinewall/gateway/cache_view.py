"""What is believed of the parts of prompts that engines keep.

Beliefs come from three sides: what engines read or fetch, here or for other
gateways; an engine's list of all that it keeps; and the changes that it tells
the one gateway that follows it, which passes them on.
"""

import collections
import typing

# Parts of which a gateway remembers that several requests may share them.
MAX_SHARED_PARTS = 20_000
# Engines keep parts in blocks of some tokens; a part of which so many are
# missing is not kept whole, and what follows it is read again.
CACHE_BLOCK_TOKENS = 64


class Change(typing.NamedTuple):
    """That an engine keeps so many tokens of a part now, 0 if none."""

    endpoint_id: str
    part_id: str
    tokens: int


class CacheView:
    """The parts that one engine is believed to keep, last used at the end."""

    def __init__(self):
        """Begin with none."""
        self._tokens_by_part_id = collections.OrderedDict()
        self._tokens = 0

    @property
    def part_ids(self):
        """Return the ids of the parts that are kept."""
        return set(self._tokens_by_part_id)

    def cached_tokens(self, part_id):
        """Return how many tokens of a part are kept."""
        return self._tokens_by_part_id.get(part_id, 0)

    def put(self, part_id, tokens):
        """Note how many tokens of a part the engine says it keeps."""
        self._tokens += tokens - self.cached_tokens(part_id)
        if tokens:
            self._tokens_by_part_id[part_id] = tokens
        else:
            self._tokens_by_part_id.pop(part_id, None)

    def use(self, parts, capacity):
        """Note (id, tokens) of a prompt that the engine read or fetched.

        Parts that weren't used for longest yield beyond ``capacity`` tokens.
        """
        for part_id, tokens in parts:
            self.put(part_id, max(tokens, self.cached_tokens(part_id)))
            self._tokens_by_part_id.move_to_end(part_id)
        while self._tokens > capacity and self._tokens_by_part_id:
            self.put(next(iter(self._tokens_by_part_id)), 0)

    def cached_prefix_tokens(self, parts):
        """Return how many leading tokens of a prompt are kept."""
        total = 0
        for part in parts:
            kept = min(part.tokens, self.cached_tokens(part.id))
            total += kept
            if part.tokens - kept >= CACHE_BLOCK_TOKENS:
                break
        return total


class UnsentChanges:
    """What was learned from engines' own words and concerns other gateways.

    Most parts belong to a single request; nobody asks for them again.
    """

    def __init__(self):
        """Begin with nothing to tell."""
        self._shared = collections.OrderedDict()
        self._unsent = []

    def record_shared(self, parts):
        """Note (id, tokens) of parts that several requests may share."""
        for part_id, _ in parts:
            self._shared[part_id] = None
            self._shared.move_to_end(part_id)
        while len(self._shared) > MAX_SHARED_PARTS:
            self._shared.popitem(last=False)

    def take(self, cache, change):
        """Take a change into the cache; remember it if others need it.

        A part that was believed to be kept may be believed so by others too,
        also if it isn't known to be shared: they have the engine's list.
        """
        known = cache.cached_tokens(change.part_id)
        is_shared = change.part_id in self._shared
        if change.tokens == known or not (known or is_shared):
            return
        cache.put(change.part_id, change.tokens)
        self._unsent.append(change)

    def drain(self):
        """Return the changes that weren't told yet."""
        unsent = self._unsent
        self._unsent = []
        return unsent
