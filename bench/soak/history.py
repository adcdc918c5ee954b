"""What callers, endpoints and the operator recorded in a run."""

import enum
import threading
import time
import typing


# What the disturbance by a cut from endpoints is called.
CUT = "cut off from endpoints"


class Failure(enum.Enum):
    """Why a caller got no complete answer."""

    NOT_CONNECTED = "not connected"
    # The request wasn't sent completely.
    NOT_SENT = "not sent"
    CLOSED = "closed"
    TIMED_OUT = "timed out"
    # The caller itself closed the connection.
    ABANDONED = "abandoned"


class SentRequest(typing.NamedTuple):
    """A request as a caller sent it, and what came back.

    ``status`` is ``None`` if no complete answer came; ``failure`` says why;
    ``numbers`` are the events of a stream.  Times are monotonic seconds,
    ``limit`` is the earlier of deadline and route timeout, in seconds.
    """

    attempt: str
    kind: str
    gateway: str
    path: str
    at: float
    ended: float
    status: int | None
    is_correct: bool
    numbers: tuple[int, ...] = ()
    failure: Failure | None = None
    limit: float = 3.0
    # When the head of a successful answer came.
    head_at: float | None = None


class Run(typing.NamedTuple):
    """The start of an endpoint's work on a request."""

    attempt: str
    endpoint: str
    path: str
    at: float


class RunEnd(typing.NamedTuple):
    """The end of an endpoint's work on a request."""

    attempt: str
    endpoint: str
    at: float
    is_complete: bool


class Arrival(typing.NamedTuple):
    """The arrival of a request at an endpoint, whether it ran or not."""

    attempt: str
    endpoint: str
    service: str
    at: float
    is_prefill: bool


class RestRequest(typing.NamedTuple):
    """A refusal by which an endpoint asked for ``seconds`` without work."""

    attempt: str
    endpoint: str
    at: float
    seconds: float


class LimitNotice(typing.NamedTuple):
    """An answer that named how many requests a second its endpoint takes."""

    attempt: str
    endpoint: str
    at: float


class LimitSpan(typing.NamedTuple):
    """The time in which an endpoint names a request limit."""

    endpoint: str
    per_second: float
    start: float
    end: float


class LeaveNotice(typing.NamedTuple):
    """A successful answer that says that its endpoint leaves."""

    attempt: str
    endpoint: str
    at: float


class Order(typing.NamedTuple):
    """An order as it reached an engine."""

    endpoint: str
    holder: str
    token: int
    at: float


class Stop(typing.NamedTuple):
    """A gateway's SIGTERM and the end of its process."""

    gateway: str
    at: float
    ended: float
    # Whether the process had been ready before the signal.
    was_ready: bool
    exit_code: int | None


class Readiness(typing.NamedTuple):
    """A gateway's answer to the readiness check."""

    gateway: str
    at: float
    is_ready: bool


class Disturbance(typing.NamedTuple):
    """A disturbance of one target, or of all if it is ``None``.

    The target is a gateway or an endpoint.  Planned work is what operators
    do to a gateway in normal service.
    """

    what: str
    target: str | None
    start: float
    end: float
    is_planned: bool = False


class Cut(typing.NamedTuple):
    """A time in which gateways were cut off from all endpoints."""

    gateways: tuple[str, ...]
    start: float
    end: float


class Restart(typing.NamedTuple):
    """A loss of gateways, their return, and the end of its check."""

    lost_at: float
    back_at: float
    end: float


class Stream(typing.NamedTuple):
    """The software versions of the events of a stream, over all its tries."""

    attempt: str
    versions: frozenset


class Return(typing.NamedTuple):
    """A stream of a version that its caller took up again at a gateway."""

    attempt: str
    gateway: str
    version: str
    at: float
    went_on: bool


class EngineSpan(typing.NamedTuple):
    """The time in which an engine of a version served."""

    endpoint: str
    version: str
    start: float
    end: float


class PartSeries(typing.NamedTuple):
    """Requests with a part that crashes engines, and what came of them.

    ``arrivals`` are pairs of attempt and time; ``crashes`` are times, and
    ``ended`` is when the last request was sent.
    """

    part: str
    arrivals: list
    crashes: list
    ended: list


class History:
    """All observations of a run; many threads write to it."""

    def __init__(self):
        """Create an empty history."""
        self._lock = threading.Lock()
        self.sent = []
        self.runs = []
        self.run_ends = []
        self.arrivals = []
        self.rest_requests = []
        self.leave_notices = []
        self.limit_notices = []
        self.limit_spans = []
        self.orders = []
        self.gateway_by_holder = {}
        self.disturbances = []
        self.cuts = []
        self.restarts = []
        self.rejoins = []
        self.stops = []
        self.readiness = []
        self.drained_at_by_endpoint = {}
        self.versions = []
        self.probes = []
        self.faults = []
        self.attempts = set()
        self.streams = []
        self.returns = []
        self.engine_spans = []
        self.part_series = []
        self.gateway_by_harmful_attempt = {}

    def add(self, rows, row):
        """Add a row to one of the lists."""
        with self._lock:
            rows.append(row)

    def record_attempt(self, attempt):
        """Record the id of a request before it is sent."""
        with self._lock:
            self.attempts.add(attempt)

    def record_disturbance(self, what, target, seconds, is_planned=False):
        """Record that a target is disturbed for ``seconds`` from now."""
        now = time.monotonic()
        row = Disturbance(what, target, now, now + seconds, is_planned)
        self.add(self.disturbances, row)
        return row

    def has_no_disturbance(self, target, start, end):
        """Return whether a target was undisturbed from start to end."""
        return not any(self.disturbances_of(target, start, end))

    def has_only_planned_work(self, targets, start, end):
        """Return whether nothing but planned work disturbed the targets."""
        return all(
            disturbance.is_planned
            for target in targets
            for disturbance in self.disturbances_of(target, start, end)
        )

    def disturbances_of(self, target, start, end):
        """Return what disturbed a target from start to end."""
        return [
            disturbance
            for disturbance in list(self.disturbances)
            if disturbance.target in (None, target)
            and disturbance.start <= end
            and disturbance.end >= start
        ]
