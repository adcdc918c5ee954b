"""Decoding of operators' and endpoints' records in the platform's store.

Others may write among the records of endpoints.  What a record's id and fields
may be is decided here alone, and is what every use of them can bear: in
headers, addresses, log lines and datagrams.
"""

import ipaddress
import json
import math
import re

from clementinewall import domain
from clementinewall import errors
from clementinewall.http1 import server
from clementinewall.platform import customers

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
ENDPOINTS_TOPIC = "keyed.servers"
# Topics that the gateways write.  The prefix makes the store keep the newest
# record of each key without expiry.
GATEWAYS_TOPIC = "keyed.gateways"
LEASES_TOPIC = "keyed.leases"
DUTIES_TOPIC = "keyed.duties"
VERSIONS_TOPIC = "keyed.versions"
# Without the prefix, records expire.
STREAM_ORIGINS_TOPIC = "stream-origins"
_KNOWN_STATES = ("ready", "draining")
# Larger numbers can't be combined with floating-point ones.
MAX_INTEGER = 2**63
# Numbers up to here are exact in each format.
MAX_EXACT_INTEGER = 2**53
MAX_SLOTS = 1_000_000
MAX_PORT = 65_535
# What a header can carry without quoting.
_IDENTIFIER = re.compile(r"[!-~]{1,%d}" % domain.MAX_TEXT)
# Raised when malformed data is decoded.  Converting an infinite number to an
# integer raises OverflowError.
DECODE_ERRORS = (
    AttributeError,
    IndexError,
    KeyError,
    OverflowError,
    RecursionError,
    TypeError,
    ValueError,
)


def configuration(raw):
    """Decode a version of the configuration.

    :raises BadRecord: the record cannot be decoded.
    """
    data = _decode_object(raw)
    try:
        routes = [_route(row) for row in data["routes"]]
        services = [_service(row) for row in data["services"]]
        return domain.Configuration(
            version=_integer(data["version"]),
            routes_by_host=_routes_by_host(routes),
            service_by_name={service.name: service for service in services},
            limits=_limits(data.get("limits", {})),
            customer_by_key=customers.by_key(data.get("tenants")),
        )
    except DECODE_ERRORS as exc:
        raise errors.BadRecord(
            f"cannot decode the configuration: {exc!r}"
        ) from exc


def endpoint(endpoint_id, raw):
    """Decode the record that an endpoint publishes of itself.

    :raises BadRecord: the record is not an endpoint's or can't be decoded.
    """
    data = _decode_object(raw)
    try:
        state = data["state"]
        if state not in _KNOWN_STATES:
            raise ValueError(f"unknown state {state!r}")
        return domain.Endpoint(
            id=identifier(endpoint_id),
            service=_name(data["service"]),
            address=_address(data["address"]),
            data_centre=_name(data["zone"]),
            slots=max(1, _count(data.get("slot_count", 1), MAX_SLOTS)),
            draining=state == "draining",
            stage=_stage(data.get("stage")),
            incarnation=_count(data.get("born", 0), MAX_EXACT_INTEGER),
            version=_optional_name(data.get("version")),
            is_spot=data.get("use_spot") is True,
        )
    except DECODE_ERRORS as exc:
        raise errors.BadRecord(
            f"cannot decode the record: {_excerpt(exc)}"
        ) from exc


def _decode_object(raw):
    try:
        data = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise errors.BadRecord(f"the record is not JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise errors.BadRecord("the record is not a JSON object")
    return data


def _text(value):
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a non-empty string")
    return value


def identifier(value):
    """Return an id that headers can carry.

    :raises ValueError: it has other characters than visible ASCII ones, or
        too many.
    """
    if not isinstance(value, str) or not _IDENTIFIER.fullmatch(value):
        raise ValueError("an id is not of visible ASCII characters")
    return value


def _name(value):
    """Return a name that fits into a line and a datagram."""
    name = _text(value)
    if len(name) > domain.MAX_TEXT or not name.isprintable():
        raise ValueError("a name is too long or can't be printed")
    return name


def _optional_name(value):
    return "" if value is None or value == "" else _name(value)


def _stage(value):
    if value is not None and value not in domain.STAGES:
        raise ValueError("unknown stage")
    return value


def _count(value, limit):
    number = _integer(value)
    if not 0 <= number <= limit:
        raise ValueError("a count is out of range")
    return number


def _excerpt(exc):
    return repr(exc)[: domain.MAX_TEXT]


def _integer(value):
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not an integer")
    if abs(value) > MAX_INTEGER:
        raise ValueError("an integer is out of range")
    return value


def _number(value):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise ValueError(f"{value!r} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not a finite number")
    return value


def _address(value):
    host, _, port = identifier(value).rpartition(":")
    # A scope is the name of an interface of whoever wrote it.
    if "%" in host:
        raise ValueError("an address has a scope")
    ipaddress.ip_address(host)
    if not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("not an address as IP:port")
    return value


def _route(row):
    goal_ms = int(_number(row.get("goal_ms") or 1_000))
    return domain.Route(
        name=_text(row["name"]),
        host=_text(row["host"]).lower(),
        prefix=_text(row["path_prefix"]),
        kind=row.get("route_kind") or domain.UNSAFE,
        shares=_shares(row),
        timeout_ms=int(_number(row.get("timeout_ms") or 0)) or None,
        goal_ms=goal_ms,
        gap_goal_ms=int(_number(row.get("gap_goal_ms") or goal_ms)),
        priority=_integer(row.get("priority") or 0),
        max_attempts=max(1, _integer(row.get("max_attempts") or 1)),
        resumable=row.get("resumable") is True,
        is_public=row.get("public") is True,
    )


def _shares(row):
    """Return a route's services; ``traffic_split`` overrides ``service``."""
    split = row.get("traffic_split")
    if split:
        return tuple(
            domain.Share(_text(part["service"]), _number(part["weight"]))
            for part in split
        )
    return (domain.Share(_text(row["service"]), 1.0),)


def _service(row):
    engine = row.get("engine")
    return domain.Service(
        name=_text(row["name"]),
        engine=_engine(engine) if isinstance(engine, dict) else None,
        scale=_scale(row.get("scale")),
    )


def _scale(row):
    """Return the range of a service's endpoints, ``None`` if it has none."""
    if not isinstance(row, dict):
        return None
    least, most = _integer(row["min"]), _integer(row["max"])
    if not 0 <= least <= most:
        raise ValueError(f"the range {least} to {most} is empty")
    spot_price = row.get("spot_price")
    return domain.ScaleRange(
        min=least,
        max=most,
        boot_ms=int(_number(row.get("boot_s") or 0) * 1_000),
        price_by_data_centre={
            _text(name): _number(price)
            for name, price in (row.get("zone_prices") or {}).items()
        },
        spot_price=None if spot_price is None else _number(spot_price),
    )


def _engine(row):
    return domain.EngineLimits(
        slots=_integer(row["slot_count"]),
        kv_tokens=_integer(row["kv_capacity"]),
        kv_token_bytes=_integer(row.get("kv_token_bytes") or 0),
        link_mbps=_number(row.get("link_mbps") or 0),
        switch_ms=int(_number(row.get("switch_s") or 0) * 1_000),
    )


def _limits(row):
    fallback = server.Limits()
    return server.Limits(
        header_bytes=_integer(row.get("max_header_bytes"))
        if row.get("max_header_bytes")
        else fallback.header_bytes,
        body_bytes=_integer(row.get("max_body_bytes"))
        if row.get("max_body_bytes")
        else fallback.body_bytes,
        header_timeout_ms=int(
            _number(row.get("header_timeout_ms") or fallback.header_timeout_ms)
        ),
        idle_timeout_ms=int(
            _number(row.get("idle_timeout_ms") or fallback.idle_timeout_ms)
        ),
    )


def _routes_by_host(routes):
    """Group routes by host, longest prefix first, so the first match wins."""
    routes_by_host = {}
    for route in routes:
        routes_by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(rows, key=lambda r: -len(r.prefix)))
        for host, rows in routes_by_host.items()
    }
