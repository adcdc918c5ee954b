"""Callers that keep connections open and record each outcome."""

import http.client
import random
import secrets
import threading
import time
import typing

from bench.soak import backends
from bench.soak import history as history_module
from tests.integration import gateway_base

TIMEOUT_SECONDS = 6
REQUEST_GAP_SECONDS = 0.02
CALL_LIMIT_SECONDS = 3.0
STREAM_LIMIT_SECONDS = 5.0
SLOW_LIMIT_SECONDS = 0.8
SHORT_EVENTS = 12
LONG_SECONDS = (0.3, 2.5)
ABANDON_AFTER_SECONDS = (0.05, 0.4)

KINDS = (
    "safe",
    "unsafe",
    "stream",
    "probe",
    "long",
    "long",
    "leaving",
)
# A slow call occupies its endpoint, so only a few are sent.
SLOW_KINDS = ("slow", "waiting")
SLOW_FRACTION = 0.06
STREAM_KINDS = ("stream", "long", "leaving")
# The two kinds that end when their caller leaves: a stream, and a call
# without any byte of an answer.
ABANDONING_KINDS = ("leaving", "waiting")
PATH_BY_KIND = {
    "safe": "/look/x",
    "unsafe": "/book/x",
    "stream": "/chat/x",
    "long": "/chat/x",
    "leaving": "/chat/x",
    "slow": "/slow/x",
    "waiting": "/wait/x",
}


class _PlannedRequest(typing.NamedTuple):
    """A request before it is sent."""

    attempt: str
    kind: str
    path: str
    events: int
    limit: float
    # After how many seconds the caller closes the connection.
    abandon_after: float | None
    # The attempt that began the stream, and the last event received.
    resumes: tuple[str, int] | None = None


class Returns(typing.NamedTuple):
    """How often a caller takes a stream up, and after how many seconds."""

    max_tries: int
    first: tuple[float, float]
    next: tuple[float, float]


AT_ONCE = Returns(2, (0.0, 0.0), (0.0, 0.0))
PATIENT = Returns(14, (0.2, 4.0), (0.3, 1.2))


class _OpenStream(typing.NamedTuple):
    """A stream that its caller may take up."""

    request: _PlannedRequest
    rows: list
    tries: int
    due_at: float


class _Outcome(typing.NamedTuple):
    status: int | None
    body: bytes
    failure: history_module.Failure | None
    head_at: float | None = None


class Caller(threading.Thread):
    """One caller; it keeps a connection to each target that it used."""

    def __init__(self, seed, history, routing, stop, returns=None, key=None):
        """Call until ``stop`` is set.

        ``routing(rng)`` returns an object that picks the target of each
        request.  With ``returns`` streams that break off are taken up.
        ``key`` is that of the caller's customer.
        """
        self._returns = returns
        self._return_rng = random.Random(f"returns {seed}")
        self._open_streams = []
        self._key = key
        super().__init__(daemon=True)
        self._rng = random.Random(seed)
        self._history = history
        self._targets = routing(self._rng)
        self._stop_event = stop
        self._connection_by_target = {}

    def run(self):
        """Send requests with a pause after each."""
        while not self._stop_event.is_set():
            target = self._targets.pick(self._connection_by_target)
            request = self._draw_request()
            if target is not None and request is not None:
                self._call(target, request)
            self._take_up_due()
            time.sleep(REQUEST_GAP_SECONDS)
        for stream in self._open_streams:
            self._record_stream(stream)

    def _draw_request(self):
        kind = self._rng.choice(KINDS)
        if self._rng.random() < SLOW_FRACTION:
            kind = self._rng.choice(SLOW_KINDS)
        path = PATH_BY_KIND.get(kind)
        if path is None:
            if not self._history.versions:
                return None
            path = f"/new{self._history.versions[-1][0]}/x"
        events = 0
        limit = SLOW_LIMIT_SECONDS if kind == "slow" else CALL_LIMIT_SECONDS
        abandon_after = None
        if kind in STREAM_KINDS:
            limit = STREAM_LIMIT_SECONDS
            events = SHORT_EVENTS
        if kind in ("long", "leaving"):
            seconds = self._rng.uniform(*LONG_SECONDS)
            events = int(seconds / backends.EVENT_INTERVAL_SECONDS)
        if kind in ABANDONING_KINDS:
            abandon_after = self._rng.uniform(*ABANDON_AFTER_SECONDS)
        return _PlannedRequest(
            secrets.token_hex(8), kind, path, events, limit, abandon_after
        )

    def _call(self, target, request):
        self._history.record_attempt(request.attempt)
        start = time.monotonic()
        outcome = self._send(target, request)
        ended = time.monotonic()
        if outcome.failure not in (None, history_module.Failure.ABANDONED):
            self._targets.record_failure(target)
        numbers = _event_numbers(outcome.body) if request.events else ()
        if request.events:
            is_correct = numbers == tuple(range(1, request.events + 1))
        else:
            is_correct = outcome.body == backends.plain_body(
                request.attempt, request.path
            )
        sent = history_module.SentRequest(
            request.attempt,
            request.kind,
            target.gateway,
            request.path,
            start,
            ended,
            outcome.status,
            is_correct,
            numbers,
            outcome.failure,
            request.limit,
            outcome.head_at,
        )
        rows = self._history.sent
        if request.kind == "probe":
            rows = self._history.probes
        self._history.add(rows, sent)
        rows = _event_rows(outcome.body) if request.events else []
        if rows and self._returns is not None:
            due_at = self._draw_due(self._returns.first)
            self._open_streams.append(_OpenStream(request, rows, 0, due_at))

    def _draw_due(self, span):
        return time.monotonic() + self._return_rng.uniform(*span)

    def _take_up_due(self):
        """Take streams up until they are whole or their tries are used up."""
        streams = self._open_streams
        while due := [s for s in streams if s.due_at <= time.monotonic()]:
            stream = due[0]
            streams.remove(stream)
            is_whole = len(stream.rows) >= stream.request.events
            if is_whole or stream.tries >= self._returns.max_tries:
                self._record_stream(stream)
                continue
            target = self._targets.pick(self._connection_by_target)
            if target is not None:
                self._take_up(target, stream.request, stream.rows)
            due_at = self._draw_due(self._returns.next)
            streams.append(
                stream._replace(tries=stream.tries + 1, due_at=due_at)
            )

    def _take_up(self, target, request, rows):
        """Take a stream up once, and add its events to ``rows``."""
        attempt = secrets.token_hex(8)
        self._history.record_attempt(attempt)
        again = request._replace(
            attempt=attempt,
            kind="return",
            abandon_after=None,
            resumes=(request.attempt, rows[-1][0]),
        )
        at = time.monotonic()
        found = _event_rows(self._send(target, again).body)
        row = history_module.Return(
            request.attempt, target.gateway, rows[-1][1], at, bool(found)
        )
        self._history.add(self._history.returns, row)
        rows += found

    def _record_stream(self, stream):
        versions = frozenset(version for _, version in stream.rows)
        row = history_module.Stream(stream.request.attempt, versions)
        self._history.add(self._history.streams, row)

    def _send(self, target, request):
        """Return the outcome of a request."""
        connection = self._connection_by_target.pop(target, None)
        try:
            if connection is None:
                connection = _connect(target)
        except OSError:
            return _Outcome(None, b"", history_module.Failure.NOT_CONNECTED)
        try:
            # Requests with equal bodies would be taken for repeats of one.
            body = request.attempt.encode()
            headers = _headers(request)
            if self._key is not None:
                headers["Credential"] = self._key
            connection.request("POST", request.path, body, headers)
        except OSError:
            connection.close()
            return _Outcome(None, b"", history_module.Failure.NOT_SENT)
        outcome = _receive(connection, request)
        if outcome.failure is not None or connection.sock is None:
            connection.close()
        else:
            connection.sock.settimeout(TIMEOUT_SECONDS)
            self._connection_by_target[target] = connection
        return outcome


def _connect(target):
    host, _, port = target.address.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=TIMEOUT_SECONDS
    )
    connection.connect()
    return connection


def _headers(request):
    # A slow call is limited by its route's timeout, not by the deadline.
    limit = CALL_LIMIT_SECONDS if request.kind == "slow" else request.limit
    headers = {
        "Host": gateway_base.HOST,
        "Attempt-Id": request.attempt,
        "Deadline-Ms": str(int(limit * 1_000)),
    }
    if request.events:
        headers["Model"] = "m"
        headers["Token-Usage"] = backends.token_usage(request.events)
        headers["Prompt-Prefix"] = "aa:40,bb:40,cc:20"
    if request.resumes is not None:
        headers["Resumes"] = request.resumes[0]
        headers["Last-Event-Id"] = str(request.resumes[1])
    return headers


def _receive(connection, request):
    body = b""
    head_at = None
    abandon_at = float("inf")
    if request.abandon_after is not None:
        abandon_at = time.monotonic() + request.abandon_after
        connection.sock.settimeout(request.abandon_after)
    try:
        answer = connection.getresponse()
        if answer.status == http.client.OK:
            head_at = time.monotonic()
        while piece := answer.read1(65_536):
            body += piece
            if time.monotonic() >= abandon_at:
                answer.close()
                return _Outcome(
                    None, body, history_module.Failure.ABANDONED, head_at
                )
        # read1 doesn't raise when a body with a length ends early.
        if answer.length:
            return _Outcome(None, body, history_module.Failure.CLOSED, head_at)
        # The connection can be reused only after the answer is closed.
        answer.close()
        return _Outcome(answer.status, body, None, head_at)
    except TimeoutError:
        failure = history_module.Failure.TIMED_OUT
        if request.abandon_after is not None:
            failure = history_module.Failure.ABANDONED
    except (OSError, http.client.HTTPException):
        failure = history_module.Failure.CLOSED
    return _Outcome(None, body, failure, head_at)


def _event_numbers(body):
    """Return the numbers of the complete events in a body."""
    return tuple(number for number, _ in _event_rows(body))


def _event_rows(body):
    """Return number and software version of the complete events in a body."""
    rows = []
    for event in body.split(b"\n\n")[:-1]:
        head, data = event.decode().split("\n")
        rows.append((int(head[4:]), data.split()[1]))
    return rows
