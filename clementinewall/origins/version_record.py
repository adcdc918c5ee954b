"""The record of the software versions that each service had lately.

It is kept in the platform's store, so that a gateway that starts knows of
versions that left before: streams that these began may still be taken up.  It
is written when a version comes, and when one has been gone for as long as its
streams may last.
"""

import json

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import records
from clementinewall.platform import store
from clementinewall.policy import served_versions

_log = logs.PartLog("origin")

KEY = "served"
POLL_INTERVAL_MS = 200
RETRY_MS = 500


class VersionRecord:
    """Reads the record, and updates it in turn with other gateways."""

    def __init__(self, settings, fleet_view, rank, now):
        """Complete the versions that ``fleet_view`` knows.

        ``rank()`` returns this gateway's place among those that may write.
        """
        self._store = store.Store(settings.store, now)
        self._fleet_view = fleet_view
        self._rank = rank
        self._now = now
        self._read = anyio.Event()
        self._is_readable = False
        # What was recorded when last read, and since when the endpoints have
        # been read without a gap.
        self._recorded = {}
        self._current_since = None
        self._outdated_since = None

    async def wait_until_read(self, limit_ms):
        """Wait for the first read of the record, at most ``limit_ms``."""
        with anyio.move_on_after(clock.seconds(limit_ms)):
            await self._read.wait()

    async def run(self):
        """Follow the endpoints until cancelled."""
        while True:
            with containment.contained(_log, "a look at the versions"):
                await self._poll_or_wait()
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))

    async def _poll_or_wait(self):
        try:
            await self._poll()
        except (errors.LogUnavailable, store.HistoryExpired) as exc:
            _log.info("versions not recorded yet", why=str(exc))
            await anyio.sleep(clock.seconds(RETRY_MS))

    async def _poll(self):
        view = self._fleet_view
        if not view.is_fleet_known or not view.is_current:
            return
        if self._current_since != view.current_since:
            # Versions may have come and gone unseen.
            since = view.current_since
            self._recorded = {}
            await self._load(is_after_gap=True)
            self._current_since = since
        if not self._may_write() or self._updated() == self._recorded:
            self._outdated_since = None
            return
        if self._outdated_since is None:
            self._outdated_since = self._now()
        delay_ms = served_versions.write_delay_ms(self._rank())
        if self._now() - self._outdated_since >= delay_ms:
            await self._update()

    def _updated(self):
        versions = self._fleet_view.versions
        return served_versions.updated(
            self._recorded,
            versions.serving_by_service(),
            versions.recent_by_service(),
        )

    async def _load(self, is_after_gap=False):
        """Read the record; return where its topic ends.

        After a gap, recorded versions that don't serve may have come back
        unseen, and left only now.
        """
        batch = await self._store.newest(records.VERSIONS_TOPIC)
        found = {}
        self._is_readable = True
        for record in batch.records:
            if record.key == KEY and record.value is not None:
                found = self._decode(record)
        self._fleet_view.versions.add_served(
            {
                service: versions - self._recorded.get(service, frozenset())
                for service, versions in found.items()
            },
            is_after_gap,
        )
        self._recorded = found
        if self._is_readable and not self._read.is_set():
            self._fleet_view.versions.record_complete()
            self._read.set()
            _log.info("recorded versions read", versions=_plain(found))
        return batch.end

    def _decode(self, record):
        """Return sets of versions by service, none if it can't be read."""
        try:
            return {
                str(service): frozenset(str(version) for version in versions)
                for service, versions in json.loads(record.value).items()
            }
        except records.DECODE_ERRORS as exc:
            self._is_readable = False
            _log.warning(
                "unreadable record of versions",
                offset=record.offset,
                why=repr(exc),
            )
            return {}

    def _may_write(self):
        """Tell whether a record may be replaced.

        One that can't be read may have versions that matter.
        """
        versions = self._fleet_view.versions
        return self._is_readable or versions.is_observed_long

    async def _update(self):
        """Write the record, unless another gateway has."""
        end = await self._load()
        found = self._updated()
        if not self._may_write() or found == self._recorded:
            return
        value = json.dumps(_plain(found), separators=(",", ":")).encode()
        offset = await self._store.append(
            records.VERSIONS_TOPIC, KEY, value, at=end
        )
        if offset is None:
            return
        self._recorded = found
        metrics.count("version_records")
        _log.info("versions recorded", versions=_plain(found), offset=offset)


def _plain(versions_by_service):
    return {
        service: sorted(versions)
        for service, versions in sorted(versions_by_service.items())
    }
