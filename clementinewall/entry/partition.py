"""One partition of the bookings: its stream, table and commits.

A task follows the stream, another commits what waits, all of it in one
record: while an append is under way the next ones gather, so the number of
appends does not grow with the number of calls.
"""

import collections

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.log import client
from clementinewall import logs
from clementinewall.records import bookings

_log = logs.PartLog("booking")

# A quiet partition is asked for news this often at least.
READ_WAIT_MS = 5_000
RETRY_DELAY_MS = 200
READ_BACK_TIMEOUT_MS = 3_000
MAX_BATCH = 200
MAX_PENDING_OUTCOMES = 10_000
# The least time between two appends of one partition.  It bounds the load
# on the log.
APPEND_INTERVAL_MS = 100


class Partition:
    """Follows and extends one bookings stream."""

    def __init__(self, number, node):
        """Prepare the partition ``number``; ``run`` starts it."""
        self._stream = bookings.stream_name(number)
        self._node = node
        self._intents = collections.deque()
        self._outcomes = collections.deque(maxlen=MAX_PENDING_OUTCOMES)
        self._has_pending = anyio.Event()
        self._changed = anyio.Event()
        self.table = bookings.Table(node.settings.limits.remembered_keys)
        self.caught_up = False
        self.failed = None
        self._committing = False

    async def run(self):
        """Follow and commit for ever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follow)
            group.start_soon(self._commit)

    def booking(self, key):
        """Return what is remembered of the key, or ``None``."""
        return self.table.booking_by_key.get(key)

    async def wait_ready(self, timeout_ms):
        """Wait until the whole stream is read.

        :raises LogUnavailable: it cannot be read in time.
        """
        end = self._node.clock.now() + timeout_ms
        while not self.caught_up:
            left = end - self._node.clock.now()
            # Waiting on while the log is known to be out of reach would
            # hold the final answer back until the deadline.
            if left <= 0 or self.failed is not None:
                raise errors.LogUnavailable(
                    "the bookings cannot be read", retry_after_ms=1_000
                )
            await self.wait_change(left)

    async def wait_change(self, timeout_ms):
        """Wait for the next record, or until the time has passed."""
        changed = self._changed
        with anyio.move_on_after(clock.seconds(timeout_ms)):
            await changed.wait()

    async def announce(self, intent):
        """Commit the intent; return what the log then holds of its key.

        :raises LogUnavailable: the intent is given up and never acted on.
        """
        item = _PendingIntent(intent)
        self._intents.append(item)
        self._has_pending.set()
        end = self._node.clock.now() + READ_BACK_TIMEOUT_MS
        while True:
            booking = self.booking(intent.key)
            if booking is not None and booking.state != "not_run":
                return booking
            left = end - self._node.clock.now()
            if left <= 0 or item.refused:
                raise self._give_up(item)
            await self.wait_change(left)

    def record_outcome(self, outcome):
        """Commit the outcome of an intent of ours when the log allows."""
        self._outcomes.append(outcome)
        self._has_pending.set()

    async def flush(self):
        """Wait until the outcomes are committed, but not for long."""
        with anyio.move_on_after(clock.seconds(READ_BACK_TIMEOUT_MS)):
            while self._outcomes or self._committing:
                await anyio.sleep(clock.seconds(APPEND_INTERVAL_MS))

    def _give_up(self, item):
        """Abandon an intent that may or may not be in the log.

        From here on this process never dispatches it, and nobody else may,
        so "not run" is true.  If it did reach the log, the outcome that is
        committed once the log is back frees the key for a resend.
        """
        intent = item.intent
        item.abandoned = True
        if item.sent:
            self.record_outcome(
                bookings.Outcome(intent.id, intent.key, "not_run")
            )
        return errors.LogUnavailable(
            "the log did not take the booking", retry_after_ms=1_000
        )

    async def _follow(self):
        while True:
            wait_ms = READ_WAIT_MS if self.caught_up else 0
            try:
                batch = await self._node.log.read(
                    self._stream, self.table.next, wait_ms
                )
            except errors.ClementinewallError as exc:
                self.failed = exc
                self._notify_changed()
                await anyio.sleep(clock.seconds(RETRY_DELAY_MS))
                continue
            self.failed = None
            self.table.begin(batch.first)
            for offset, record in batch.records:
                self.table.apply(offset, record)
            if len(batch.records) < client.MAX_READ_RECORDS:
                self.caught_up = True
            self._notify_changed()

    def _notify_changed(self):
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def _commit(self):
        while True:
            await self._has_pending.wait()
            self._has_pending = anyio.Event()
            while self._intents or self._outcomes:
                await self._commit_batch()
                await anyio.sleep(clock.seconds(APPEND_INTERVAL_MS))

    async def _commit_batch(self):
        pending = _take_batch(self._intents)
        pending = [item for item in pending if not item.abandoned]
        outcomes = _take_batch(self._outcomes)
        if not pending and not outcomes:
            return
        commit = bookings.Commit(
            self._node.boot,
            tuple(item.intent for item in pending),
            tuple(outcomes),
        )
        for item in pending:
            item.sent = True
        self._committing = True
        try:
            await self._node.log.append(self._stream, commit)
        except errors.LogUnavailable:
            for item in pending:
                item.sent = False
                item.refused = True
            self._notify_changed()
            self._requeue(outcomes)
            await anyio.sleep(clock.seconds(RETRY_DELAY_MS))
        except errors.AppendUnknown:
            # Outcomes may be appended twice without harm: only the first
            # one that ends an open intent counts.
            self._requeue(outcomes)
            await anyio.sleep(clock.seconds(RETRY_DELAY_MS))
        finally:
            self._committing = False
        if outcomes and self.failed is not None:
            _log.warning("outcomes wait for the log", count=len(outcomes))

    def _requeue(self, outcomes):
        self._outcomes.extendleft(reversed(outcomes))


class _PendingIntent:
    """An intent on its way into the log."""

    def __init__(self, intent):
        self.intent = intent
        self.sent = False
        self.refused = False
        self.abandoned = False


def _take_batch(queue):
    count = min(MAX_BATCH, len(queue))
    return [queue.popleft() for _ in range(count)]
