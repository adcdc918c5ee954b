"""Types that the gateway and the platform's translation share.

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


class Bounds(typing.NamedTuple):
    """The deployment's limits that a gateway has to respect."""

    grace_ms: clock.Millis = 8_000
    # Retries of all gateways together, for each service in a sliding
    # window: this part of its requests and so many besides.
    retry_ratio: float = 0.2
    retry_window_ms: clock.Millis = 10_000
    retry_slack: float = 50.0
    # How long callers keep the addresses that they were told, at most.
    addresses_ttl_ms: clock.Millis = 5_000
    # A change of the configuration must be in force by then, and a leaving
    # endpoint get no new work.
    configuration_ms: clock.Millis = 2_000
    draining_ms: clock.Millis = 2_000
    # Orders of two holders to one engine must be so far apart.
    order_interval_ms: clock.Millis = 3_000


class Settings(typing.NamedTuple):
    """What a gateway process learns from its settings."""

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
    # Of the instance's own link; 0 if it isn't known.
    link_mbps: float = 0.0


class Share(typing.NamedTuple):
    """A service that a route leads to, with its part of the requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """Where requests of one host and path prefix go, and their targets."""

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

    @property
    def idempotent(self):
        """Tell whether a request of this route may run more than once."""
        return self.kind == SAFE or (self.kind == STREAM and self.resumable)


class EngineLimits(typing.NamedTuple):
    """What all engines of one model service have in common."""

    slots: int
    kv_tokens: int
    kv_token_bytes: int
    link_mbps: float
    switch_ms: clock.Millis


class Service(typing.NamedTuple):
    """A service; ``engine`` is set if its endpoints are model engines."""

    name: str
    engine: EngineLimits | None


class Configuration(typing.NamedTuple):
    """One version of what operators publish."""

    version: int
    routes_by_host: dict[str, tuple[Route, ...]]
    service_by_name: dict[str, Service]
    limits: server.Limits

    def route_for(self, host, path):
        """Return the route with the longest matching prefix, or ``None``."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Endpoint(typing.NamedTuple):
    """One endpoint as it registered itself.

    ``incarnation`` tells two lives under the same id apart.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool
    stage: str | None
    incarnation: int

    @property
    def incarnation_key(self):
        """Return what is unique to this life of the endpoint."""
        return self.id, self.incarnation, self.address


class PromptPart(typing.NamedTuple):
    """A part of a prompt that other requests may share."""

    id: str
    tokens: int


class CacheChange(typing.NamedTuple):
    """Parts of prompts as an engine keeps them, or those that changed.

    ``tokens`` of a part are those that are kept now, none if it was dropped.
    ``epoch`` is another one after a restart of the engine, ``next`` where the
    changes go on, and ``is_gap`` tells that some are missing.
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
    for this attempt, which the endpoint repeats in its answer.
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


class Prefilled(typing.NamedTuple):
    """A prompt that one engine has read, for another to fetch."""

    address: str
    handle: str
    tokens: int

    @property
    def source(self):
        """Return where the memory of the prompt can be fetched."""
        return f"{self.address}/{self.handle}"


class EngineReport(typing.NamedTuple):
    """How many orders an engine has accepted; whether it is at one now."""

    orders: int
    is_busy: bool


class EndpointLoad(typing.NamedTuple):
    """The load that an endpoint says it has, with its answers."""

    running: int
    waiting: int
    slots: int
