"""Tasks that follow topics of the platform's store.

One task with its own connection follows each topic: it reads the newest record
of each key, then the records after them, and applies them to the gateway's
fleet view.  A gateway sends what it reads to its peers, so that not every
gateway has to read (see :mod:`clementinewall.policy.store_polling`).  While
the store is unavailable, the gateway serves with the last known state.
"""

import math

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import errors
from clementinewall.gateway import topic_updates
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import records
from clementinewall.platform import store
from clementinewall.policy import store_polling

_log = logs.PartLog("follow")

# Operators' changes are rare, so a read waits for the next one.  A confirmed
# change has to be active within a bound, also at a gateway that receives no
# update: the last in line reads 1.8 cycles after the last update, so wait and
# gap together take less than half of the bound.
CONFIGURATION_WAIT_FRACTION = 0.35
# Changes also come in quick succession; after a gap, one read returns several.
CONFIGURATION_GAP_FRACTION = 0.1
# Endpoints write several times a second, so a waiting read would return at
# once each time.  A draining endpoint must be known within a bound; a quarter
# of it allows for the last gateway in line and one lost read.
FLEET_GAP_FRACTION = 0.25
# Running gateways discover each other by datagram; only starting ones need the
# topic.  A waiting read would return whenever a gateway starts.
PEERS_GAP_MS = 30_000
# A change that is too large for an update is relayed by other gateways, and
# read if it doesn't arrive within this time.
RELAY_WAIT_MS = 250
# Own reads for the sake of a confirmation keep this distance, as a store that
# answers without confirming anything would be called all the time.
MIN_READ_INTERVAL_MS = 100


class Follower:
    """Follows one topic for as long as it runs."""

    def __init__(
        self,
        settings,
        now,
        topic,
        apply_record,
        cycle,
        apply_snapshot=None,
        newest_first=False,
    ):
        """Apply what is read with the two callbacks.

        ``apply_snapshot`` gets the newest records of all keys in a batch; by
        default ``apply_record`` gets each of them.
        ``apply_record`` gets one later record and returns whether peers must
        receive it.  With ``newest_first`` it gets the records of each read in
        that order, for topics where the newest record replaces all others.
        """
        self._store = store.Store(settings.store, now, self._record_failure)
        self._now = now
        self._topic = topic
        self._apply_snapshot = apply_snapshot or self._apply_each
        self._apply_record_unchecked = apply_record
        self._cycle = cycle
        self._next = None
        self._started_at = now()
        # When the newest records began to be asked for.
        self._begun_at = now()
        self._synced_at = None
        self._answered_at = now()
        self._due_at = math.inf
        self._failing_since = None
        self._recent_reads = topic_updates.RecentReads(topic)
        self._update_received = anyio.Event()
        self._is_reader = True
        self._updates = None
        self._newest_first = newest_first
        # A :class:`Confirmation` where it matters when the store was asked.
        self.confirmation = None
        # Called with the ms for which the store was away.
        self.on_store_recovered = None
        # Called after each read of the store.
        self.on_read = None
        self.first_read = anyio.Event()
        # From when the last own read is, by its call, and its end.
        self._read_as_of = -math.inf
        self._read_ended = anyio.Event()
        # Called when all that the store had is known, also by an update, with
        # its age in ms.
        self.on_synced = None

    def start_from(self, batch):
        """Start with a snapshot that was already read, and read on at once."""
        self._apply_snapshot(batch)
        self._next = batch.end
        self._synced_at = self._now()
        self._make_due(0)

    def _apply_record(self, record):
        """Apply a record; return whether peers must receive it.

        One that can't be applied costs none of those after it.
        """
        with containment.contained(
            _log, "a record of a topic", topic=self._topic, at=record.offset
        ):
            return self._apply_record_unchecked(record)
        return True

    def _apply_each(self, batch):
        for record in batch.records:
            self._apply_record(record)

    async def read_anew(self, limit_ms):
        """Return whether all that the store has now is known here.

        Updates of other gateways don't tell: they may be out of step as well.
        """
        asked_at = self._now()
        with anyio.move_on_after(clock.seconds(limit_ms)):
            while self._read_as_of < asked_at:
                self._make_due(0)
                await self._read_ended.wait()
        return self._read_as_of >= asked_at

    def _record_read(self, as_of, is_complete=True):
        if is_complete:
            self._read_as_of = as_of
        self._read_ended.set()
        self._read_ended = anyio.Event()

    def share_updates(self, updates):
        """Send what is read by an :class:`UpdateExchange`, and get theirs."""
        self._updates = updates
        updates.on_update(self._topic, self.apply_update)

    async def run(self):
        """Follow the topic until cancelled."""
        while True:
            try:
                await self._step()
            except store.HistoryExpired:
                _log.warning(
                    "topic history was removed, reading the newest records",
                    topic=self._topic,
                    at=self._next,
                )
                self._next = None
                self._begun_at = self._now()
            except errors.LogUnavailable as exc:
                self._record_failure(exc)
                await anyio.sleep(clock.seconds(self._retry_ms()))
            await self._wait_until_due()

    async def _wait_until_due(self):
        """Wait until this gateway has to read the topic itself."""
        while self._next is not None:
            due_at = min(self._due_at, self._synced_at + self._max_age_ms())
            left = due_at - self._now()
            if self.confirmation is not None:
                left = min(left, self._confirming_read_due_ms())
            if left <= 0:
                return
            self._update_received = anyio.Event()
            with anyio.move_on_after(clock.seconds(left)):
                await self._update_received.wait()

    def _confirming_read_due_ms(self):
        allowed_at = self._answered_at + MIN_READ_INTERVAL_MS
        return max(self.confirmation.own_read_due_ms, allowed_at - self._now())

    def _wait_ms(self):
        """Return for how long the next read may wait for a record.

        A gateway that takes over reads without waiting: the others are about
        to read as well, unless they hear from it.  So does one whose last
        confirmation gets old, since a read confirms as of its beginning.
        """
        if not self._is_reader:
            return 0
        if self.confirmation is None:
            return self._cycle.wait_ms
        return int(min(self._cycle.wait_ms, self.confirmation.own_read_due_ms))

    def _group_rank(self):
        return self._updates.group_rank() if self._updates else 0

    def _max_age_ms(self):
        return store_polling.max_age_ms(self._cycle, self._group_rank())

    def _retry_ms(self):
        if self._next is None:
            # Updates from peers build on a snapshot, which is missing here.
            return store_polling.first_read_retry_ms()
        retry_ms = store_polling.retry_ms(
            self._cycle, self._group_rank(), self._now() - self._started_at
        )
        if self.confirmation is None:
            return retry_ms
        return min(retry_ms, self.confirmation.max_retry_ms)

    async def _step(self):
        metrics.count("store_calls", topic=self._topic)
        confirmation = self.confirmation
        begun_at = None
        if confirmation:
            begun_at = confirmation.begin()
            self._store.max_repeat_ms = confirmation.max_retry_ms
        if self._next is None:
            called_at = self._now()
            batch = await self._store.newest(self._topic)
            self._record_success()
            self._recent_reads.forget()
            self._apply_snapshot(batch)
            self._next = batch.end
            _log.info(
                "newest records read",
                topic=self._topic,
                records=len(batch.records),
                end=batch.end,
                after_ms=self._now() - self._begun_at,
            )
            if confirmation:
                confirmation.record_read(begun_at)
            self._record_read(called_at)
            self._notify_read()
            return
        batch = await self._store.read(
            self._topic, self._next, self._wait_ms()
        )
        away_ms = self._record_success()
        as_of = self._now() - self._store.late_ms
        # A peer's update may have been applied while the read waited.
        start = self._next
        if batch.end < start:
            self._record_read(as_of)
            return
        fresh = [r for r in batch.records if r.offset >= start]
        if self._newest_first:
            fresh.reverse()
        changed = [record for record in fresh if self._apply_record(record)]
        self._next = batch.end
        self._record_read(as_of, batch.is_complete)
        asked_at = None
        # An answer that was cut at a size doesn't tell what came after it.
        if confirmation and batch.is_complete:
            confirmation.record_read(begun_at)
            asked_at = confirmation.reading(begun_at)
        self._notify_read()
        if self._updates is not None:
            update = self._recent_reads.add(start, batch.end, changed, away_ms)
            update = update._replace(asked_at=asked_at)
            with containment.contained(
                _log, "an update of peers", topic=self._topic, at=start
            ):
                self._send(update, start, changed, away_ms)

    def _send(self, update, start, changed, away_ms):
        """Send peers an update, and relay what is too large for it."""
        self._updates.send_update(update)
        if changed and not update.whole:
            self._updates.relay_update(
                topic_updates.TopicUpdate(
                    self._topic,
                    start,
                    update.end,
                    tuple(changed),
                    away_ms,
                    asked_at=update.asked_at,
                )
            )

    def _notify_read(self):
        self.first_read.set()
        if self.on_read is not None:
            self.on_read()
        self._notify_synced()

    def _notify_synced(self):
        if self.on_synced is not None:
            self.on_synced(self._now() - self._synced_at)

    def apply_update(self, update):
        """Apply what another gateway read of this topic."""
        if self._next is None or update.end < self._next:
            return
        if update.start > self._next or not update.whole:
            if update.end > self._next:
                self._make_due(RELAY_WAIT_MS if not update.whole else 0)
            return
        if self._is_reader:
            _log.info("updated by another gateway", topic=self._topic)
        self._is_reader = False
        missed_ms = min(update.away_ms, self._now() - self._synced_at)
        if missed_ms and self.on_store_recovered is not None:
            self.on_store_recovered(missed_ms)
        for record in update.records:
            if self._next <= record.offset < update.end:
                self._apply_record(record)
        self._next = update.end
        self._recent_reads.forget()
        self._synced_at = self._now()
        if self.confirmation is not None:
            self.confirmation.record_update(update.asked_at)
        self._notify_synced()
        self._due_at = math.inf
        self._update_received.set()

    def _make_due(self, wait_ms):
        """Make a read due after ``wait_ms``, as an update left out records."""
        self._due_at = min(self._due_at, self._now() + wait_ms)
        self._update_received.set()

    def _record_failure(self, exc):
        metrics.count("store_failures", topic=self._topic)
        if self._failing_since is None:
            self._failing_since = self._now()
            _log.warning(
                "store unavailable, serving with the last known state",
                topic=self._topic,
                why=exc.message,
            )

    def _record_success(self):
        """Record an answer; return the ms for which the store was away."""
        away_ms = 0
        now = self._now()
        if self._failing_since is not None:
            # Updates that peers sent meanwhile were not missed.
            synced_at = self._synced_at or self._failing_since
            away_ms = now - max(self._failing_since, synced_at)
            self._failing_since = None
            _log.info(
                "store available again", topic=self._topic, away_ms=away_ms
            )
            if self.on_store_recovered is not None:
                self.on_store_recovered(away_ms)
        if not self._is_reader:
            _log.info("this gateway reads the topic again", topic=self._topic)
        self._is_reader = True
        # What a late answer says was so when it was asked for.
        self._synced_at = now - self._store.late_ms
        self._answered_at = now
        self._due_at = math.inf
        return away_ms


def configuration_follower(settings, now, fleet_view):
    """Return the :class:`Follower` of the operators' topic."""

    def apply_record(record):
        fleet_view.apply_configuration(record)
        return record.key == records.CONFIGURATION_KEY

    return Follower(
        settings,
        now,
        records.CONFIGURATION_TOPIC,
        apply_record,
        store_polling.PollCycle(
            int(
                settings.bounds.configuration_ms * CONFIGURATION_WAIT_FRACTION
            ),
            int(settings.bounds.configuration_ms * CONFIGURATION_GAP_FRACTION),
        ),
        # Only the newest configuration of a read needs to be decoded.
        newest_first=True,
    )


def fleet_follower(settings, now, fleet_view):
    """Return the :class:`Follower` of the endpoints' topic."""
    follower = Follower(
        settings,
        now,
        records.ENDPOINTS_TOPIC,
        fleet_view.apply_endpoint,
        store_polling.PollCycle(
            0, int(settings.bounds.draining_ms * FLEET_GAP_FRACTION)
        ),
        fleet_view.apply_fleet_snapshot,
    )
    follower.on_store_recovered = fleet_view.record_store_recovery
    follower.on_synced = fleet_view.record_fleet_read
    return follower


def peers_follower(settings, now, apply_record):
    """Return the :class:`Follower` of the gateways' topic.

    ``apply_record`` gets each record, also those of snapshots.
    """
    return Follower(
        settings,
        now,
        records.GATEWAYS_TOPIC,
        apply_record,
        store_polling.PollCycle(0, PEERS_GAP_MS),
    )
