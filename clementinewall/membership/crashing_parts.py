"""Which parts of prompts crash the engines that write answers on them.

Prompts share parts.  One part may crash each engine that begins to write an
answer on it, whatever else the prompt holds, in requests of which no two are
alike.  When an engine goes down, each part of the prompts that it had just
begun to answer, or not yet, is suspect.  A part on which an answer was written
to its end is sound.  What remains, and was there at more crashes than any
other part, is what crashes engines, unless most prompts have it: such a part
stays suspect.

Records spread between gateways like those of requests
(:mod:`clementinewall.membership.crashes`): at once, and in messages that
repeat those that tell most.
"""

import collections
import heapq
import typing

from clementinewall import clock
from clementinewall.membership import part_shares

# A part is the cause from so many crashes on if no other part was there each
# time, and in any case from the second number on.
MIN_CRASHES = 2
DECIDING_CRASHES = 3
# Requests with such a part are refused for this time after the last crash, and
# for twice as long with each further one.  Then it is tried again.
HARMFUL_MS = 30_000
RECORD_LIFETIME_MS = 600_000
# A part of a single crash is suspect for this time, and so long is the last
# engine that decodes kept from suspect parts.
SUSPECT_MS = 10_000
# A part is taken for sound for this time after an answer on it.
SOUND_MS = 30_000
# A new record, or that a part is sound, is passed on for this time.
SPREAD_MS = 2_000
MAX_PARTS = 1_000
MAX_SOUND = 20_000
MAX_ROWS_PER_MESSAGE = 64
EXPIRY_INTERVAL_MS = 1_000


class PartCrash(typing.NamedTuple):
    """An engine's crash with a part that it had just begun to write on.

    ``part`` names service and part, ``endpoint`` the engine's incarnation;
    ``depth`` is the place of the part in its prompt.
    """

    part: str
    endpoint: str
    age_ms: clock.Millis
    depth: int


class Suspect(typing.NamedTuple):
    """A part of a prompt that may crash the engine that writes on it.

    ``endpoints`` are the incarnations that are known to have crashed; with
    ``spares_last`` the part must not get the last engine that decodes.
    """

    part: str
    endpoints: frozenset
    spares_last: bool


class _Record:
    """What is known of one part at one crash."""

    __slots__ = ("crashed_at", "learned_at", "depth", "messages")

    def __init__(self, crashed_at, learned_at, depth):
        self.crashed_at = crashed_at
        self.learned_at = learned_at
        self.depth = depth
        self.messages = 0


class PartTable:
    """The bounded table of parts that were there when engines crashed."""

    def __init__(self, now):
        """Start empty; ``now`` gives milliseconds."""
        self._now = now
        self._shares = part_shares.PartShares(now)
        self._records_by_part = {}
        self._parts_by_endpoint = {}
        # When the last answer on a part ended, the latest at the end.
        self._sound_at_by_part = collections.OrderedDict()
        # Parts that others took for suspect and are sound, to pass on.
        self._told_sound_at_by_part = {}
        self._expire_at = 0
        # Endpoints that were taken for crashed and are alive, and since when.
        self._alive_at_by_endpoint = {}
        # What follows from the records, until one of them changes.
        self._crashes_by_part = {}
        self._is_cause_by_part = {}

    def add(self, crash):
        """Add a record; return whether it is new and tells anything."""
        self._expire()
        now = self._now()
        crashed_at = now - crash.age_ms
        if crash.age_ms >= RECORD_LIFETIME_MS:
            return False
        if crash.endpoint in self._alive_at_by_endpoint:
            return False
        if self._is_sound(crash.part, crashed_at):
            return False
        records = self._records_by_part.get(crash.part, {})
        if crash.endpoint in records:
            return False
        self._forget_conclusions()
        records[crash.endpoint] = _Record(crashed_at, now, crash.depth)
        self._records_by_part[crash.part] = records
        self._parts_by_endpoint.setdefault(crash.endpoint, set()).add(
            crash.part
        )
        if len(self._records_by_part) > MAX_PARTS:
            self._drop_least_suspect()
        return True

    def count_prompt(self, service, parts):
        """Count a prompt, for which parts most prompts share."""
        if self._shares.count(service, parts):
            self._forget_conclusions()

    def _forget_conclusions(self):
        self._crashes_by_part.clear()
        self._is_cause_by_part.clear()

    @property
    def has_records(self):
        """Return whether any part was there when an engine crashed."""
        return bool(self._records_by_part)

    def _is_sound(self, part, crashed_at):
        sound_at = self._sound_at_by_part.get(part)
        if sound_at is None:
            return False
        return sound_at >= crashed_at or self._now() - sound_at < SOUND_MS

    def record_answer(self, part):
        """Record that an answer on a part ended; return if it was suspect."""
        now = self._now()
        self._sound_at_by_part[part] = now
        self._sound_at_by_part.move_to_end(part)
        while len(self._sound_at_by_part) > MAX_SOUND:
            self._sound_at_by_part.popitem(last=False)
        if part not in self._records_by_part:
            return False
        self._remove(part)
        self._told_sound_at_by_part[part] = now
        return True

    def _remove(self, part):
        for endpoint in list(self._records_by_part[part]):
            self._remove_record(part, endpoint)

    def _remove_record(self, part, endpoint):
        self._forget_conclusions()
        records = self._records_by_part[part]
        del records[endpoint]
        if not records:
            del self._records_by_part[part]
        parts = self._parts_by_endpoint[endpoint]
        parts.discard(part)
        if not parts:
            del self._parts_by_endpoint[endpoint]

    def _drop_least_suspect(self):
        part = min(
            self._records_by_part,
            key=lambda part: (
                len(self._records_by_part[part]),
                max(
                    r.crashed_at for r in self._records_by_part[part].values()
                ),
            ),
        )
        self._remove(part)

    def merge(self, crashes, sound_parts):
        """Merge what a peer knows; return the crash records that are new."""
        now = self._now()
        for part in sound_parts:
            self.record_answer(part)
        found = []
        for crash in crashes:
            if self.add(crash):
                found.append(crash)
            elif self._is_sound(crash.part, now - crash.age_ms):
                self._told_sound_at_by_part[crash.part] = now
        return found

    def crashes(self, part):
        """Return the crashes that no other part explains better."""
        self._expire()
        own = self._records_by_part.get(part)
        if own is None:
            return frozenset()
        found = self._crashes_by_part.get(part)
        if found is None:
            found = frozenset(
                endpoint
                for endpoint in own
                if not self._is_explained(endpoint, len(own))
            )
            self._crashes_by_part[part] = found
        return found

    def _is_explained(self, endpoint, count):
        """Tell whether a part of more crashes was there."""
        least = max(count + 1, MIN_CRASHES)
        return any(
            len(self._records_by_part[other]) >= least
            for other in self._parts_by_endpoint[endpoint]
            - self._shares.common
        )

    def _is_cause(self, part):
        """Tell whether a part is what its crashes have in common."""
        self._expire()
        found = self._is_cause_by_part.get(part)
        if found is None:
            found = self._is_best_explanation(part)
            self._is_cause_by_part[part] = found
        return found

    def _is_best_explanation(self, part):
        # It would be at each crash whatever the cause.
        if part in self._shares.common:
            return False
        found = self.crashes(part)
        if len(found) < MIN_CRASHES:
            return False
        rivals = [
            other
            for other in self._parts_by_endpoint[next(iter(found))]
            if other != part
            and other not in self._shares.common
            and found <= self._records_by_part[other].keys()
            and found <= self.crashes(other)
        ]
        if not rivals:
            return True
        if len(found) < DECIDING_CRASHES:
            return False
        # Parts that always come together: one of them is enough, and first
        # parts are those that most other prompts share.
        return all(self._place(other) < self._place(part) for other in rivals)

    def _place(self, part):
        records = self._records_by_part[part].values()
        return max(record.depth for record in records), part

    def is_harmful(self, part):
        """Tell whether requests with a part must get no engine now."""
        if part not in self._records_by_part or not self._is_cause(part):
            return False
        more = len(self.crashes(part)) - MIN_CRASHES
        return self._age_ms(part) < HARMFUL_MS * 2**more

    def _age_ms(self, part):
        """Return the time since the last crash that counts."""
        records = self._records_by_part[part]
        return self._now() - max(
            records[endpoint].crashed_at for endpoint in self.crashes(part)
        )

    def find_harmful(self, parts):
        """Return a harmful one of a prompt's parts, or ``None``."""
        return next((part for part in parts if self.is_harmful(part)), None)

    def find_suspect(self, parts):
        """Return the last suspect part of a prompt, or ``None``."""
        for part in reversed(parts):
            count = len(self.crashes(part))
            if not count:
                continue
            is_fresh = self._age_ms(part) < SUSPECT_MS
            if is_fresh or count >= MIN_CRASHES:
                endpoints = frozenset(self._parts_by_endpoint)
                return Suspect(part, endpoints, is_fresh)
        return None

    def refute(self, is_alive):
        """Drop the crashes of endpoints that are alive; return these.

        ``is_alive(endpoint, age_ms)`` tells whether an incarnation still is,
        so long after it was taken for crashed.
        """
        now = self._now()
        found = []
        for endpoint, parts in list(self._parts_by_endpoint.items()):
            crashed_at = max(
                self._records_by_part[part][endpoint].crashed_at
                for part in parts
            )
            if not is_alive(endpoint, now - crashed_at):
                continue
            found.append(endpoint)
            self._alive_at_by_endpoint[endpoint] = now
            for part in list(parts):
                self._remove_record(part, endpoint)
        return found

    def explained(self, parts):
        """Return the crashes whose cause is a part other than these."""
        return {
            endpoint
            for part, records in self._records_by_part.items()
            if len(records) >= MIN_CRASHES
            and part not in parts
            and self._is_cause(part)
            for endpoint in records
        }

    def message(self):
        """Return the crash records that peers may lack, for one message."""
        self._expire()
        since = self._now() - SPREAD_MS
        keys = [
            (part, endpoint)
            for part, records in self._records_by_part.items()
            for endpoint, record in records.items()
            if len(records) >= MIN_CRASHES or record.learned_at >= since
        ]
        keys = heapq.nsmallest(MAX_ROWS_PER_MESSAGE, keys, self._priority)
        return [self._take(*key) for key in keys]

    def _priority(self, key):
        part, endpoint = key
        records = self._records_by_part[part]
        return -len(records), records[endpoint].messages, key

    def _take(self, part, endpoint):
        record = self._records_by_part[part][endpoint]
        record.messages += 1
        age_ms = self._now() - record.crashed_at
        return PartCrash(part, endpoint, age_ms, record.depth)

    def sound_parts(self):
        """Return the parts that peers may still take for suspect."""
        since = self._now() - SPREAD_MS
        told = self._told_sound_at_by_part
        for part in [part for part, at in told.items() if at < since]:
            del told[part]
        return list(told)[:MAX_ROWS_PER_MESSAGE]

    def _expire(self):
        now = self._now()
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRY_INTERVAL_MS
        oldest = now - RECORD_LIFETIME_MS
        expired = [
            (part, endpoint)
            for part, records in self._records_by_part.items()
            for endpoint, record in records.items()
            if record.crashed_at <= oldest
        ]
        for part, endpoint in expired:
            self._remove_record(part, endpoint)
        alive = self._alive_at_by_endpoint
        for endpoint in [e for e, at in alive.items() if at <= oldest]:
            del alive[endpoint]
