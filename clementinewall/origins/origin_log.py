"""The origins of streams in the platform's store, which outlives gateways.

Rows of many streams share a record, and no stream waits for the store.  What
was begun within the last interval before a gateway is killed is lost.  Nothing
is written or read, and no connection is opened, before the first call.
"""

import anyio

from clementinewall import containment
from clementinewall import domain
from clementinewall import logs
from clementinewall.origins import log_reader
from clementinewall.origins import log_writer
from clementinewall.origins import origin_records

_log = logs.PartLog("origin")


class OriginLog:
    """Writes the origins that this gateway knows, and reads those of all."""

    def __init__(self, settings, gateway_count, now, on_origin):
        """Share the store's calls with ``gateway_count()`` gateways in all.

        ``on_origin(attempt, service, version, lifetime_ms)`` is called for
        each row that is read, also for own ones.
        """
        self._writer = log_writer.LogWriter(settings, gateway_count, now)
        self._reader = log_reader.LogReader(
            settings, gateway_count, now, on_origin
        )
        self._used = anyio.Event()

    def add(self, attempt, service, version, lifetime_ms):
        """Write later at which version the stream of an attempt began."""
        if max(map(len, (attempt, service, version))) > domain.MAX_TEXT:
            return
        lifetime_ms = min(lifetime_ms, origin_records.MAX_LIFETIME_MS)
        self._writer.queue.add(attempt, service, version, lifetime_ms)
        self._writer.wake()
        self._used.set()

    def discard(self, attempt):
        """Write a stream that has ended no more."""
        self._writer.queue.discard(attempt)

    async def read(self, limit_ms):
        """Read what was appended since the last read, while :meth:`run` runs.

        Return whether all that was appended before the call is read;
        ``False`` if the store didn't answer within ``limit_ms``.  Callers
        share reads.
        """
        self._used.set()
        return await self._reader.read(limit_ms)

    async def run(self):
        """Write, and read for those who wait, until cancelled."""
        await self._used.wait()
        async with anyio.create_task_group() as group:
            for name, run in (
                ("the writing of origins", self._writer.run),
                ("the reading of origins", self._reader.run),
            ):
                group.start_soon(containment.keep_running, _log, name, run)
