"""A gateway's view of the configuration and the endpoints.

Records of the store are applied by offset, so that a stale read, a repeated
page or a restarted follower never reverts newer state.  Nothing here performs
I/O; the tasks of
:mod:`clementinewall.gateway.topic_followers` supply the records.
"""

import collections

from clementinewall import clock
from clementinewall import containment
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import software_versions
from clementinewall.http1 import server
from clementinewall import logs
from clementinewall.platform import records

_log = logs.PartLog("belief")

# Endpoints cannot renew their records during a store outage, so the records
# expire.  Running endpoints re-register within two seconds of its recovery
# (the platform's figure); those still missing after that are removed.
LAPSE_GRACE_MS = 2_000
# Records may have expired during an outage of at least this length.
# Endpoints write about every 1,200 ms and expire after three missed writes.
MIN_OUTAGE_MS = 1_500
# By how much the time of day of an endpoint may be ahead.
MAX_AHEAD_MS = 3_600_000
# Endpoints of which nothing has been read for longer may have changed.
CURRENT_MS = 2_500


class FleetView:
    """The active configuration and the endpoints, with their offsets."""

    def __init__(
        self,
        now,
        bounds=domain.Bounds(),
        time_of_day=clock.Clock().time_of_day,
    ):
        """Start empty; ``now`` and ``time_of_day`` return ms."""
        self._now = now
        self._time_of_day = time_of_day
        self._bounds = bounds
        self.configuration = None
        # Pairs of the time at which limits were replaced, and these limits.
        self._replaced_limits = collections.deque()
        self.endpoint_by_id = {}
        self.versions = software_versions.SoftwareVersions(now)
        self.is_fleet_known = False
        self._fleet_read_at = None
        self._current_since = None
        self._configuration_offset = -1
        self._offset_by_id = {}
        self._lapse_end_by_id = {}
        self._grace_until = None
        # Endpoints with a rejected record of an earlier incarnation.  Gateways
        # that started recently may take that record for the newest.
        self._rejected_ids = set()

    @property
    def is_ready(self):
        """Return whether enough is known to serve requests."""
        return self.configuration is not None and self.is_fleet_known

    def record_fleet_read(self, age_ms):
        """Record that the endpoints are those of the store ``age_ms`` ago."""
        read_at = self._now() - age_ms
        self.versions.record_read(read_at)
        if not self.is_current:
            self._current_since = read_at
        self._fleet_read_at = read_at

    @property
    def current_since(self):
        """Return since when the endpoints have been read without a gap."""
        return self._current_since

    @property
    def current_ms(self):
        """Return for how long the endpoints have been read without a gap."""
        return self._now() - self._current_since if self.is_current else 0

    @property
    def is_current(self):
        """Return whether the endpoints were read of the store lately."""
        if self._fleet_read_at is None:
            return False
        return self._now() - self._fleet_read_at <= CURRENT_MS

    @property
    def limits(self):
        """Return the limits for callers.

        A replaced configuration may still be in force for callers, so for a
        while its idle timeout holds if it is longer.
        """
        found = server.Limits()
        if self.configuration is not None:
            found = self.configuration.limits
        self._trim_replaced_limits()
        longest_ms = max(
            (limits.idle_timeout_ms for _, limits in self._replaced_limits),
            default=0,
        )
        if longest_ms > found.idle_timeout_ms:
            found = found._replace(idle_timeout_ms=longest_ms)
        return found

    def _trim_replaced_limits(self):
        start = self._now() - self._bounds.configuration_ms
        replaced = self._replaced_limits
        while replaced and replaced[0][0] < start:
            replaced.popleft()

    def apply_configuration(self, record):
        """Apply a record of the operators' topic; return whether it is new."""
        with containment.contained(
            _log, "a configuration", offset=record.offset
        ):
            return self._apply_configuration(record)
        return False

    def _apply_configuration(self, record):
        if record.key != records.CONFIGURATION_KEY or record.value is None:
            return False
        if record.offset <= self._configuration_offset:
            return False
        try:
            found = records.configuration(record.value)
        except errors.BadRecord as exc:
            _log.warning(
                "invalid configuration ignored",
                offset=record.offset,
                why=exc.message,
            )
            return False
        known = self.configuration
        if known is not None and found.version <= known.version:
            _log.warning(
                "older configuration ignored",
                offset=record.offset,
                version=found.version,
                in_force=known.version,
            )
            return False
        self._configuration_offset = record.offset
        self._trim_replaced_limits()
        if known is not None:
            self._replaced_limits.append((self._now(), known.limits))
        self.configuration = found
        self.versions.set_longest_answer(_longest_answer_ms(found))
        _log.info(
            "configuration active",
            version=found.version,
            offset=record.offset,
            routes=sum(len(r) for r in found.routes_by_host.values()),
        )
        return True

    def apply_endpoint(self, record):
        """Apply a record of the endpoints' topic.

        Return whether gateways that know all earlier records need this one;
        a heartbeat that repeats the last record is not needed.
        """
        with containment.contained(_log, "a record", offset=record.offset):
            return self._apply_endpoint(record)
        # What is known of it otherwise may be what failed.
        self._lapse_end_by_id.pop(record.key, None)
        self.endpoint_by_id.pop(record.key, None)
        return True

    def _apply_endpoint(self, record):
        if record.offset <= self._offset_by_id.get(record.key, -1):
            # Already covered by a later page, which others may not have read.
            return True
        self._offset_by_id[record.key] = record.offset
        if record.value is None:
            self._remove(record.key, record.offset)
            return True
        try:
            found = records.endpoint(record.key, record.value)
        except errors.BadRecord as exc:
            _log.warning(
                "invalid endpoint record; endpoint dropped",
                endpoint=record.key[: domain.MAX_TEXT],
                offset=record.offset,
                why=exc.message,
            )
            self._forget(record.key, "unreadable", record.offset)
            return True
        known = self.endpoint_by_id.get(record.key)
        lapsed = self._lapse_end_by_id.pop(record.key, None)
        if self._is_superseded(found, known):
            _log.warning(
                "record of an earlier incarnation ignored",
                endpoint=record.key,
                offset=record.offset,
            )
            self._rejected_ids.add(record.key)
            return True
        is_update = (
            known != found
            or lapsed is not None
            or record.key in self._rejected_ids
        )
        self._rejected_ids.discard(record.key)
        self.endpoint_by_id[record.key] = found
        self.versions.apply(known, found)
        if known != found:
            _log.info(
                "endpoint changed" if known else "endpoint appeared",
                endpoint=found.id,
                address=found.address,
                stage=found.stage,
                leaving=found.draining,
                born=found.incarnation,
                version=found.version,
                offset=record.offset,
            )
        return is_update

    def _is_superseded(self, found, known):
        """Tell whether a record is that of an earlier process.

        A start in the future is another writer's word, and would keep out the
        records of the process that runs.
        """
        if known is None or found.incarnation >= known.incarnation:
            return False
        return known.incarnation <= self._time_of_day() + MAX_AHEAD_MS

    def apply_fleet_snapshot(self, batch):
        """Apply the newest record of each endpoint.

        An endpoint that is not listed has been removed: its records,
        including the removal, have expired.
        """
        listed = {record.key for record in batch.records}
        for record in batch.records:
            self.apply_endpoint(record)
        for name in list(self.endpoint_by_id):
            if name not in listed:
                self._remove(name, batch.end)
        self.is_fleet_known = True

    def _remove(self, name, offset):
        if name not in self.endpoint_by_id:
            return
        now = self._now()
        if self._grace_until is not None and now < self._grace_until:
            if name not in self._lapse_end_by_id:
                self._lapse_end_by_id[name] = self._grace_until
                _log.info(
                    "endpoint record expired during a store outage",
                    endpoint=name,
                    offset=offset,
                )
            return
        self._forget(name, "gone", offset)

    def _forget(self, name, why, offset):
        self._lapse_end_by_id.pop(name, None)
        known = self.endpoint_by_id.pop(name, None)
        if known is not None:
            self.versions.apply(known, None)
            _log.info(f"endpoint {why}", endpoint=name, offset=offset)

    def record_store_recovery(self, away_ms):
        """Record that the store is readable after ``away_ms`` of outage."""
        if away_ms >= MIN_OUTAGE_MS:
            self._grace_until = self._now() + LAPSE_GRACE_MS

    def expire(self):
        """Drop endpoints that did not re-register within the grace period."""
        now = self._now()
        self.versions.expire()
        for name, end in list(self._lapse_end_by_id.items()):
            if now >= end:
                self._forget(name, "missing after the store recovered", None)


def _longest_answer_ms(configuration):
    return max(
        (
            route.timeout_ms or 0
            for routes in configuration.routes_by_host.values()
            for route in routes
        ),
        default=0,
    )
