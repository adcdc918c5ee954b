"""The tasks that read the platform's store and keep the beliefs current.

Each topic is read by one task with a connection of its own: first the
newest record of each key, then what follows.  When the store is away,
serving goes on with what is known.
"""

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import records
from clementinewall.platform import store

_log = logs.PartLog("follow")

# Operators' changes are rare: a read waits for the next one.  Connections
# may go silent for good, and a change has to be in force within a bound of
# its confirmation, so a read is kept waiting for this part of the bound.
CONFIGURATION_PART = 0.75
# Endpoints write several times a second, so a waiting read would come back
# at once each time.  A leaving endpoint must be known within a bound; four
# reads in that time leave room for one that fails.
FLEET_PART = 0.25
PEERS_WAIT_MS = 10_000
RETRY_MS = 200


class Follower:
    """Reads one topic from its newest records on, for as long as it runs."""

    def __init__(self, settings, now, topic, take_all, take, wait_ms, gap_ms):
        """Hand whole states to ``take_all`` and single records to ``take``."""
        self._store = store.Store(settings.store, now)
        self._now = now
        self._topic = topic
        self._take_all = take_all
        self._take = take
        self._wait_ms = wait_ms
        self._gap_ms = gap_ms
        self._next = None
        self._failing_since = None
        self.on_return = None

    async def run(self):
        """Read until cancelled."""
        while True:
            try:
                await self._step()
            except store.HistoryGone:
                _log.warning("history gone", topic=self._topic, at=self._next)
                self._next = None
            except errors.LogUnavailable as exc:
                self._failed(exc)
                await anyio.sleep(clock.seconds(RETRY_MS))
            else:
                await anyio.sleep(clock.seconds(self._gap_ms))

    async def _step(self):
        metrics.count("store_calls", topic=self._topic)
        if self._next is None:
            batch = await self._store.newest(self._topic)
            self._worked()
            self._take_all(batch)
            self._next = batch.end
            return
        batch = await self._store.read(self._topic, self._next, self._wait_ms)
        self._worked()
        for record in batch.records:
            self._take(record)
        self._next = batch.end

    def _failed(self, exc):
        metrics.count("store_failures", topic=self._topic)
        if self._failing_since is None:
            self._failing_since = self._now()
            _log.warning("store lost", topic=self._topic, why=exc.message)

    def _worked(self):
        if self._failing_since is None:
            return
        away_ms = self._now() - self._failing_since
        self._failing_since = None
        _log.info("store regained", topic=self._topic, away_ms=away_ms)
        if self.on_return is not None:
            self.on_return(away_ms)


def configuration_follower(settings, now, beliefs):
    """Return the task that follows the operators' topic."""

    def take_all(batch):
        for record in batch.records:
            beliefs.take_configuration(record)

    return Follower(
        settings,
        now,
        records.CONFIGURATION_TOPIC,
        take_all,
        beliefs.take_configuration,
        int(settings.bounds.configuration_ms * CONFIGURATION_PART),
        0,
    )


def fleet_follower(settings, now, beliefs):
    """Return the task that follows the endpoints' topic."""
    follower = Follower(
        settings,
        now,
        records.ENDPOINTS_TOPIC,
        beliefs.take_whole_fleet,
        beliefs.take_endpoint,
        0,
        int(settings.bounds.leaving_ms * FLEET_PART),
    )
    follower.on_return = beliefs.store_returned
    return follower


def peers_follower(settings, now, take):
    """Return the task that follows the topic of the gateways."""

    def take_all(batch):
        for record in batch.records:
            take(record)

    return Follower(
        settings, now, records.GATEWAYS_TOPIC, take_all, take, PEERS_WAIT_MS, 0
    )
