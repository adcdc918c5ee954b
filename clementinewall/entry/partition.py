"""One partition of the bookings: its stream, table and commits.

One task follows the stream; another commits all pending intents and outcomes
in one record.  More gather while an append is in progress, so the number of
appends doesn't grow with the number of calls.
"""

import collections

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import errors
from clementinewall.log import client
from clementinewall import logs
from clementinewall.records import bookings

_log = logs.PartLog("booking")

# Longest wait of one long-poll read of the stream.
READ_WAIT_MS = 5_000
RETRY_DELAY_MS = 200
READ_BACK_TIMEOUT_MS = 3_000
MAX_BATCH = 200
MAX_PENDING_OUTCOMES = 10_000
# Minimum time between two appends of one partition; bounds the load on the
# log.
APPEND_INTERVAL_MS = 100


class Partition:
    """Follows and appends to one bookings stream."""

    def __init__(self, number, node):
        """Create the partition ``number``; :meth:`run` starts it."""
        self._stream = bookings.stream_name(number)
        self._node = node
        self._intents = collections.deque()
        self._outcomes = collections.deque(maxlen=MAX_PENDING_OUTCOMES)
        self._has_pending = anyio.Event()
        self._changed = anyio.Event()
        self.table = bookings.Table(node.settings.limits.remembered_keys)
        self.caught_up = False
        self.read_error = None
        self._committing = False

    async def run(self):
        """Follow the stream and commit until cancelled."""
        async with anyio.create_task_group() as group:
            for name, task in (
                ("a follower of bookings", self._follow),
                ("a writer of bookings", self._commit),
            ):
                group.start_soon(containment.keep_running, _log, name, task)

    def booking(self, key):
        """Return the booking of the key, or ``None``."""
        return self.table.booking_by_key.get(key)

    async def wait_ready(self, timeout_ms):
        """Wait until the stream has been read to its end.

        :raises LogUnavailable: it cannot be read within ``timeout_ms``.
        """
        deadline = self._node.clock.now() + timeout_ms
        while not self.caught_up:
            remaining_ms = deadline - self._node.clock.now()
            # Waiting while the log is known to be unreachable would delay the
            # final answer until the deadline.
            if remaining_ms <= 0 or self.read_error is not None:
                raise errors.LogUnavailable(
                    "the bookings cannot be read from the log",
                    retry_after_ms=1_000,
                )
            await self.wait_change(remaining_ms)

    async def wait_change(self, timeout_ms):
        """Wait at most ``timeout_ms`` for a read or a failed append."""
        changed = self._changed
        with anyio.move_on_after(clock.seconds(timeout_ms)):
            await changed.wait()

    async def announce(self, intent):
        """Commit the intent; return the booking that the log has for its key.

        :raises LogUnavailable: the intent is abandoned, never dispatched.
        """
        item = _PendingIntent(intent)
        self._intents.append(item)
        self._has_pending.set()
        deadline = self._node.clock.now() + READ_BACK_TIMEOUT_MS
        while True:
            booking = self.booking(intent.key)
            if booking is not None and booking.state != "not_run":
                return booking
            remaining_ms = deadline - self._node.clock.now()
            if remaining_ms <= 0 or item.refused:
                raise self._give_up(item)
            await self.wait_change(remaining_ms)

    def record_outcome(self, outcome):
        """Commit the outcome of an own intent once the log is available."""
        self._outcomes.append(outcome)
        self._has_pending.set()

    async def flush(self):
        """Wait up to ``READ_BACK_TIMEOUT_MS`` for pending outcomes."""
        with anyio.move_on_after(clock.seconds(READ_BACK_TIMEOUT_MS)):
            while self._outcomes or self._committing:
                await anyio.sleep(clock.seconds(APPEND_INTERVAL_MS))

    def _give_up(self, item):
        """Abandon an intent that may or may not be in the log.

        This process never dispatches it from here on, and no other process
        may, so "not run" is true.  If it did reach the log, an outcome that
        is committed once the log is available frees the key for a resend.
        """
        intent = item.intent
        item.abandoned = True
        if item.sent:
            self.record_outcome(
                bookings.Outcome(intent.id, intent.key, "not_run")
            )
        return errors.LogUnavailable(
            "the log did not accept the booking; it was not run",
            retry_after_ms=1_000,
        )

    async def _follow(self):
        while True:
            wait_ms = READ_WAIT_MS if self.caught_up else 0
            try:
                batch = await self._node.log.read(
                    self._stream, self.table.next, wait_ms
                )
            except errors.ClementinewallError as exc:
                self.read_error = exc
                self._notify_changed()
                await anyio.sleep(clock.seconds(RETRY_DELAY_MS))
                continue
            self.read_error = None
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
            # Appending an outcome twice is harmless: only the first one for
            # an open intent counts.
            self._requeue(outcomes)
            await anyio.sleep(clock.seconds(RETRY_DELAY_MS))
        finally:
            self._committing = False
        if outcomes and self.read_error is not None:
            _log.warning(
                "log unreachable; outcomes may not be committed yet",
                count=len(outcomes),
            )

    def _requeue(self, outcomes):
        self._outcomes.extendleft(reversed(outcomes))


class _PendingIntent:
    """An intent that waits to be committed."""

    def __init__(self, intent):
        self.intent = intent
        self.sent = False
        self.refused = False
        self.abandoned = False


def _take_batch(queue):
    count = min(MAX_BATCH, len(queue))
    return [queue.popleft() for _ in range(count)]
