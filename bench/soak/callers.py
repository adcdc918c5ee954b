"""Callers that keep their connections open, and note what they get."""

import http.client
import random
import secrets
import threading
import time
import typing

from bench.soak import backends
from bench.soak import ledger as ledger_module
from tests.integration import gateway_base

TIMEOUT_SECONDS = 6
REST_SECONDS = 0.02
CALL_LIMIT_SECONDS = 3.0
STREAM_LIMIT_SECONDS = 5.0
SLOW_LIMIT_SECONDS = 0.8
SHORT_EVENTS = 12
LONG_SECONDS = (0.3, 2.5)
LEAVE_SECONDS = (0.05, 0.4)

KINDS = (
    "safe",
    "unsafe",
    "stream",
    "probe",
    "long",
    "long",
    "leaving",
)
# A slow call occupies its endpoint, so that only a few are sent.
SLOW_KINDS = ("slow", "waiting")
SLOW_SHARE = 0.06
STREAMS = ("stream", "long", "leaving")
# The two kinds that end when their caller leaves: a stream, and a call
# without any byte of an answer.
LEAVING = ("leaving", "waiting")
PATH_BY_KIND = {
    "safe": "/look/x",
    "unsafe": "/book/x",
    "stream": "/chat/x",
    "long": "/chat/x",
    "leaving": "/chat/x",
    "slow": "/slow/x",
    "waiting": "/wait/x",
}


class _Wish(typing.NamedTuple):
    """A request before it is sent."""

    attempt: str
    kind: str
    path: str
    events: int
    limit: float
    # After how many seconds the caller closes the connection.
    leaves_after: float | None


class Caller(threading.Thread):
    """One caller; it keeps a connection to each place that it used."""

    def __init__(self, seed, ledger, routing, stop):
        """Call until ``stop`` is set.

        ``routing(draw)`` returns what picks the place of each request.
        """
        super().__init__(daemon=True)
        self._draw = random.Random(seed)
        self._ledger = ledger
        self._places = routing(self._draw)
        self._stop_event = stop
        self._connection_by_place = {}

    def run(self):
        """Call and rest by turns."""
        while not self._stop_event.is_set():
            place = self._places.pick(self._connection_by_place)
            wish = self._wish()
            if place is not None and wish is not None:
                self._call(place, wish)
            time.sleep(REST_SECONDS)

    def _wish(self):
        kind = self._draw.choice(KINDS)
        if self._draw.random() < SLOW_SHARE:
            kind = self._draw.choice(SLOW_KINDS)
        path = PATH_BY_KIND.get(kind)
        if path is None:
            if not self._ledger.versions:
                return None
            path = f"/new{self._ledger.versions[-1][0]}/x"
        events = 0
        limit = SLOW_LIMIT_SECONDS if kind == "slow" else CALL_LIMIT_SECONDS
        leaves_after = None
        if kind in STREAMS:
            limit = STREAM_LIMIT_SECONDS
            events = SHORT_EVENTS
        if kind in ("long", "leaving"):
            seconds = self._draw.uniform(*LONG_SECONDS)
            events = int(seconds / backends.PAUSE_SECONDS)
        if kind in LEAVING:
            leaves_after = self._draw.uniform(*LEAVE_SECONDS)
        return _Wish(
            secrets.token_hex(8), kind, path, events, limit, leaves_after
        )

    def _call(self, place, wish):
        self._ledger.begin(wish.attempt)
        start = time.monotonic()
        status, body, failure = self._ask(place, wish)
        ended = time.monotonic()
        if failure is not None and failure != ledger_module.Failure.ABANDONED:
            self._places.note_failure(place)
        numbers = _numbers(body) if wish.events else ()
        if wish.events:
            right = numbers == tuple(range(1, wish.events + 1))
        else:
            right = body == backends.body_of(wish.attempt, wish.path)
        sent = ledger_module.Sent(
            wish.attempt,
            wish.kind,
            place.gateway,
            wish.path,
            start,
            ended,
            status,
            right,
            numbers,
            failure,
            wish.limit,
        )
        rows = self._ledger.sent
        if wish.kind == "probe":
            rows = self._ledger.probes
        self._ledger.add(rows, sent)

    def _ask(self, place, wish):
        """Return status, body and failure of a request."""
        connection = self._connection_by_place.pop(place, None)
        try:
            if connection is None:
                connection = _connect(place)
        except OSError:
            return None, b"", ledger_module.Failure.NOT_CONNECTED
        try:
            # Equal bodies would be taken for one request that comes again.
            body = wish.attempt.encode()
            connection.request("POST", wish.path, body, _headers(wish))
        except OSError:
            connection.close()
            return None, b"", ledger_module.Failure.NOT_SENT
        status, body, failure = _receive(connection, wish)
        if failure is not None or connection.sock is None:
            connection.close()
        else:
            connection.sock.settimeout(TIMEOUT_SECONDS)
            self._connection_by_place[place] = connection
        return status, body, failure


def _connect(place):
    host, _, port = place.address.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=TIMEOUT_SECONDS
    )
    connection.connect()
    return connection


def _headers(wish):
    # The route's timeout is the limit of a slow call, not the deadline.
    limit = CALL_LIMIT_SECONDS if wish.kind == "slow" else wish.limit
    headers = {
        "Host": gateway_base.HOST,
        "Attempt-Id": wish.attempt,
        "Deadline-Ms": str(int(limit * 1_000)),
    }
    if wish.events:
        headers["Model"] = "m"
        headers["Token-Usage"] = backends.usage_of(wish.events)
        headers["Prompt-Prefix"] = "aa:40,bb:40,cc:20"
    return headers


def _receive(connection, wish):
    body = b""
    leaves_at = float("inf")
    if wish.leaves_after is not None:
        leaves_at = time.monotonic() + wish.leaves_after
        connection.sock.settimeout(wish.leaves_after)
    try:
        answer = connection.getresponse()
        while piece := answer.read1(65_536):
            body += piece
            if time.monotonic() >= leaves_at:
                answer.close()
                return None, body, ledger_module.Failure.ABANDONED
        # read1 doesn't raise when a body with a length ends early.
        if answer.length:
            return None, body, ledger_module.Failure.CLOSED
        # Only a closed answer lets the connection be used again.
        answer.close()
        return answer.status, body, None
    except TimeoutError:
        if wish.leaves_after is not None:
            return None, body, ledger_module.Failure.ABANDONED
        return None, body, ledger_module.Failure.TIMED_OUT
    except (OSError, http.client.HTTPException):
        return None, body, ledger_module.Failure.CLOSED


def _numbers(body):
    """Return the numbers of the whole events in a body."""
    events = body.split(b"\n\n")[:-1]
    return tuple(int(event.split(b"\n")[0][4:]) for event in events)
