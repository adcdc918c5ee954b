"""Settings of the programs, read from TOML and checked as a whole.

They hold the id, addresses and data centre of a process, the addresses of the
platform's services, and its limits.  What operators may change while the
system runs (classes, endpoints, policy) is in the published configuration,
see ``clementinewall.records.configuration``.
"""

import typing

from clementinewall import _schema
from clementinewall import _settings_file

Millis = typing.Annotated[int, _schema.Range(1, 86_400_000)]
Count = typing.Annotated[int, _schema.Range(1, 10_000_000)]
Level = typing.Annotated[
    str, _schema.OneOf(("DEBUG", "INFO", "WARNING", "ERROR"))
]


class Instance(typing.NamedTuple):
    """The id and location of this process."""

    id: str
    data_centre: str
    region: str = "one"


class Listen(typing.NamedTuple):
    """The two listeners, as ``IP:port``; a steward has no callers."""

    control: str
    callers: str | None = None


class Platform(typing.NamedTuple):
    """The addresses of the platform's services, as ``IP:port``."""

    log: tuple[str, ...]
    instances: str | None = None
    request_timeout_ms: Millis = 2_000
    # How long the log keeps a record.  Snapshots are written three times in
    # this period, and booking tickets are valid for as long.
    retention_ms: Millis = 3_600_000


class Security(typing.NamedTuple):
    """The token that control and operator calls must carry."""

    control_token: str


class Membership(typing.NamedTuple):
    """How instances discover each other."""

    gossip_ms: Millis = 500
    dead_after_ms: Millis = 4_000
    tailers: typing.Annotated[int, _schema.Range(1, 16)] = 2
    # Minimum time between two reads of the control stream, which bounds the
    # read rate of a node whatever the number of records.
    tail_ms: Millis = 200
    digest_size: typing.Annotated[int, _schema.Range(1, 16)] = 3


class Leases(typing.NamedTuple):
    """Leases on scopes; ``margin_ms`` covers the drift between two clocks."""

    lease_ms: Millis = 6_000
    renew_ms: Millis = 1_500
    margin_ms: Millis = 1_000
    order_timeout_ms: Millis = 1_000


class Polls(typing.NamedTuple):
    """How often load reports are polled, and from how many endpoints.

    Each poll costs over a millisecond of processor time, see
    docs/CAPACITY.md.  Under load, answers carry the reports as well.
    """

    load_ms: Millis = 1_000
    fleet_ms: Millis = 500
    subset: typing.Annotated[int, _schema.Range(2, 256)] = 16


class Limits(typing.NamedTuple):
    """Bounds on the resources that callers may take up."""

    body_bytes: Count = 4_000_000
    # Concurrent requests, streams and calls together.
    requests: Count = 1_000
    resume_bytes: Count = 1_000_000
    slow_reader_ms: Millis = 20_000
    slow_sender_ms: Millis = 10_000
    remembered_keys: Count = 200_000
    keep_addresses_ms: Millis = 5_000
    drain_ms: Millis = 120_000


class Logging(typing.NamedTuple):
    """The level and format of the log on standard error."""

    level: Level = "INFO"
    json: bool = False


class Faults(typing.NamedTuple):
    """Faults that tests inject; keep the defaults in production.

    ``block_before_order_ms`` blocks the whole process between the check of
    its lease and the write of an order, as a pause of the machine would.
    """

    block_before_order_ms: typing.Annotated[int, _schema.Range(0, 600_000)] = 0
    without_second_check: bool = False


class Settings(typing.NamedTuple):
    """All settings of an entry or a steward."""

    instance: Instance
    listen: Listen
    platform: Platform
    security: Security
    membership: Membership = Membership()
    leases: Leases = Leases()
    polls: Polls = Polls()
    limits: Limits = Limits()
    logging: Logging = Logging()
    faults: Faults = Faults()


class OperatorSettings(typing.NamedTuple):
    """Settings of the operators' command line.

    ``instances`` are control addresses of any entries and stewards; one
    that answers names the others.
    """

    platform: Platform
    security: Security
    instances: tuple[str, ...] = ()
    author: str = "operator"


def load(path, shape=Settings):
    """Read and check the file at ``path``.

    :raises SettingsError: naming the file, and each mistake in it.
    """
    value, mistakes = _schema.build(shape, _settings_file.read_toml(path))
    _settings_file.raise_mistakes(path, list(mistakes) + _cross_checks(value))
    return value


def _cross_checks(value):
    """Return the mistakes that lie in the relation of two settings."""
    if not isinstance(value, Settings):
        return []
    mistakes = []
    for path, address in _addresses(value):
        if not is_address(address):
            mistakes.append(
                _schema.Mistake(path, repr(address), "IP:port by number")
            )
    leases = value.leases
    if leases.renew_ms * 3 > leases.lease_ms:
        mistakes.append(
            _schema.Mistake(
                "leases.renew_ms",
                str(leases.renew_ms),
                f"a third of lease_ms at most ({leases.lease_ms // 3})",
            )
        )
    if not value.security.control_token:
        mistakes.append(
            _schema.Mistake("security.control_token", "''", "not empty")
        )
    return mistakes


def _addresses(value):
    yield "listen.control", value.listen.control
    if value.listen.callers is not None:
        yield "listen.callers", value.listen.callers
    for index, address in enumerate(value.platform.log):
        yield f"platform.log[{index}]", address
    if value.platform.instances is not None:
        yield "platform.instances", value.platform.instances


def is_address(text):
    """Tell whether ``text`` is an IP address and a port."""
    host, _, port = text.rpartition(":")
    parts = host.strip("[]").replace(":", ".").split(".")
    numeric = all(
        part == "" or all(c in "0123456789abcdefABCDEF" for c in part)
        for part in parts
    )
    return bool(host) and numeric and port.isdigit() and int(port) < 65536
