"""What a gateway believes of the configuration and the endpoints.

Records of the store are taken in by the offset at which they stand, so that
a stale read, a repeated page or a restart of the reading changes nothing
back.  Nothing here waits or calls anybody; the tasks of
:mod:`clementinewall.gateway.topic_followers` bring the records.
"""

from clementinewall import errors
from clementinewall import logs
from clementinewall.platform import records

_log = logs.PartLog("belief")

# While the store was away, endpoints could not renew their records, which
# then lapsed.  Those that live are back within two seconds of its return
# (the platform's figure); only who is missing after that has left.
LAPSE_GRACE_MS = 2_000
# A gap between two reads from which on records may have lapsed meanwhile.
# Endpoints write about every 1,200 ms and lapse after three such spans.
MIN_OUTAGE_MS = 1_500


class FleetView:
    """The configuration in force and the endpoints, with their offsets."""

    def __init__(self, now):
        """Know nothing; ``now`` returns the time in ms."""
        self._now = now
        self.configuration = None
        self.endpoint_by_id = {}
        self.is_fleet_known = False
        self._configuration_offset = -1
        self._offset_by_id = {}
        self._lapse_end_by_id = {}
        self._grace_until = None
        # Others that started lately may hold such a record for the newest.
        self._rejected_ids = set()

    @property
    def is_ready(self):
        """Tell whether requests can be served by what is known."""
        return self.configuration is not None and self.is_fleet_known

    def apply_configuration(self, record):
        """Take in a record of the operators' topic; return if it is new."""
        if record.key != records.CONFIGURATION_KEY or record.value is None:
            return False
        if record.offset <= self._configuration_offset:
            return False
        try:
            found = records.configuration(record.value)
        except errors.BadRecord as exc:
            _log.warning(
                "unreadable configuration kept out",
                offset=record.offset,
                why=exc.message,
            )
            return False
        known = self.configuration
        if known is not None and found.version <= known.version:
            _log.warning(
                "older configuration kept out",
                offset=record.offset,
                version=found.version,
                in_force=known.version,
            )
            return False
        self._configuration_offset = record.offset
        self.configuration = found
        _log.info(
            "configuration in force",
            version=found.version,
            offset=record.offset,
            routes=sum(len(r) for r in found.routes_by_host.values()),
        )
        return True

    def apply_endpoint(self, record):
        """Take in a record of the endpoints' topic.

        Return whether others, who know all that came before it, have to be
        told: not of a heartbeat that repeats what the last record said.
        """
        if record.offset <= self._offset_by_id.get(record.key, -1):
            # It came with a later page already; others may not have that.
            return True
        self._offset_by_id[record.key] = record.offset
        if record.value is None:
            self._remove(record.key, record.offset)
            return True
        try:
            found = records.endpoint(record.key, record.value)
        except errors.BadRecord as exc:
            _log.warning(
                "unreadable endpoint kept out",
                endpoint=record.key,
                offset=record.offset,
                why=exc.message,
            )
            self._forget(record.key, "unreadable", record.offset)
            return True
        known = self.endpoint_by_id.get(record.key)
        lapsed = self._lapse_end_by_id.pop(record.key, None)
        if known is not None and found.incarnation < known.incarnation:
            _log.warning(
                "record of an earlier life kept out",
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
        if known != found:
            _log.info(
                "endpoint changed" if known else "endpoint appeared",
                endpoint=found.id,
                address=found.address,
                stage=found.stage,
                leaving=found.draining,
                born=found.incarnation,
                offset=record.offset,
            )
        return is_update

    def apply_fleet_snapshot(self, batch):
        """Take in the newest record of each endpoint.

        An endpoint that isn't among them has left: its records, and that of
        its leaving, have expired.
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
                    "endpoint lapsed while the store was away",
                    endpoint=name,
                    offset=offset,
                )
            return
        self._forget(name, "gone", offset)

    def _forget(self, name, why, offset):
        self._lapse_end_by_id.pop(name, None)
        if self.endpoint_by_id.pop(name, None) is not None:
            _log.info(f"endpoint {why}", endpoint=name, offset=offset)

    def record_store_recovery(self, away_ms):
        """Note that reading works again after ``away_ms`` without."""
        if away_ms >= MIN_OUTAGE_MS:
            self._grace_until = self._now() + LAPSE_GRACE_MS

    def expire(self):
        """Drop the endpoints that lapsed and did not come back."""
        now = self._now()
        for name, end in list(self._lapse_end_by_id.items()):
            if now >= end:
                self._forget(name, "missing after the store's return", None)
