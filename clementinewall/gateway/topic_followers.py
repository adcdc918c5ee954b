"""The tasks that know the platform's store and keep the beliefs current.

Each topic is followed by one task with a connection of its own: first the
newest record of each key, then what follows.  What one gateway reads it
tells the others, see :mod:`clementinewall.policy.store_polling`.  When the
store is away, serving goes on with what is known.
"""

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import topic_updates
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import records
from clementinewall.platform import store
from clementinewall.policy import store_polling

_log = logs.PartLog("follow")

# Operators' changes are rare: a read waits for the next one.  A change has
# to be in force within a bound of its confirmation, also at a gateway that
# is not told of it: the last in line reads 1.8 cycles after the last news,
# so wait and gap together take less than half of the bound.
CONFIGURATION_PART = 0.35
# Changes also come in quick succession: with a gap between two reads one read
# brings several of them.
CONFIGURATION_GAP_PART = 0.1
# Endpoints write several times a second, so a waiting read would come back
# at once each time.  A leaving endpoint must be known within a bound; a
# quarter of it leaves room for the last in line and one lost read.
FLEET_PART = 0.25
# Gateways hear of each other by datagram; the topic is for those that start.
# A read that waited for it would come back for each one that starts.
PEERS_GAP_MS = 30_000


class Follower:
    """Follows one topic for as long as it runs."""

    def __init__(
        self, settings, now, topic, take_all, take, pace, newest_first=False
    ):
        """Hand whole states to ``take_all`` and single records to ``take``.

        ``take`` returns whether others must be told of the record.  With
        ``newest_first`` it gets the records of a read in that order, which
        is for topics where the newest one overtakes all others.
        """
        self._store = store.Store(settings.store, now)
        self._now = now
        self._topic = topic
        self._take_all = take_all
        self._take = take
        self._pace = pace
        self._next = None
        self._known_at = None
        self._failing_since = None
        self._recent_reads = topic_updates.RecentReads(topic)
        self._told = anyio.Event()
        self._is_reader = True
        self._peers = None
        self._newest_first = newest_first
        self.on_return = None

    def share(self, peers):
        """Take turns in reading with ``peers``, and tell them the news."""
        self._peers = peers
        peers.on_update(self._topic, self.apply_update)

    async def run(self):
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except store.HistoryGone:
                _log.warning("history gone", topic=self._topic, at=self._next)
                self._next = None
            except errors.LogUnavailable as exc:
                self._failed(exc)
                await anyio.sleep(clock.seconds(self._retry_ms()))
            await self._until_due()

    async def _until_due(self):
        """Wait until it is this gateway's turn to read."""
        while self._next is not None:
            left = self._known_at + self._patience_ms() - self._now()
            if left <= 0:
                return
            self._told = anyio.Event()
            with anyio.move_on_after(clock.seconds(left)):
                await self._told.wait()

    def _place(self):
        return self._peers.group_rank() if self._peers else 0

    def _patience_ms(self):
        return store_polling.max_age_ms(self._pace, self._place())

    def _retry_ms(self):
        if self._next is None:
            # Nobody's news helps a gateway that knows nothing yet.
            return store_polling.RETRY_MS
        return store_polling.retry_ms(self._pace, self._place())

    async def _step(self):
        metrics.count("store_calls", topic=self._topic)
        if self._next is None:
            batch = await self._store.newest(self._topic)
            self._worked()
            self._recent_reads.forget()
            self._take_all(batch)
            self._next = batch.end
            return
        batch = await self._store.read(
            self._topic, self._next, self._pace.wait_ms
        )
        away_ms = self._worked()
        # News may have come while the read waited.
        start = self._next
        if batch.end < start:
            return
        fresh = [r for r in batch.records if r.offset >= start]
        if self._newest_first:
            fresh.reverse()
        changed = [record for record in fresh if self._take(record)]
        self._next = batch.end
        if self._peers is not None:
            update = self._recent_reads.add(start, batch.end, changed, away_ms)
            self._peers.send_update(update)

    def apply_update(self, update):
        """Take in what another gateway read of this topic."""
        if self._next is None or update.end < self._next:
            return
        if update.start > self._next or not update.whole:
            if update.end > self._next:
                self._read_soon()
            return
        if self._is_reader:
            _log.info("told by another gateway", topic=self._topic)
        self._is_reader = False
        missed_ms = min(update.away_ms, self._now() - self._known_at)
        if missed_ms and self.on_return is not None:
            self.on_return(missed_ms)
        for record in update.records:
            if record.offset >= self._next:
                self._take(record)
        self._next = update.end
        self._recent_reads.forget()
        self._known_at = self._now()
        self._told.set()

    def _read_soon(self):
        """Read now: there are records that were not told."""
        self._known_at = self._now() - self._pace.cycle_ms * 2
        self._told.set()

    def _failed(self, exc):
        metrics.count("store_failures", topic=self._topic)
        if self._failing_since is None:
            self._failing_since = self._now()
            _log.warning("store lost", topic=self._topic, why=exc.message)

    def _worked(self):
        """Note that the store answered; return how long it was away."""
        away_ms = 0
        now = self._now()
        if self._failing_since is not None:
            # What others read meanwhile was not missed.
            known_at = self._known_at or self._failing_since
            away_ms = now - max(self._failing_since, known_at)
            self._failing_since = None
            _log.info("store regained", topic=self._topic, away_ms=away_ms)
            if self.on_return is not None:
                self.on_return(away_ms)
        if not self._is_reader:
            _log.info("read by this gateway", topic=self._topic)
        self._is_reader = True
        self._known_at = now
        return away_ms


def configuration_follower(settings, now, fleet_view):
    """Return the task that follows the operators' topic."""

    def take(record):
        fleet_view.apply_configuration(record)
        return record.key == records.CONFIGURATION_KEY

    def take_all(batch):
        for record in batch.records:
            take(record)

    return Follower(
        settings,
        now,
        records.CONFIGURATION_TOPIC,
        take_all,
        take,
        store_polling.PollCycle(
            int(settings.bounds.configuration_ms * CONFIGURATION_PART),
            int(settings.bounds.configuration_ms * CONFIGURATION_GAP_PART),
        ),
        # Only the newest configuration of a read has to be decoded.
        newest_first=True,
    )


def fleet_follower(settings, now, fleet_view):
    """Return the task that follows the endpoints' topic."""
    follower = Follower(
        settings,
        now,
        records.ENDPOINTS_TOPIC,
        fleet_view.apply_fleet_snapshot,
        fleet_view.apply_endpoint,
        store_polling.PollCycle(
            0, int(settings.bounds.draining_ms * FLEET_PART)
        ),
    )
    follower.on_return = fleet_view.record_store_recovery
    return follower


def peers_follower(settings, now, take, on_whole):
    """Return the task that follows the topic of the gateways.

    ``on_whole`` is called when all that the store names were taken in.
    """

    def take_all(batch):
        for record in batch.records:
            take(record)
        on_whole()

    return Follower(
        settings,
        now,
        records.GATEWAYS_TOPIC,
        take_all,
        take,
        store_polling.PollCycle(0, PEERS_GAP_MS),
    )
