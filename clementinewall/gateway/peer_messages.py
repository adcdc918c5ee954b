"""The messages between gateways: types, and their encoding in a datagram.

A datagram is a compressed JSON object with any of these keys: ``state`` (the
sender's unfinished work), ``read`` (shared prompt parts that engines prefilled
or fetched for it), ``changed`` (parts that engines evicted or cached again),
``marks`` (crash records of requests), ``limits`` (what endpoints said of their
request limits), ``beats`` (the newest heartbeats of all gateways), ``facts``
(what else is known of their processes), ``ask`` (gateways whose facts the
sender needs), ``signs`` (heartbeats with their age, from gateways of the
version before), ``kept`` (long prompt prefixes that engines prefilled),
``news`` (updates read from the store), ``room`` (recent admissions) and
``relays`` (gateways that opened tunnels to endpoints lately).  Times
are sent as ages, since clocks of two machines are never compared.
"""

import functools
import ipaddress
import itertools
import json
import operator
import typing
import zlib

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import engine_speeds
from clementinewall.gateway import speed_messages
from clementinewall.policy import dissemination
from clementinewall.policy import prefill_queue
from clementinewall.policy import prefill_scale


class Work(typing.NamedTuple):
    """One gateway's unfinished work at one engine.

    ``jobs`` are the prompts that are queued or in prefill, ``streams`` counts
    the answers in decode, ``last_prefill_end`` is when a prefill last ended.
    ``tokens`` is for how many tokens the work takes the engine's memory.
    """

    jobs: tuple[prefill_queue.Job, ...]
    streams: int
    last_prefill_end: float
    tokens: int = 0


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
    that the gateway measured compares with the predicted one, and
    ``speed_rows`` tell of single engines.
    """

    heartbeat: Heartbeat
    work_by_endpoint_id: dict[str, Work]
    unavailable_ms_by_endpoint_id: dict[str, float]
    estimate_by_service: dict[str, prefill_scale.Estimate] = {}
    speed_rows: tuple[engine_speeds.SpeedRow, ...] = ()


# The fastest level.  Compression pays since traffic between data centres is
# charged by the byte.
LEVEL = 1
# The limit on a decompressed message, so that no datagram can exhaust memory.
MAX_BYTES = 200_000
MAX_ADDRESSES = 4_096
# Larger numbers about a gateway are refused.
MAX_NUMBER = 2**53


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
    data = {
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
    # Apart, since gateways of the version before read rows of three.
    held = {
        name: work.tokens
        for name, work in value.work_by_endpoint_id.items()
        if work.tokens
    }
    if held:
        data["held"] = held
    if value.speed_rows:
        # Left out where no engine tells its pace.
        data["speeds"] = speed_messages.encode(value.speed_rows, now)
    return data


def encode_beats(beats, now):
    """Return heartbeats as four columns of numbers.

    These are the addresses, each as its distance from the one before, the
    incarnations, twice the counts plus whether the gateway is ready, and the
    ages.
    """
    rows = sorted(
        [
            (
                _number_of(beat.ip),
                beat.incarnation,
                2 * beat.count + beat.is_ready,
                # A heartbeat may be made while the message is.
                max(0, now - beat.sent_at),
            )
            for beat in beats
        ]
    )
    numbers, *columns = zip(*rows, strict=True)
    distances = map(operator.sub, numbers, (0, *numbers))
    return [list(distances), *map(list, columns)]


def decode_beats(columns, now):
    """Return the heartbeats in a message, as rows of :class:`Beat`'s fields.

    :raises TypeError, ValueError: if malformed.
    """
    distances, incarnations, counts, ages = columns
    for column in columns:
        if not isinstance(column, list) or {*map(type, column)} - {int}:
            raise ValueError("a column of heartbeats is not of integers")
        if column and not 0 <= min(column) <= max(column) < MAX_NUMBER:
            raise ValueError("a number of a heartbeat is out of range")
    ips = map(_ip_of, itertools.accumulate(distances))
    return [
        (ip, incarnation, count >> 1, count & 1 == 1, now - age)
        for ip, incarnation, count, age in zip(
            ips, incarnations, counts, ages, strict=True
        )
    ]


def is_address(text):
    """Return whether a text is the address of a gateway, as it is sent to."""
    try:
        _number_of(text)
    except ValueError:
        return False
    return True


@functools.lru_cache(maxsize=MAX_ADDRESSES)
def _number_of(ip):
    return int(ipaddress.IPv4Address(ip))


@functools.lru_cache(maxsize=MAX_ADDRESSES)
def _ip_of(number):
    return str(ipaddress.IPv4Address(number))


def decode_facts(rows):
    """Return the facts of gateways in a message.

    :raises TypeError, ValueError: if malformed.
    """
    found = []
    for ip, incarnation, callers, data_centre in rows:
        if type(incarnation) is not int or not 0 <= incarnation < MAX_NUMBER:
            raise ValueError(f"incarnation of {ip!r}: {incarnation!r}")
        for text in (ip, callers, data_centre):
            if type(text) is not str or len(text) > domain.MAX_TEXT:
                raise ValueError(f"facts of {ip!r}: {text!r}")
        _number_of(ip)
        found.append(
            dissemination.Facts(ip, incarnation, callers, data_centre)
        )
    return found


def decode_heartbeat(row, now):
    """Return the heartbeat in a message.

    :raises TypeError, ValueError: if the row is malformed.
    """
    ip, callers, data_centre, ready, age = row
    _number_of(ip)
    received_at = now - max(0, _finite(age))
    return Heartbeat(
        str(ip), str(callers), str(data_centre), ready is True, received_at
    )


def decode_state(data, now):
    """Return the state in a message.

    :raises AttributeError, KeyError, TypeError, ValueError: if malformed.
    """
    held = data.get("held") or {}
    work = {
        name: Work(
            tuple(
                prefill_queue.Job(
                    _finite(urgency), _finite(cost_ms), now - _finite(age)
                )
                for urgency, cost_ms, age in jobs
            ),
            _checked_count(streams),
            now - _finite(end_age),
            _checked_count(held.get(name, 0)),
        )
        for name, (streams, end_age, jobs) in data["work"].items()
    }
    away = {str(name): _finite(ms) for name, ms in data["away"].items()}
    return GatewayState(
        decode_heartbeat(data["sign"], now),
        work,
        away,
        _estimates(data.get("scales")),
        speed_messages.decode(data.get("speeds", ()), now),
    )


def _checked_count(number):
    if type(number) is not int or not 0 <= number < MAX_NUMBER:
        raise ValueError(f"a count at an engine: {number!r}")
    return number


def _finite(number):
    """Return a number with which times can be reckoned.

    :raises TypeError, ValueError: it is none, or too large.
    """
    if not -MAX_NUMBER < number < MAX_NUMBER:
        raise ValueError(f"{number!r} is not a finite number")
    return number


def all_work(own, peers, endpoint_id):
    """Return the work of this gateway and its peers at an engine."""
    jobs = list(own.jobs)
    _, streams, last_prefill_end, tokens = own
    for peer in peers:
        work = peer.work_by_endpoint_id.get(endpoint_id)
        if work is not None:
            jobs.extend(work.jobs)
            streams += work.streams
            last_prefill_end = max(last_prefill_end, work.last_prefill_end)
            tokens += work.tokens
    return Work(jobs, streams, last_prefill_end, tokens)


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
