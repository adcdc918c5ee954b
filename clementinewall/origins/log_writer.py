"""The task that writes the origins of streams to the platform's store."""

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.origins import origin_records
from clementinewall.origins import row_queue
from clementinewall.platform import records
from clementinewall.platform import store
from clementinewall.policy import origin_writes

_log = logs.PartLog("origin")

# Rows that come together share a record.
FIRST_DELAY_MS = 30


class LogWriter:
    """Appends rows in batches, with a connection of its own."""

    def __init__(self, settings, gateway_count, now):
        """Share the store's writes with ``gateway_count()`` gateways."""
        self._settings = settings
        self._gateway_count = gateway_count
        self._now = now
        self._store = None
        self._last_append_at = None
        self._failing_since = None
        self._row_added = anyio.Event()
        limits = settings.store_limits
        self.queue = row_queue.RowQueue(
            origin_writes.repeat_after_ms(limits), now
        )

    def wake(self):
        """Note that the queue has a new row."""
        self._row_added.set()

    async def run(self):
        """Append rows until cancelled."""
        try:
            while True:
                await self._wait_for_rows()
                await anyio.sleep(clock.seconds(self._pause_ms()))
                self.queue.make_due()
                await self._append()
        finally:
            if self._store is not None:
                self._store.close()

    async def _wait_for_rows(self):
        while not self.queue:
            self._row_added = anyio.Event()
            repeat_at = self.queue.next_repeat_at()
            if repeat_at is None:
                await self._row_added.wait()
                continue
            left_ms = max(0, repeat_at - self._now())
            with anyio.move_on_after(clock.seconds(left_ms)):
                await self._row_added.wait()
            self.queue.make_due()

    def _pause_ms(self):
        if self._last_append_at is None:
            return FIRST_DELAY_MS
        interval_ms = origin_writes.write_interval_ms(
            self._gateway_count(), self._settings.store_limits
        )
        left_ms = self._last_append_at + interval_ms - self._now()
        return max(FIRST_DELAY_MS, left_ms)

    async def _append(self):
        """Append one record of waiting rows, which go on waiting if it fails.

        A record that was written although its answer was lost is written
        twice, which changes nothing.
        """
        limits = self._settings.store_limits
        value, rows = origin_records.encode(
            self.queue.rows(), limits.record_bytes
        )
        if not rows:
            return
        if self._store is None:
            self._store = store.Store(self._settings.store, self._now)
        self._last_append_at = self._now()
        metrics.count("origin_appends")
        try:
            await self._store.append(
                records.STREAM_ORIGINS_TOPIC, self._settings.ip, value
            )
        except errors.LogUnavailable as exc:
            self._record_failure(exc)
            return
        metrics.count("origin_rows", by=len(rows), way="written")
        self.queue.record_written(rows)
        self._record_success()

    def _record_failure(self, exc):
        metrics.count("origin_failures", way="written")
        if self._failing_since is None:
            self._failing_since = self._now()
            _log.warning(
                "store unavailable, origins of streams wait to be written",
                why=exc.message,
            )

    def _record_success(self):
        if self._failing_since is not None:
            _log.info(
                "store takes origins of streams again",
                away_ms=self._now() - self._failing_since,
                waiting=len(self.queue),
            )
            self._failing_since = None
