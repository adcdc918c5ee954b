"""What callers, endpoints and the operator saw in a run."""

import threading
import time
import typing


class Sent(typing.NamedTuple):
    """A request as a caller sent it, and what came back.

    ``status`` is ``None`` if no whole answer came; ``numbers`` are the
    events of a stream.
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


class Run(typing.NamedTuple):
    """That an endpoint began to work on a request."""

    attempt: str
    endpoint: str
    path: str
    at: float


class Order(typing.NamedTuple):
    """An order as it reached an engine."""

    endpoint: str
    holder: str
    token: int
    at: float


class Trouble(typing.NamedTuple):
    """That something was done to a gateway, or to all if it is ``None``."""

    what: str
    gateway: str | None
    start: float
    end: float


class Ledger:
    """All that was seen; written to by many threads."""

    def __init__(self):
        """Begin empty."""
        self._lock = threading.Lock()
        self.sent = []
        self.runs = []
        self.orders = []
        self.troubles = []
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

    def trouble(self, what, gateway, seconds):
        """Note that a gateway is disturbed for so long from now."""
        now = time.monotonic()
        row = Trouble(what, gateway, now, now + seconds)
        self.add(self.troubles, row)
        return row

    def is_calm(self, gateway, start, end):
        """Tell whether nothing was done to a gateway in that time."""
        return not any(
            trouble.gateway in (None, gateway)
            and trouble.start <= end
            and trouble.end >= start
            for trouble in list(self.troubles)
        )
