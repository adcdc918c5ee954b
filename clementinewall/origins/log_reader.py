"""The task that reads the origins of streams from the platform's store."""

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.origins import origin_records
from clementinewall.platform import records
from clementinewall.platform import store
from clementinewall.policy import origin_writes

_log = logs.PartLog("origin")

# A failed read is repeated after this time, and after twice the time before.
MIN_RETRY_MS = 100
MAX_RETRY_MS = 800
# Pages and expired histories of one read.
MAX_CALLS = 1_000


class LogReader:
    """Reads what was appended since its last read, for all who wait."""

    def __init__(self, settings, gateway_count, now, on_origin):
        """Call ``on_origin(attempt, service, version, lifetime_ms)``."""
        self._settings = settings
        self._gateway_count = gateway_count
        self._now = now
        self._on_origin = on_origin
        self._store = None
        self._next = 0
        self._last_read_at = None
        self._failing_since = None
        # Reads are numbered, so that a caller can tell whether one began
        # after it asked.
        self._begun = 0
        self._complete = 0
        self._wanted = 0
        self._callers = 0
        self._asked = anyio.Event()
        self._read_ended = anyio.Event()

    async def read(self, limit_ms):
        """Tell whether a read that began after the call reached the end."""
        earlier = self._begun
        self._wanted = earlier + 1
        self._callers += 1
        self._asked.set()
        try:
            with anyio.move_on_after(clock.seconds(limit_ms)):
                while self._complete <= earlier:
                    await self._read_ended.wait()
        finally:
            self._callers -= 1
        return self._complete > earlier

    async def run(self):
        """Read whenever somebody waits for it, until cancelled."""
        retry_ms = MIN_RETRY_MS
        try:
            while True:
                await self._wait_for_callers()
                await anyio.sleep(clock.seconds(self._pause_ms()))
                if await self._try_read():
                    retry_ms = MIN_RETRY_MS
                    continue
                await anyio.sleep(clock.seconds(retry_ms))
                retry_ms = min(MAX_RETRY_MS, 2 * retry_ms)
        finally:
            if self._store is not None:
                self._store.close()

    async def _wait_for_callers(self):
        # A caller that was served may not have run yet.
        while not self._callers or self._complete >= self._wanted:
            self._asked = anyio.Event()
            await self._asked.wait()

    def _pause_ms(self):
        if self._last_read_at is None:
            return 0
        interval_ms = origin_writes.read_interval_ms(
            self._gateway_count(), self._settings.store_limits
        )
        return max(0, self._last_read_at + interval_ms - self._now())

    async def _try_read(self):
        self._begun += 1
        self._last_read_at = self._now()
        try:
            await self._read_to_end()
        except errors.LogUnavailable as exc:
            self._record_failure(exc)
            return False
        self._record_success()
        self._complete = self._begun
        ended, self._read_ended = self._read_ended, anyio.Event()
        ended.set()
        return True

    async def _read_to_end(self):
        if self._store is None:
            self._store = store.Store(self._settings.store, self._now)
        for _ in range(MAX_CALLS):
            metrics.count("origin_reads")
            start = self._next
            try:
                batch = await self._store.read(
                    records.STREAM_ORIGINS_TOPIC, start
                )
            except store.HistoryExpired as exc:
                if exc.first is None or exc.first <= start:
                    raise errors.LogUnavailable(
                        f"the store keeps nothing from {start} on"
                    ) from exc
                self._next = exc.first
                continue
            for record in batch.records:
                with containment.contained(
                    _log, "a record of origins", at=record.offset
                ):
                    self._take(record)
                self._next = record.offset + 1
                # Let others run between two records.
                await anyio.sleep(0)
            if batch.is_complete:
                return
            if not batch.records:
                break
        raise errors.LogUnavailable("the end of the topic was not reached")

    def _take(self, record):
        try:
            rows = origin_records.decode(record.value)
        except origin_records.Malformed as exc:
            metrics.count("origin_malformed")
            _log.warning(
                "skipping a malformed record of origins",
                writer=record.key,
                offset=record.offset,
                why=str(exc),
            )
            return
        metrics.count("origin_rows", by=len(rows), way="read")
        for row in rows:
            self._on_origin(*row)

    def _record_failure(self, exc):
        metrics.count("origin_failures", way="read")
        if self._failing_since is None:
            self._failing_since = self._now()
            _log.warning(
                "store unavailable, origins of streams are not read",
                why=exc.message,
            )

    def _record_success(self):
        if self._failing_since is not None:
            _log.info(
                "origins of streams are read again",
                away_ms=self._now() - self._failing_since,
            )
            self._failing_since = None
