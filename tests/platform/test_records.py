"""Decoding the records of operators and endpoints, and malformed ones."""

import json
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import errors
from clementinewall.platform import records

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.sampled_from(
                ("service", "address", "zone", "state", "routes", "version")
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=10,
)


def route(name, prefix, **more):
    """Return a route as operators write it."""
    row = {
        "name": name,
        "host": "Shop.Example",
        "path_prefix": prefix,
        "route_kind": "safe",
        "service": "app",
        "max_attempts": 2,
    }
    row.update(more)
    return row


class Configuration(unittest.TestCase):
    """Decoding of configuration versions."""

    def decode(self, *routes, services=({"name": "app"},)):
        """Return a decoded configuration."""
        raw = {"version": 3, "routes": routes, "services": services}
        return records.configuration(json.dumps(raw).encode())

    def test_longest_prefix_wins(self):
        found = self.decode(route("short", "/a/"), route("long", "/a/b/"))
        chosen = found.route_for("shop.example", "/a/b/c")
        self.assertEqual(chosen.name, "long")
        self.assertEqual(found.route_for("shop.example", "/a/x").name, "short")
        self.assertIsNone(found.route_for("shop.example", "/b/"))
        self.assertIsNone(found.route_for("other.example", "/a/"))

    def test_unknown_route_kind_is_not_idempotent(self):
        found = self.decode(route("r", "/a/", route_kind="novel"))
        chosen = found.route_for("shop.example", "/a/")
        self.assertFalse(chosen.idempotent)

    def test_split_routes_and_engines(self):
        split = [{"service": "a", "weight": 9}, {"service": "b", "weight": 1}]
        engine = {"slot_count": 4, "kv_capacity": 10, "switch_s": 1.5}
        found = self.decode(
            route("r", "/a/", traffic_split=split),
            services=({"name": "a", "engine": engine}, {"name": "b"}),
        )
        chosen = found.route_for("shop.example", "/a/")
        self.assertEqual([s.service for s in chosen.shares], ["a", "b"])
        self.assertEqual(found.service_by_name["a"].engine.slots, 4)
        self.assertEqual(found.service_by_name["a"].engine.switch_ms, 1_500)
        self.assertIsNone(found.service_by_name["b"].engine)


class Foreign(unittest.TestCase):
    """Records that other programs wrote to the same topics."""

    @hypothesis.given(JSON)
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_any_json_is_decoded_or_refused(self, data):
        # Any error but BadRecord would end the task that reads the topic, and
        # the gateway would receive no further updates.
        raw = json.dumps(data).encode()
        for decode in (
            records.configuration,
            lambda value: records.endpoint("e", value),
        ):
            try:
                decode(raw)
            except errors.BadRecord:
                continue

    def test_infinite_limits_are_refused(self):
        # Guards against one record that ends every gateway that reads it.
        for name in ("header_timeout_ms", "idle_timeout_ms"):
            raw = json.dumps(
                {
                    "version": 1,
                    "routes": [],
                    "services": [],
                    "limits": {name: float("inf")},
                }
            )
            with self.assertRaises(errors.BadRecord):
                records.configuration(raw.encode())

    def test_numbers_that_no_float_holds_are_refused(self):
        # Guards against one record that ends every gateway that reads it.
        engine = {"slot_count": 1, "kv_capacity": 1, "switch_s": 1e308}
        huge = 10**400
        by_case = {
            "limit": {"limits": {"idle_timeout_ms": huge}},
            "timeout": {"routes": [route("a", "/a/", timeout_ms=huge)]},
            "goal": {"routes": [route("a", "/a/", goal_ms=huge)]},
            "switch": {"services": [{"name": "app", "engine": engine}]},
        }
        for case, part in by_case.items():
            raw = {"version": 1, "routes": [], "services": [], **part}
            with self.subTest(case), self.assertRaises(errors.BadRecord):
                records.configuration(json.dumps(raw).encode())

    @hypothesis.given(strategies.binary(max_size=40))
    @hypothesis.settings(derandomize=True)
    def test_any_bytes_are_refused(self, raw):
        with self.assertRaises(errors.BadRecord):
            records.endpoint("e", raw)

    def test_address_that_is_no_ip_number_is_refused(self):
        # Guards against a gateway that ends when it connects to an endpoint.
        row = {"service": "app", "zone": "a", "state": "ready"}
        good = row | {"address": "10.0.0.1:80"}
        found = records.endpoint("e", json.dumps(good).encode())
        self.assertEqual(found.address, "10.0.0.1:80")
        for bad in ("a..b:80", "\ud800:80", "a\0b:80", "host:80", ":80"):
            raw = json.dumps(row | {"address": bad}).encode()
            with self.assertRaises(errors.BadRecord):
                records.endpoint("e", raw)

    def test_a_version_is_a_text_or_missing(self):
        row = {"service": "app", "zone": "a", "state": "ready"}
        row["address"] = "10.0.0.1:80"
        for value, found in (("v1.1", "v1.1"), (None, "")):
            raw = json.dumps(row | {"version": value}).encode()
            self.assertEqual(records.endpoint("e", raw).version, found)
        with self.assertRaises(errors.BadRecord):
            records.endpoint("e", json.dumps(row | {"version": 2}).encode())

    def test_numbers_out_of_range_are_refused(self):
        # Guards against a gateway that ends when it reads or uses one.
        huge = 10**400
        row = {"version": 2, "routes": [], "services": []}
        for raw in (
            json.dumps(row)[:-1] + ', "limits": {"idle_timeout_ms": 1e999}}',
            json.dumps(row | {"version": huge}),
            json.dumps(row | {"routes": [route("r", "/a/", goal_ms=huge)]}),
        ):
            with self.assertRaises(errors.BadRecord):
                records.configuration(raw.encode())
        row = {"service": "app", "zone": "a", "state": "ready"}
        row["address"] = "10.0.0.1:80"
        for name in ("slot_count", "born"):
            raw = json.dumps(row | {name: huge}).encode()
            with self.assertRaises(errors.BadRecord):
                records.endpoint("e", raw)
