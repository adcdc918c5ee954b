"""The settings file that the platform writes for each process.

It has the platform's format, not that of :mod:`clementinewall.settings`.
New keys may appear at any time and are ignored.
"""

import os
import typing

from clementinewall import _schema
from clementinewall import domain
from clementinewall import errors
from clementinewall import settings as project_settings

PATH_VARIABLE = "CLEMENTINEWALL_SETTINGS"


class _Listen(typing.NamedTuple):
    front: str
    ready_addr: str
    directory: str


class _Platform(typing.NamedTuple):
    address: str


class _Bounds(typing.NamedTuple):
    grace_s: float = 8.0
    budget_ratio: float = 0.2
    budget_window_s: float = 10.0
    budget_slack: float = 50.0
    ttl_max_s: float = 5.0
    lease_ms: float = 3_000.0
    config_ms: float = 2_000.0
    drain_ms: float = 2_000.0


class _Limits(typing.NamedTuple):
    link_mbps: float = 0.0


class _File(typing.NamedTuple):
    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, ...]
    listen: _Listen
    platform: _Platform
    bounds: _Bounds = _Bounds()
    limits: _Limits = _Limits()


def load(path=None):
    """Read and check the file, by default the one that the platform names.

    :raises SettingsError: naming the file and each mistake in it.
    """
    path = path or os.environ.get(PATH_VARIABLE)
    if not path:
        raise errors.SettingsError(f"{PATH_VARIABLE} is not set")
    data = project_settings.read_toml(path)
    known, mistakes = _schema.build(_File, _only_known(_File, data))
    if known is not None and not known.port_range:
        mistakes += (_schema.Mistake("port_range", "[]", "one port or more"),)
    project_settings.refuse(path, mistakes)
    return _translate(known)


def _only_known(shape, data):
    """Drop the keys that this version doesn't know, at every level."""
    if not isinstance(data, dict):
        return data
    kept = {}
    for name, hint in typing.get_type_hints(shape).items():
        if name in data:
            value = data[name]
            if hasattr(hint, "_fields"):
                value = _only_known(hint, value)
            kept[name] = value
    return kept


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
        bounds=domain.Bounds(
            grace_ms=int(bounds.grace_s * 1_000),
            retry_ratio=bounds.budget_ratio,
            retry_window_ms=int(bounds.budget_window_s * 1_000),
            retry_slack=bounds.budget_slack,
            addresses_ttl_ms=int(bounds.ttl_max_s * 1_000),
            configuration_ms=int(bounds.config_ms),
            leaving_ms=int(bounds.drain_ms),
            turn_ms=int(bounds.lease_ms),
        ),
    )
