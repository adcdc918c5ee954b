"""The settings file that the platform writes for each process.

The file has the platform's format, not that of
:mod:`clementinewall.settings`.  Unknown keys are ignored, since the platform
may add some at any time.
"""

import ipaddress
import os
import typing

from clementinewall import _schema
from clementinewall import _settings_file
from clementinewall import domain
from clementinewall import errors

PATH_VARIABLE = "CLEMENTINEWALL_SETTINGS"
MAX_PORT = 65_535

_Amount = typing.Annotated[float, _schema.Range(0, 1_000_000_000)]


class _Listen(typing.NamedTuple):
    front: str
    ready_addr: str
    directory: str


class _Platform(typing.NamedTuple):
    address: str
    writes_per_s: _Amount = 400.0
    reads_per_s: _Amount = 2_000.0
    append_ms: _Amount = 0.0
    keep_s: _Amount = 0.0
    record_bytes: _Amount = 65_536.0


class _Cloud(typing.NamedTuple):
    address: str = ""
    duties: tuple[str, ...] = ()
    duty_per_s: _Amount = 50.0


class _Bounds(typing.NamedTuple):
    grace_s: _Amount = 8.0
    budget_ratio: _Amount = 0.2
    budget_window_s: _Amount = 10.0
    budget_slack: _Amount = 50.0
    ttl_max_s: _Amount = 5.0
    lease_ms: _Amount = 3_000.0
    config_ms: _Amount = 2_000.0
    drain_ms: _Amount = 2_000.0
    strict_revoke: bool = False
    revoke_ms: _Amount = 5_000.0
    report_window_s: _Amount = 5.0
    usage_late_s: _Amount = 10.0


class _Limits(typing.NamedTuple):
    link_mbps: _Amount = 0.0
    memory_mb: _Amount = 0.0


class _File(typing.NamedTuple):
    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, ...]
    listen: _Listen
    platform: _Platform
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()
    cloud: _Cloud = _Cloud()


def load(path=None):
    """Read and check a settings file, by default that of ``PATH_VARIABLE``.

    :raises SettingsError: the file cannot be used; names each mistake.
    """
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.SettingsError(
            f"environment variable {PATH_VARIABLE} is not set"
        )
    data = _settings_file.read_toml(path)
    known, mistakes = _schema.build(_File, _drop_unknown_keys(_File, data))
    if known is not None:
        mistakes += (*_check_texts(known), *_check_addresses(known))
    _settings_file.raise_mistakes(path, mistakes)
    return _translate(known)


def _check_texts(known):
    """Yield what other gateways would refuse to read."""
    try:
        ipaddress.IPv4Address(known.ip)
    except ValueError:
        yield _schema.Mistake("ip", repr(known.ip), "an IPv4 address")
    for key, text in (("zone", known.zone), ("listen.front", known.listen[0])):
        if len(text) > domain.MAX_TEXT:
            yield _schema.Mistake(
                key, f"{len(text)} letters", f"at most {domain.MAX_TEXT}"
            )


def _check_addresses(known):
    if not known.port_range:
        yield _schema.Mistake("port_range", "[]", "at least one port")
    elif not 0 < known.port_range[0] <= MAX_PORT:
        found = str(known.port_range[0])
        yield _schema.Mistake("port_range[0]", found, f"1 to {MAX_PORT}")
    listen = known.listen
    addresses = [
        ("listen.front", listen.front),
        ("listen.ready_addr", listen.ready_addr),
        ("listen.directory", listen.directory),
        ("platform.address", known.platform.address),
    ]
    if known.cloud.duties:
        addresses.append(("cloud.address", known.cloud.address))
    for key, address in addresses:
        host, _, port = address.rpartition(":")
        if not host or not _is_port(port):
            yield _schema.Mistake(key, repr(address), "host:port")


def _is_port(text):
    return text.isdecimal() and len(text) <= 5 and int(text) <= MAX_PORT


def _drop_unknown_keys(shape, data):
    """Return ``data`` without unknown keys, at every level."""
    if not isinstance(data, dict):
        return data
    known_data = {}
    for name, hint in typing.get_type_hints(shape).items():
        if name in data:
            value = data[name]
            if hasattr(hint, "_fields"):
                value = _drop_unknown_keys(hint, value)
            known_data[name] = value
    return known_data


def _translate(known):
    bounds = known.bounds
    return domain.Settings(
        instance=known.node_name,
        ip=known.ip,
        data_centre=known.zone,
        callers=known.listen.front,
        ready=known.listen.ready_addr,
        directory=known.listen.directory,
        peer_port=known.port_range[0],
        store=known.platform.address,
        link_mbps=known.limits.link_mbps,
        memory_mb=known.limits.memory_mb,
        duty_service=_duty_service(known.cloud),
        store_limits=domain.StoreLimits(
            writes_per_second=known.platform.writes_per_s,
            reads_per_second=known.platform.reads_per_s,
            record_bytes=int(known.platform.record_bytes),
            keep_ms=int(known.platform.keep_s * 1_000) or None,
            append_ms=known.platform.append_ms,
        ),
        bounds=domain.Bounds(
            grace_ms=int(bounds.grace_s * 1_000),
            retry_ratio=bounds.budget_ratio,
            retry_window_ms=int(bounds.budget_window_s * 1_000),
            retry_slack=bounds.budget_slack,
            addresses_ttl_ms=int(bounds.ttl_max_s * 1_000),
            configuration_ms=int(bounds.config_ms),
            draining_ms=int(bounds.drain_ms),
            order_interval_ms=int(bounds.lease_ms),
            revocation_ms=(
                int(bounds.revoke_ms) if bounds.strict_revoke else None
            ),
            usage_window_ms=int(bounds.report_window_s * 1_000),
            usage_due_ms=int(bounds.usage_late_s * 1_000),
        ),
    )


def _duty_service(cloud):
    """Return the duty service, ``None`` if there are no known duties."""
    reports_usage = "usage_report" in cloud.duties
    orders_engines = "autoscale" in cloud.duties
    if not reports_usage and not orders_engines:
        return None
    return domain.DutyService(
        cloud.address, reports_usage, orders_engines, cloud.duty_per_s
    )
