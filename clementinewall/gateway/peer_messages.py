"""The messages between gateways: types, and their encoding in a datagram.

A datagram is a compressed JSON object with any of these keys: ``state`` (the
sender's unfinished work), ``read`` (shared prompt parts that engines prefilled
or fetched for it), ``changed`` (parts that engines evicted or cached again),
``marks`` (crash records of requests), ``signs`` (heartbeats of gateways),
``kept`` (long prompt prefixes that engines prefilled for the sender) and
``news`` (updates read from the store).  Times are sent as ages, since clocks
of two machines are never compared.
"""

import json
import typing
import zlib

from clementinewall import clock
from clementinewall.policy import prefill_queue
from clementinewall.policy import prefill_scale


class Work(typing.NamedTuple):
    """One gateway's unfinished work at one engine.

    ``jobs`` are the prompts that are queued or in prefill, ``streams`` counts
    the answers in decode, ``last_prefill_end`` is when a prefill last ended.
    """

    jobs: tuple[prefill_queue.Job, ...]
    streams: int
    last_prefill_end: float


class Heartbeat(typing.NamedTuple):
    """When a gateway was last known alive, and its address for callers."""

    ip: str
    callers: str
    data_centre: str
    ready: bool
    received_at: clock.Millis


class GatewayState(typing.NamedTuple):
    """A gateway's heartbeat, with its work and the engines it reconfigures.

    ``unavailable_ms_by_endpoint_id`` is for how many ms engines that change
    their stage take no work, ``estimate_by_service`` how the prefill time
    that the gateway measured compares with the predicted one.
    """

    heartbeat: Heartbeat
    work_by_endpoint_id: dict[str, Work]
    unavailable_ms_by_endpoint_id: dict[str, float]
    estimate_by_service: dict[str, prefill_scale.Estimate] = {}


# The fastest level.  Compression pays since traffic between data centres is
# charged by the byte.
LEVEL = 1
# The limit on a decompressed message, so that no datagram can exhaust memory.
MAX_BYTES = 200_000


def dump(message):
    """Return a message as compressed bytes."""
    raw = json.dumps(message, separators=(",", ":")).encode()
    return zlib.compress(raw, LEVEL)


def load(raw):
    """Return the message in a datagram.

    :raises ValueError: if the datagram is malformed.
    """
    try:
        data = zlib.decompressobj().decompress(raw, MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(f"datagram is not valid zlib data: {exc}") from exc
    return json.loads(data)


def encode_heartbeat(value, now):
    """Return a heartbeat as plain data."""
    return [*value[:4], now - value.received_at]


def encode_state(value, now):
    """Return a gateway's state as plain data."""
    return {
        "scales": {
            name: [round(number, 2) for number in estimate]
            for name, estimate in value.estimate_by_service.items()
        },
        "sign": encode_heartbeat(value.heartbeat, now),
        "away": value.unavailable_ms_by_endpoint_id,
        "work": {
            name: [
                work.streams,
                now - work.last_prefill_end,
                [
                    [job.urgency, round(job.cost_ms), now - job.sent_at]
                    for job in work.jobs
                ],
            ]
            for name, work in value.work_by_endpoint_id.items()
        },
    }


def decode_heartbeat(row, now):
    """Return the heartbeat in a message.

    :raises TypeError, ValueError: if the row is malformed.
    """
    ip, callers, data_centre, ready, age = row
    received_at = now - max(0, age)
    return Heartbeat(
        str(ip), str(callers), str(data_centre), ready is True, received_at
    )


def decode_state(data, now):
    """Return the state in a message.

    :raises AttributeError, KeyError, TypeError, ValueError: if malformed.
    """
    work = {
        name: Work(
            tuple(
                prefill_queue.Job(urgency, cost_ms, now - age)
                for urgency, cost_ms, age in jobs
            ),
            streams,
            now - end_age,
        )
        for name, (streams, end_age, jobs) in data["work"].items()
    }
    away = {str(name): ms + 0 for name, ms in data["away"].items()}
    return GatewayState(
        decode_heartbeat(data["sign"], now),
        work,
        away,
        _estimates(data.get("scales")),
    )


def _estimates(rows):
    """Return the estimates in a message.

    :raises AttributeError, TypeError, ValueError: if malformed.
    """
    found = {}
    for name, (log_scale, weight) in (rows or {}).items():
        if not abs(log_scale) <= prefill_scale.MAX_LOG_SCALE:
            raise ValueError(f"scale of {name}: {log_scale}")
        if not 0 <= weight <= prefill_scale.MAX_WEIGHT:
            raise ValueError(f"weight of {name}: {weight}")
        found[str(name)] = prefill_scale.Estimate(log_scale, weight)
    return found
