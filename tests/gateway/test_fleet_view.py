"""A gateway's fleet view, for records in any order and in store outages."""

import json
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall.gateway import fleet_view
from clementinewall.platform import store


def endpoint(offset, key="e1", **more):
    """Return the record of an endpoint."""
    row = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slot_count": 4,
        "state": "ready",
        "born": 5,
    }
    row.update(more)
    return store.Record(key, json.dumps(row).encode(), offset)


def configuration(offset, version, **limits):
    """Return the record of a configuration."""
    row = {"version": version, "routes": [], "services": [], "limits": limits}
    return store.Record("config", json.dumps(row).encode(), offset)


class FleetView(unittest.TestCase):
    """Records in any order, and outages."""

    def setUp(self):
        """Start empty."""
        self.clock = clock.ManualClock()
        self.fleet_view = fleet_view.FleetView(self.clock.now)

    def usable(self):
        """Return the ids of the endpoints that are known."""
        return sorted(self.fleet_view.endpoint_by_id)

    def test_a_fault_in_applying_a_record_costs_that_record(self):
        # Guards against the next entry that passes the decoder and fails.
        versions = self.fleet_view.versions
        with mock.patch.object(
            versions, "apply", autospec=True, side_effect=RuntimeError
        ):
            self.fleet_view.apply_endpoint(endpoint(0, "e1"))
        self.fleet_view.apply_endpoint(endpoint(1, "e2"))
        self.assertEqual(self.usable(), ["e2"])

    @hypothesis.given(strategies.permutations(range(6)))
    @hypothesis.settings(derandomize=True)
    def test_configuration_is_never_reverted(self, order):
        # Reads may be stale and histories dropped.  A superseded version must
        # not become active again, or requests use routes that were removed.
        known = fleet_view.FleetView(self.clock.now)
        highest = -1
        for offset in order:
            known.apply_configuration(configuration(offset, offset * 3))
            highest = max(highest, offset * 3)
            self.assertEqual(known.configuration.version, highest)

    def test_longer_idle_timeout_outlasts_its_configuration_for_a_while(self):
        # Guards against closing a connection just as its caller uses it.
        for offset, idle_timeout_ms in enumerate((9_000, 20_000, 5_000)):
            self.fleet_view.apply_configuration(
                configuration(
                    offset,
                    offset + 1,
                    idle_timeout_ms=idle_timeout_ms,
                    max_body_bytes=idle_timeout_ms,
                )
            )
        self.assertEqual(self.fleet_view.limits.idle_timeout_ms, 20_000)
        self.assertEqual(self.fleet_view.limits.body_bytes, 5_000)
        self.clock.advance(2_001)
        self.assertEqual(self.fleet_view.limits.idle_timeout_ms, 5_000)

    def test_unreadable_records_change_nothing_else(self):
        self.fleet_view.apply_configuration(configuration(0, 1))
        self.fleet_view.apply_configuration(store.Record("config", b"{", 1))
        self.assertEqual(self.fleet_view.configuration.version, 1)
        self.fleet_view.apply_endpoint(endpoint(0))
        for offset, value in enumerate(
            (b"\xff\xfe", b"[]", b"{}", b'{"state": "odd"}', b"1e999"), 1
        ):
            self.fleet_view.apply_endpoint(store.Record("e2", value, offset))
        self.assertEqual(self.usable(), ["e1"])

    def test_stale_record_of_an_endpoint_is_ignored(self):
        self.fleet_view.apply_endpoint(endpoint(7, state="draining"))
        self.fleet_view.apply_endpoint(endpoint(3))
        self.assertTrue(self.fleet_view.endpoint_by_id["e1"].draining)

    def test_removed_endpoint_gets_no_more_work(self):
        self.fleet_view.apply_endpoint(endpoint(0))
        self.fleet_view.apply_endpoint(store.Record("e1", None, 1))
        self.assertEqual(self.usable(), [])

    def test_records_that_expired_in_an_outage_get_a_grace_period(self):
        # Endpoints cannot renew their records in a store outage, so all expire
        # at once.  Without a grace period every request would be refused.
        self.fleet_view.apply_endpoint(endpoint(0))
        self.fleet_view.record_store_recovery(5_000)
        self.fleet_view.apply_endpoint(store.Record("e1", None, 1))
        self.assertEqual(self.usable(), ["e1"])
        self.clock.advance(fleet_view.LAPSE_GRACE_MS)
        self.fleet_view.expire()
        self.assertEqual(self.usable(), [])

    def test_endpoint_that_returns_in_time_stays(self):
        self.fleet_view.apply_endpoint(endpoint(0))
        self.fleet_view.record_store_recovery(5_000)
        self.fleet_view.apply_endpoint(store.Record("e1", None, 1))
        self.fleet_view.apply_endpoint(endpoint(2))
        self.clock.advance(fleet_view.LAPSE_GRACE_MS)
        self.fleet_view.expire()
        self.assertEqual(self.usable(), ["e1"])

    def test_endpoint_missing_from_a_fleet_snapshot_is_removed(self):
        # The record of its removal has expired; only its absence shows it.
        self.fleet_view.apply_endpoint(endpoint(0))
        self.fleet_view.apply_endpoint(endpoint(1, "e2"))
        self.fleet_view.apply_fleet_snapshot(
            store.Batch((endpoint(9, "e2"),), 10)
        )
        self.assertEqual(self.usable(), ["e2"])
