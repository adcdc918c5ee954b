"""Types shared by the gateway and the translation of platform messages.

:mod:`clementinewall.platform` decodes messages into these types; the gateway
and the lab decide on them.  This module imports neither, so that both can
depend on it.  All durations are milliseconds.
"""

import typing

from clementinewall import clock
from clementinewall.http1 import messages
from clementinewall.http1 import server

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"

PREFILL = "prefill"
DECODE = "decode"
STAGES = (PREFILL, DECODE)

# The longest address or name of a data centre that gateways send each other.
MAX_TEXT = 200


class Bounds(typing.NamedTuple):
    """The deployment's limits that a gateway has to respect."""

    grace_ms: clock.Millis = 8_000
    # Retries of all gateways together, for each service in a sliding
    # window: at most this fraction of its requests plus the slack.
    retry_ratio: float = 0.2
    retry_window_ms: clock.Millis = 10_000
    retry_slack: float = 50.0
    # How long callers keep the addresses that they were given, at most.
    addresses_ttl_ms: clock.Millis = 5_000
    # Time limits for a change of the configuration to take effect, and for a
    # draining endpoint to get no new work.
    configuration_ms: clock.Millis = 2_000
    draining_ms: clock.Millis = 2_000
    # Orders of two lease holders to one engine must be this far apart.
    order_interval_ms: clock.Millis = 3_000
    # A removed key must not be served later than this after its removal, also
    # where the store can't be reached; ``None`` if the deployment allows it.
    revocation_ms: clock.Millis | None = None
    # Usage is reported by windows of this length, this long after their end
    # at the latest.
    usage_window_ms: clock.Millis = 5_000
    usage_due_ms: clock.Millis = 10_000


class DutyService(typing.NamedTuple):
    """The platform's service that one gateway at a time calls for all.

    ``max_calls_per_second`` holds for all gateways together.
    """

    address: str
    reports_usage: bool = False
    orders_engines: bool = False
    max_calls_per_second: float = 50.0


class StoreLimits(typing.NamedTuple):
    """The limits of the platform's store.

    The calls are those of all gateways together.  ``keep_ms`` is after which
    time a record without a key expires, ``None`` if it isn't known;
    ``append_ms`` is how long an append keeps its topic busy, 0 likewise.
    """

    writes_per_second: float = 400.0
    reads_per_second: float = 2_000.0
    record_bytes: int = 65_536
    keep_ms: clock.Millis | None = None
    append_ms: float = 0.0


class Settings(typing.NamedTuple):
    """The settings of a gateway process.

    ``callers``, ``ready``, ``directory`` and ``store`` are addresses, as
    ``host:port``; the first three are listened on.
    """

    instance: str
    ip: str
    data_centre: str
    callers: str
    ready: str
    directory: str
    peer_port: int
    store: str
    bounds: Bounds
    metrics_port: int | None = None
    # Bandwidth of the instance's own link; 0 if it isn't known.
    link_mbps: float = 0.0
    # ``None`` if the deployment has no duties.
    duty_service: DutyService | None = None
    # Memory limit of the process; 0 if it isn't known.
    memory_mb: float = 0.0
    # The operator's own bounds of the number of engines.
    engine_limits_by_service: dict = {}
    store_limits: StoreLimits = StoreLimits()


class Share(typing.NamedTuple):
    """A service that a route leads to, with its weight among the shares."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """The services and targets of requests for one host and path prefix.

    ``goal_ms`` is the target of a call or of the first event of a stream,
    ``gap_goal_ms`` that between two events.
    """

    name: str
    host: str
    prefix: str
    kind: str
    shares: tuple[Share, ...]
    timeout_ms: clock.Millis | None
    goal_ms: clock.Millis
    gap_goal_ms: clock.Millis
    priority: int
    max_attempts: int
    resumable: bool
    # Whether callers need no key, where the deployment has customers.
    is_public: bool = False

    @property
    def idempotent(self):
        """Tell whether a request of this route may run more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)

    def leads_to(self, service):
        """Tell whether requests of this route may go to a service."""
        if len(self.shares) == 1:
            return self.shares[0].service == service
        return any(s.service == service and s.weight > 0 for s in self.shares)


class EngineLimits(typing.NamedTuple):
    """The limits that all engines of one model service share."""

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_mbps: float
    switch_ms: clock.Millis


class ScaleRange(typing.NamedTuple):
    """How many engines of a service may be ordered, and what they cost.

    ``min`` and ``max`` hold for each data centre, for engines of both kinds
    together.  ``boot_ms`` passes from an order until a new engine serves.
    Prices are relative; ``spot_price`` is the factor for engines that may be
    taken back at any time, ``None`` if there are none.
    """

    min: int
    max: int
    boot_ms: clock.Millis
    price_by_data_centre: dict[str, float]
    spot_price: float | None = None


class Service(typing.NamedTuple):
    """A service; ``engine`` is set if its endpoints are model engines.

    ``scale`` is set if the system orders the number of its endpoints.
    """

    name: str
    engine: EngineLimits | None
    scale: ScaleRange | None = None


class Customer(typing.NamedTuple):
    """Whose requests carry one of the customer's keys.

    ``priority``, 0 the highest, goes before that of a route unless ``None``.
    """

    name: str
    priority: int | None = None


class Configuration(typing.NamedTuple):
    """One version of the configuration that operators publish."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, Service]
    limits: server.Limits
    # ``None`` if the deployment has no customers; no request needs a key then.
    customer_by_key: dict[str, Customer] | None = None

    def route_for(self, host, path):
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Endpoint(typing.NamedTuple):
    """One endpoint as it registered itself.

    ``incarnation`` grows with each restart under the same id; ``version`` is
    that of its software, without an order.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    stage: str | None
    incarnation: int
    version: str = ""
    # Whether the platform may take the engine back at any time.
    is_spot: bool = False

    @property
    def incarnation_key(self):
        """Return a key that is unique to this incarnation."""
        return self.id, self.incarnation, self.address

    @property
    def incarnation_name(self):
        """Return the name of this incarnation in crash records."""
        return f"{self.id}/{self.incarnation}"


class PromptPart(typing.NamedTuple):
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


class CacheChange(typing.NamedTuple):
    """Prompt parts in an engine's cache, all of them or those that changed.

    ``tokens`` of a part are those cached now, 0 if it was evicted.  ``epoch``
    changes with a restart of the engine, ``next`` is the offset of the next
    change, and ``is_gap`` tells that some changes are missing.
    """

    epoch: str
    next: int
    parts: tuple[PromptPart, ...]
    is_gap: bool = False


class Prompt(typing.NamedTuple):
    """What a request asks of a model engine."""

    model: str
    tokens_in: int
    tokens_out: int
    parts: tuple[PromptPart, ...]


class Call(typing.NamedTuple):
    """A caller's request, decoded once.

    ``headers`` are those to be forwarded.  ``attempt`` is the caller's id
    for this attempt, which the endpoint repeats in its answer.  ``resumes``
    is that of the attempt that brought the first event of a stream which
    this call takes up after the event ``resume_after``.  ``key`` is the
    caller's own, ``customer`` whose it is, once that is known.
    """

    attempt: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: tuple[messages.Header, ...]
    body: bytes
    wait_ms: clock.Millis | None
    resume_after: int | None
    prompt: Prompt | None
    resumes: str | None = None
    key: str | None = None
    customer: Customer | None = None

    @property
    def takes_up(self):
        """Tell whether the caller has events of this stream."""
        return bool(self.resume_after) or self.resumes is not None


class Prefilled(typing.NamedTuple):
    """A prompt that one engine has prefilled, for another to fetch."""

    address: str
    handle: str
    tokens: int

    @property
    def source(self):
        """Return where the KV cache of the prompt can be fetched."""
        return f"{self.address}/{self.handle}"


class EngineReport(typing.NamedTuple):
    """How many orders an engine has accepted; whether it executes one."""

    orders: int
    is_busy: bool


class EndpointLoad(typing.NamedTuple):
    """The load that an endpoint reports with its answers.

    ``pace`` is how long work takes there now, against the usual time; ``None``
    if the endpoint doesn't tell.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None
