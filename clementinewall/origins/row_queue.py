"""The rows that a gateway has to write, now or again."""

import collections
import typing

from clementinewall import clock
from clementinewall import logs
from clementinewall import metrics
from clementinewall.origins import origin_records

_log = logs.PartLog("origin")

MAX_ROWS = 20_000


class _Stream(typing.NamedTuple):
    service: str
    version: str
    expires_at: clock.Millis


class _Written(typing.NamedTuple):
    stream: _Stream
    repeat_at: clock.Millis


class RowQueue:
    """Rows by attempt: those that wait, and those to be written again."""

    def __init__(self, repeat_after_ms, now):
        """Write rows again after ``repeat_after_ms``, never if ``None``."""
        self._repeat_after_ms = repeat_after_ms
        self._now = now
        self._waiting_by_attempt = collections.OrderedDict()
        # In the order in which they are to be written again.
        self._written_by_attempt = collections.OrderedDict()
        self._is_drop_logged = False

    def __len__(self):
        """Return how many rows wait."""
        return len(self._waiting_by_attempt)

    def add(self, attempt, service, version, lifetime_ms):
        """Add a row; the oldest is dropped if there are too many."""
        self._written_by_attempt.pop(attempt, None)
        stream = _Stream(service, version, self._now() + lifetime_ms)
        self._wait(attempt, stream)

    def discard(self, attempt):
        """Drop the row of a stream that has ended."""
        self._waiting_by_attempt.pop(attempt, None)
        self._written_by_attempt.pop(attempt, None)

    def next_repeat_at(self):
        """Return when a row has to be written again, ``None`` if none has."""
        for written in self._written_by_attempt.values():
            return written.repeat_at
        return None

    def make_due(self):
        """Let the rows wait that have to be written again by now."""
        now = self._now()
        written_by_attempt = self._written_by_attempt
        while written_by_attempt and self.next_repeat_at() <= now:
            attempt, written = written_by_attempt.popitem(last=False)
            self._wait(attempt, written.stream)

    def rows(self):
        """Yield the waiting rows whose lifetime isn't over, oldest first."""
        now = self._now()
        for attempt, stream in list(self._waiting_by_attempt.items()):
            left_ms = stream.expires_at - now
            if left_ms <= 0:
                del self._waiting_by_attempt[attempt]
                metrics.count("origin_drops", why="lifetime")
                continue
            yield origin_records.Row(
                attempt, stream.service, stream.version, left_ms
            )

    def record_written(self, rows):
        """Take rows as written, unless they were changed or dropped since."""
        now = self._now()
        for row in rows:
            stream = self._waiting_by_attempt.get(row.attempt)
            if stream is None or stream[:2] != (row.service, row.version):
                continue
            del self._waiting_by_attempt[row.attempt]
            self._keep_written(row.attempt, stream, now)
        if not self._waiting_by_attempt:
            self._is_drop_logged = False

    def _keep_written(self, attempt, stream, now):
        if self._repeat_after_ms is None:
            return
        repeat_at = now + self._repeat_after_ms
        if stream.expires_at > repeat_at:
            self._written_by_attempt[attempt] = _Written(stream, repeat_at)
            self._bound(self._written_by_attempt)

    def _wait(self, attempt, stream):
        self._waiting_by_attempt[attempt] = stream
        self._waiting_by_attempt.move_to_end(attempt)
        self._bound(self._waiting_by_attempt)

    def _bound(self, rows_by_attempt):
        if len(rows_by_attempt) <= MAX_ROWS:
            return
        rows_by_attempt.popitem(last=False)
        metrics.count("origin_drops", why="queue")
        if not self._is_drop_logged:
            self._is_drop_logged = True
            _log.warning(
                "too many origins to keep in the store, dropping the oldest",
                rows=MAX_ROWS,
            )
