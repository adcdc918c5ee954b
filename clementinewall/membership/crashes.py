"""Crash records: which requests crashed which endpoints, fleet-wide.

Some requests crash every endpoint that runs them, and their callers retry
them through any entry.  A request is identified by a digest of caller and
body.  Crash records spread by gossip and, when new, immediately; a request
with two crash records gets no third endpoint.  The table is bounded: on
overflow the oldest request is dropped, which may cost one more endpoint.
"""

import collections
import typing

from clementinewall.membership import members

MAX_CRASHES = 2
RECORD_LIFETIME_MS = 600_000
MAX_SUSPECTS = 2_000
MAX_CLEARED = 2_000
MAX_DIGESTS_PER_MESSAGE = 8
EXPIRY_INTERVAL_MS = 1_000


class _CrashRecord(typing.NamedTuple):
    crashed_at: int
    strong: bool


class CrashTable:
    """The bounded table of crash records by request digest.

    When an engine goes down, every request on it gets a crash record.  The
    record is strong if that engine had sent no token of the request yet.  A
    crash attributed to a request with at least two strong records does not
    count against requests that have only a weak record of it.
    """

    def __init__(self, now):
        """Start empty; ``now`` gives milliseconds."""
        self._now = now
        self._records_by_digest = collections.OrderedDict()
        self._cleared = collections.OrderedDict()
        self._expire_at = 0

    def add(self, digest, endpoint, age_ms=0, strong=True):
        """Add a crash record; return whether it is new or now strong."""
        if age_ms >= RECORD_LIFETIME_MS or digest in self._cleared:
            return False
        records = self._records_by_digest.setdefault(digest, {})
        known = records.get(endpoint)
        if known is not None and (known.strong or not strong):
            return False
        records[endpoint] = _CrashRecord(self._now() - age_ms, strong)
        while len(self._records_by_digest) > MAX_SUSPECTS:
            self._records_by_digest.popitem(last=False)
        return True

    def clear(self, digest):
        """Record that this request was answered, so it crashes no endpoint.

        Many callers send the same request to a service.  When endpoints
        crash for other reasons, it is in progress on each of them; with two
        crash records it would be refused to all callers for ten minutes.
        """
        self._records_by_digest.pop(digest, None)
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
        return {
            endpoint
            for endpoint in records
            if not self._is_explained(digest, endpoint)
        }

    def is_harmful(self, digest):
        """Tell whether the request must get no further endpoint."""
        return len(self.endpoints(digest)) >= MAX_CRASHES

    def message(self):
        """Return the crash records of the newest requests, for a peer."""
        self._expire()
        now = self._now()
        newest = list(self._records_by_digest.items())[
            -MAX_DIGESTS_PER_MESSAGE:
        ]
        return tuple(
            members.Crash(
                digest, endpoint, now - record.crashed_at, record.strong
            )
            for digest, records in newest
            for endpoint, record in records.items()
        )

    def _is_explained(self, digest, endpoint):
        own = self._records_by_digest[digest][endpoint]
        return not own.strong and any(
            other != digest and _explains(records, endpoint)
            for other, records in self._records_by_digest.items()
        )

    def _expire(self):
        now = self._now()
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRY_INTERVAL_MS
        oldest = now - RECORD_LIFETIME_MS
        for digest, records in list(self._records_by_digest.items()):
            left = {e: r for e, r in records.items() if r.crashed_at > oldest}
            if left:
                self._records_by_digest[digest] = left
            else:
                del self._records_by_digest[digest]


def _explains(records, endpoint):
    strong = [name for name, record in records.items() if record.strong]
    return endpoint in strong and len(strong) >= MAX_CRASHES
