"""What callers, endpoints and the operator saw in a run."""

import enum
import threading
import time
import typing


class Failure(enum.Enum):
    """Why a caller got no whole answer."""

    NOT_CONNECTED = "not connected"
    # The request wasn't sent whole.
    NOT_SENT = "not sent"
    CLOSED = "closed"
    TIMED_OUT = "timed out"
    # The caller itself closed the connection.
    ABANDONED = "abandoned"


class Sent(typing.NamedTuple):
    """A request as a caller sent it, and what came back.

    ``status`` is ``None`` if no whole answer came, and ``failure`` says why;
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
    right: bool
    numbers: tuple[int, ...] = ()
    failure: Failure | None = None
    limit: float = 3.0


class Run(typing.NamedTuple):
    """That an endpoint began to work on a request."""

    attempt: str
    endpoint: str
    path: str
    at: float


class RunEnd(typing.NamedTuple):
    """That an endpoint stopped work on a request; ``whole`` if complete."""

    attempt: str
    endpoint: str
    at: float
    whole: bool


class Arrival(typing.NamedTuple):
    """That a request reached an endpoint, whether it ran or not."""

    attempt: str
    endpoint: str
    service: str
    at: float
    is_prefill: bool


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


class Trouble(typing.NamedTuple):
    """That something was done to a target, or to all if it is ``None``.

    The target is a gateway or an endpoint.  Planned work is what operators
    do to a gateway in normal service.
    """

    what: str
    target: str | None
    start: float
    end: float
    is_planned: bool = False


class Ledger:
    """All that was seen; written to by many threads."""

    def __init__(self):
        """Begin empty."""
        self._lock = threading.Lock()
        self.sent = []
        self.runs = []
        self.run_ends = []
        self.arrivals = []
        self.orders = []
        self.troubles = []
        self.stops = []
        self.readiness = []
        self.left_by_endpoint = {}
        self.versions = []
        self.probes = []
        self.faults = []
        self.begun = set()

    def add(self, rows, row):
        """Add a row to one of the lists."""
        with self._lock:
            rows.append(row)

    def begin(self, attempt):
        """Note an id before its request is sent."""
        with self._lock:
            self.begun.add(attempt)

    def trouble(self, what, target, seconds, is_planned=False):
        """Note that a target is disturbed for so long from now."""
        now = time.monotonic()
        row = Trouble(what, target, now, now + seconds, is_planned)
        self.add(self.troubles, row)
        return row

    def is_calm(self, target, start, end):
        """Tell whether nothing was done to a target in that time."""
        return not any(self._troubles_of(target, start, end))

    def is_undisturbed(self, targets, start, end):
        """Tell whether at most planned work was done to all the targets."""
        return all(
            trouble.is_planned
            for target in targets
            for trouble in self._troubles_of(target, start, end)
        )

    def _troubles_of(self, target, start, end):
        return [
            trouble
            for trouble in list(self.troubles)
            if trouble.target in (None, target)
            and trouble.start <= end
            and trouble.end >= start
        ]
