"""Crash records: which requests crashed which endpoints, fleet-wide.

Some requests crash every endpoint that runs them, and their callers retry
them through any entry.  A request is identified by a digest of caller and
body.  Crash records spread by gossip and, when new, immediately; a request
with two crash records gets no third endpoint.

Each request that was open at an endpoint when it crashed gets a record, so
the few that matter are among hundreds.  Messages are bounded: they repeat a
new record for some time, those first that tell most and were sent least.
Requests with several records are repeated for as long as they are kept, a few
in each message, for peers that have just started.
"""

import collections
import heapq
import typing

from clementinewall import clock
from clementinewall.membership import members

MAX_CRASHES = 2
# Of a request's crashes; with more, it is refused whoever else was there.
MAX_EXCUSED_CRASHES = 2
RECORD_LIFETIME_MS = 600_000
MAX_DIGESTS = 2_000
# Dropped at once when the table is full, as a fraction of it.
DROPPED_FRACTION = 0.25
MAX_CLEARED = 2_000
EXPIRY_INTERVAL_MS = 1_000
# How long a process passes on a record after it learned it.
SPREAD_MS = 2_000
MAX_RECORDS_PER_MESSAGE = 400
# Requests with several records that a message repeats, in turn.
REPEATED_DIGESTS_PER_MESSAGE = 8


class _CrashRecord:
    """One crash that a request was part of."""

    __slots__ = ("crashed_at", "strong", "messages")

    def __init__(self, crashed_at, strong):
        self.crashed_at = crashed_at
        self.strong = strong
        # How many messages have carried it.
        self.messages = 0


class _NewRecord(typing.NamedTuple):
    """A record that is passed on since it was learned lately."""

    learned_at: clock.Millis
    digest: str
    endpoint: str


class CrashTable:
    """The bounded table of crash records by request digest.

    When an engine goes down, every request on it gets a crash record.  The
    record is strong if that engine had sent no token of the request yet, or
    only just begun to: a harmful request crashes what begins to run it.  A
    crash counts only against the requests on that engine that were part of
    most crashes, and among these of most strong ones: the harmful request was
    there each time, those beside it were not.
    """

    def __init__(self, now):
        """Start empty; ``now`` gives milliseconds."""
        self._now = now
        self._records_by_digest = {}
        self._digests_by_endpoint = {}
        # Requests with several records, the one repeated last at the end.
        self._repeated = collections.OrderedDict()
        self._new = collections.deque()
        self._cleared = collections.OrderedDict()
        self._expire_at = 0

    def add(self, digest, endpoint, age_ms=0, strong=True):
        """Add a crash record; return whether it is new or now strong."""
        if age_ms >= RECORD_LIFETIME_MS or digest in self._cleared:
            return False
        self._expire()
        records = self._records_by_digest.get(digest, {})
        known = records.get(endpoint)
        if known is not None and (known.strong or not strong):
            return False
        now = self._now()
        records[endpoint] = _CrashRecord(now - age_ms, strong)
        self._records_by_digest[digest] = records
        self._digests_by_endpoint.setdefault(endpoint, set()).add(digest)
        self._new.append(_NewRecord(now, digest, endpoint))
        if len(records) >= MAX_CRASHES:
            self._repeated.setdefault(digest)
        if len(self._records_by_digest) > MAX_DIGESTS:
            self._drop_least_suspect()
        return True

    def _drop_least_suspect(self):
        """Drop requests with few records, of these the oldest first."""
        count = int(MAX_DIGESTS * DROPPED_FRACTION)
        for digest in heapq.nsmallest(
            count, self._records_by_digest, key=self._retention_key
        ):
            self._remove(digest)

    def _retention_key(self, digest):
        records = self._records_by_digest[digest].values()
        newest = max(record.crashed_at for record in records)
        return *self._suspicion(digest), newest

    def _suspicion(self, digest):
        """Return how much tells against a request, as a sort key."""
        records = self._records_by_digest[digest].values()
        return len(records), sum(record.strong for record in records)

    def _remove(self, digest):
        for endpoint in list(self._records_by_digest.get(digest, ())):
            self._remove_record(digest, endpoint)

    def _remove_record(self, digest, endpoint):
        records = self._records_by_digest[digest]
        del records[endpoint]
        if not records:
            del self._records_by_digest[digest]
        if len(records) < MAX_CRASHES:
            self._repeated.pop(digest, None)
        digests = self._digests_by_endpoint[endpoint]
        digests.discard(digest)
        if not digests:
            del self._digests_by_endpoint[endpoint]

    def clear(self, digest):
        """Record that this request was answered, so it crashes no endpoint.

        Many callers send the same request to a service.  When endpoints
        crash for other reasons, it is in progress on each of them; with two
        crash records it would be refused to all callers for ten minutes.
        """
        self._remove(digest)
        self._cleared[digest] = True
        self._cleared.move_to_end(digest)
        while len(self._cleared) > MAX_CLEARED:
            self._cleared.popitem(last=False)

    def merge(self, crashes):
        """Merge the crash records of a peer; return those that are new."""
        return [
            crash
            for crash in crashes
            if self.add(
                crash.digest,
                crash.endpoint,
                max(0, crash.age_ms),
                crash.strong,
            )
        ]

    def endpoints(self, digest):
        """Return the endpoints whose crashes count against the request."""
        self._expire()
        records = self._records_by_digest.get(digest)
        if records is None:
            return set()
        if len(records) > MAX_EXCUSED_CRASHES:
            return set(records)
        return {
            endpoint
            for endpoint in records
            if not self._is_excused(digest, endpoint)
        }

    def is_harmful(self, digest):
        """Tell whether the request must get no further endpoint."""
        return len(self.endpoints(digest)) >= MAX_CRASHES

    def message(self, max_records=MAX_RECORDS_PER_MESSAGE):
        """Return the crash records that peers may lack, for one message."""
        self._expire()
        keys = self._repeated_keys()
        keys += heapq.nsmallest(
            max(0, max_records - len(keys)),
            set(self._new_keys()).difference(keys),
            key=self._priority,
        )
        return tuple(self._take(*key) for key in keys[:max_records])

    def _repeated_keys(self):
        """Return the records of the requests that are repeated next."""
        count = min(REPEATED_DIGESTS_PER_MESSAGE, len(self._repeated))
        keys = []
        for _ in range(count):
            digest = next(iter(self._repeated))
            self._repeated.move_to_end(digest)
            records = self._records_by_digest[digest]
            keys += [(digest, endpoint) for endpoint in records]
        return keys

    def _new_keys(self):
        """Return the records that are still passed on, as keys."""
        oldest = self._now() - SPREAD_MS
        return [
            (row.digest, row.endpoint)
            for row in self._new
            if row.learned_at >= oldest
            and row.endpoint in self._records_by_digest.get(row.digest, ())
        ]

    def _priority(self, key):
        digest, endpoint = key
        record = self._records_by_digest[digest][endpoint]
        return digest not in self._repeated, record.messages, not record.strong

    def _take(self, digest, endpoint):
        record = self._records_by_digest[digest][endpoint]
        record.messages += 1
        age_ms = self._now() - record.crashed_at
        return members.Crash(digest, endpoint, age_ms, record.strong)

    def _is_excused(self, digest, endpoint):
        """Tell whether more tells against another request on the endpoint."""
        own = self._suspicion(digest)
        return any(
            self._suspicion(other) > own
            for other in self._digests_by_endpoint[endpoint]
            if other in self._repeated
        )

    def _expire(self):
        now = self._now()
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRY_INTERVAL_MS
        while self._new and self._new[0].learned_at < now - SPREAD_MS:
            self._new.popleft()
        oldest = now - RECORD_LIFETIME_MS
        expired = [
            (digest, endpoint)
            for digest, records in self._records_by_digest.items()
            for endpoint, record in records.items()
            if record.crashed_at <= oldest
        ]
        for digest, endpoint in expired:
            self._remove_record(digest, endpoint)
