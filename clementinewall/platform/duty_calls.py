"""Requests to the platform's duty service, and what its answers say."""

import enum
import json
import typing

from clementinewall.http1 import messages

_HOLDER_HEADER = b"Duty-Holder"
_TOKEN_HEADER = b"Fencing-Token"


class Outcome(enum.Enum):
    """What became of a call."""

    ACCEPTED = "accepted"
    NONE_AVAILABLE = "none available"
    THROTTLED = "throttled"
    REJECTED = "rejected"
    LOST = "lost"
    NOT_HELD = "not held"


_OUTCOME_BY_STATUS = {
    200: Outcome.ACCEPTED,
    409: Outcome.NONE_AVAILABLE,
    429: Outcome.THROTTLED,
}


class DutyCall(typing.NamedTuple):
    """A call, before it is known who makes it."""

    path: str
    body: bytes


def usage_report(window, count_by_customer):
    """Return the report of the requests of each customer in a window."""
    counts = {n: count for n, count in count_by_customer.items() if count}
    return _call("/usage", {"window": window, "counts": counts})


def scale_order(service, data_centre, wanted, is_spot):
    """Return the order of a number of engines in a data centre."""
    body = {"service": service, "zone": data_centre, "desired": wanted}
    if is_spot:
        body["use_spot"] = True
    return _call("/scale", body)


def _call(path, data):
    return DutyCall(path, json.dumps(data, separators=(",", ":")).encode())


def request(call, address, holder, token):
    """Return the request by which ``holder`` makes a call."""
    headers = (
        (b"Host", address.encode()),
        (b"Content-Type", b"application/json"),
        (_HOLDER_HEADER, holder.encode()),
        (_TOKEN_HEADER, str(token).encode()),
    )
    return messages.Request(b"POST", call.path.encode(), headers, call.body)


def outcome(status):
    """Return what an answer's status says of its call."""
    if status in _OUTCOME_BY_STATUS:
        return _OUTCOME_BY_STATUS[status]
    return Outcome.REJECTED if 400 <= status < 500 else Outcome.LOST
