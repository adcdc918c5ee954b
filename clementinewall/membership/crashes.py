"""Which work crashed which endpoints, fleet-wide.

Now and then a request crashes each endpoint that runs it, and its caller
sends it again, to any entry.  Work is known by a digest of caller and body.
Marks travel with the gossip and, when new, at once; work with two marks
gets no third endpoint.  The table is bounded: on overflow the oldest mark
goes, which may cost one more endpoint for that work.
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


class _Mark(typing.NamedTuple):
    born: int
    strong: bool


class CrashTable:
    """The bounded table of marks.

    When an engine goes down, every request on it is marked.  A mark is
    strong if the request had no token from that engine yet.  A crash that
    one request with two strong marks explains is not held against the
    requests that were only there at the time.
    """

    def __init__(self, now):
        """Start empty; ``now`` gives milliseconds."""
        self._now = now
        self._by_digest = collections.OrderedDict()
        self._sound = collections.OrderedDict()
        self._expire_at = 0

    def add(self, digest, endpoint, age_ms=0, strong=True):
        """Record a mark; return whether it is new."""
        if age_ms >= RECORD_LIFETIME_MS or digest in self._sound:
            return False
        marks = self._by_digest.setdefault(digest, {})
        known = marks.get(endpoint)
        if known is not None and (known.strong or not strong):
            return False
        marks[endpoint] = _Mark(self._now() - age_ms, strong)
        while len(self._by_digest) > MAX_SUSPECTS:
            self._by_digest.popitem(last=False)
        return True

    def clear(self, digest):
        """Note that this work was answered: it doesn't crash endpoints.

        Many callers ask the same of a service.  When endpoints crash for
        reasons of their own, such a question is open at each of them; with
        two marks it would be refused to everybody for ten minutes.
        """
        self._by_digest.pop(digest, None)
        self._sound[digest] = True
        self._sound.move_to_end(digest)
        while len(self._sound) > MAX_CLEARED:
            self._sound.popitem(last=False)

    def merge(self, crashes):
        """Take in the marks of a peer."""
        for crash in crashes:
            age = max(0, crash.age_ms)
            self.add(crash.digest, crash.endpoint, age, crash.strong)

    def endpoints(self, digest):
        """Return the endpoints which that work is held to have crashed."""
        self._expire()
        marks = self._by_digest.get(digest)
        if marks is None:
            return set()
        return {
            endpoint
            for endpoint in marks
            if not self._is_explained(digest, endpoint)
        }

    def is_harmful(self, digest):
        """Tell whether that work must get no further endpoint."""
        return len(self.endpoints(digest)) >= MAX_CRASHES

    def message(self):
        """Return the newest marks for a peer."""
        self._expire()
        now = self._now()
        newest = list(self._by_digest.items())[-MAX_DIGESTS_PER_MESSAGE:]
        return tuple(
            members.Crash(digest, endpoint, now - mark.born, mark.strong)
            for digest, marks in newest
            for endpoint, mark in marks.items()
        )

    def _is_explained(self, digest, endpoint):
        own = self._by_digest[digest][endpoint]
        return not own.strong and any(
            other != digest and _explains(marks, endpoint)
            for other, marks in self._by_digest.items()
        )

    def _expire(self):
        now = self._now()
        if now < self._expire_at:
            return
        self._expire_at = now + EXPIRY_INTERVAL_MS
        limit = now - RECORD_LIFETIME_MS
        for digest, marks in list(self._by_digest.items()):
            left = {e: m for e, m in marks.items() if m.born > limit}
            if left:
                self._by_digest[digest] = left
            else:
                del self._by_digest[digest]


def _explains(marks, endpoint):
    strong = [name for name, mark in marks.items() if mark.strong]
    return endpoint in strong and len(strong) >= MAX_CRASHES
