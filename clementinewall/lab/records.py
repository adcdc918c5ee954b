"""The records, routes and calls that the lab's gateways are given."""

from clementinewall import domain
from clementinewall.http1 import server

SERVICE = "model"
GAP_TARGET_MS = 150


def addresses(count):
    """Return the addresses of the gateways."""
    return [f"10.0.{n // 250}.{n % 250}" for n in range(count)]


def configuration(deployment):
    """Return the configuration that all gateways know."""
    row = deployment.engines
    limits = domain.EngineLimits(
        row.slots, row.kv_tokens, row.kv_token_bytes, row.link_mbps, 3_000
    )
    service = domain.Service(SERVICE, limits)
    return domain.Configuration(1, {}, {SERVICE: service}, server.Limits())


def endpoint(name, is_prefill, slots):
    """Return the record of an engine."""
    stage = domain.PREFILL if is_prefill else domain.DECODE
    return domain.Endpoint(name, SERVICE, name, "", slots, False, stage, 1)


def route(name, row):
    """Return the route of a class of requests."""
    return domain.Route(
        name=name,
        host="",
        prefix="/",
        kind=domain.STREAM,
        shares=(domain.Share(SERVICE, 1.0),),
        timeout_ms=row.deadline_ms,
        goal_ms=row.goal_ms,
        gap_goal_ms=GAP_TARGET_MS,
        priority=0,
        max_attempts=1,
        resumable=False,
    )


def call(arrival):
    """Return a caller's request."""
    return domain.Call(
        attempt="lab",
        method=b"POST",
        target=b"/",
        host="",
        path="/",
        headers=(),
        body=b"",
        wait_ms=None,
        resume_after=None,
        prompt=arrival.prompt,
    )
