"""Fake engines in virtual time, for replays of the policy alone.

A fake has what the policy sees of an engine: prefills done one after
another, streams that share decode slots, a limited prefix cache, roles that
take time to change, and a load report.  Times are milliseconds.
"""

import collections
import heapq
import itertools

from clementinewall.endpoints import reports
from clementinewall.policy import routing

CACHE_PREFIXES = 24
BUSY_FACTOR = 1.5

_serial = itertools.count()


class FakeEngine:
    """One engine; ``advance`` moves its streams to the given time."""

    def __init__(self, name, prefill_ms=0.2, gap_ms=20.0, slots=16, slow=1.0):
        """Start idle in the mixed role."""
        self.name = name
        self.prefill_ms = prefill_ms
        self.gap_ms = gap_ms
        self.slots = slots
        self.slow = slow
        self.role = "mixed"
        self.is_quiesced = False
        self.unavailable_until = 0.0
        self.cache = collections.OrderedDict()
        self.arrived = 0
        self.prefill_done = 0
        self.decode_done = 0.0
        self.queued = collections.deque()
        self.prefill_free_at = 0.0
        self.prefilling = 0
        self._progress = 0.0
        self._last = 0.0
        self._streams = []

    @property
    def running(self):
        """Streams decoding or waiting for their prompt."""
        return len(self._streams) + self.prefilling

    def report(self):
        """Return the load report as an entry gets it."""
        return reports.Report(
            kind="engine",
            running=self.running,
            role=self.role,
            quiesced=self.is_quiesced,
            queued_tokens=int(sum(tokens for _, tokens in self.queued)),
            prefill_done=self.prefill_done,
            decode_done=int(self.decode_done),
            arrived=self.arrived,
            slots=self.slots,
            prefill_us=self.prefill_ms * 1_000,
            gap_ms=self.gap_ms,
        )

    def prefill(self, now, tokens, prefix, prefix_tokens):
        """Queue a prefill and return when it will be done."""
        self.advance(now)
        self.arrived += 1
        if prefix in self.cache:
            tokens = max(1, tokens - prefix_tokens)
            self.cache.move_to_end(prefix)
        elif prefix is not None:
            self.cache[prefix] = True
            while len(self.cache) > CACHE_PREFIXES:
                self.cache.popitem(last=False)
        factor = routing.PREFILL_FACTOR[self.role] * self.slow
        begin = max(now, self.prefill_free_at, self.unavailable_until)
        self.prefill_free_at = begin + tokens * self.prefill_ms * factor
        self.queued.append((self.prefill_free_at, tokens))
        self.prefilling += 1
        return self.prefill_free_at

    def complete_prefill(self, now):
        """Record that the oldest queued prefill is done."""
        self.advance(now)
        _, tokens = self.queued.popleft()
        self.prefill_done += tokens
        self.prefilling -= 1

    def decode(self, now, tokens, request):
        """Begin a stream."""
        self.advance(now)
        item = (self._progress + tokens, next(_serial), request, tokens)
        heapq.heappush(self._streams, item)

    def next_end(self):
        """Return when the next stream ends if nothing changes."""
        if not self._streams:
            return None
        left = max(0.0, self._streams[0][0] - self._progress)
        return self._last + left * self._gap()

    def advance(self, now):
        """Move all streams to ``now``."""
        if now > self._last:
            step = (now - self._last) / self._gap()
            self._progress += step
            self.decode_done += step * len(self._streams)
            self._last = now

    def pop_ended(self):
        """Return the requests whose streams have ended."""
        ended = []
        while self._streams and self._streams[0][0] <= self._progress + 1e-6:
            ended.append(heapq.heappop(self._streams)[2])
        return ended

    def _gap(self):
        crowd = max(1.0, len(self._streams) / self.slots)
        busy = 1.0
        if self.queued and self.role == "mixed":
            busy = BUSY_FACTOR
        factor = routing.DECODE_FACTOR[self.role] * self.slow
        return self.gap_ms * crowd * busy * factor
