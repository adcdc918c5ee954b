"""One request at this gateway, from its arrival to its answer."""

import json

from clementinewall import errors
from clementinewall.http1 import messages
from clementinewall import verdicts

# Where a refusal doesn't know better: about the time in which a burst of
# the callers' clumps passes.
RETRY_AFTER_MS = 300
# For a request that names no deadline on a route that has no timeout.
DEFAULT_TIMEOUT_MS = 30_000
# Callers wait no longer than this part of the time that they have left.
RETRY_AFTER_FRACTION = 1 / 3
# How many endpoints may turn out to be unreachable before a request is given
# up.  Each costs a round trip, or the time limit of a connection.
MAX_UNREACHED_SENDS = 4
_REASONS = {
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class AttemptFailed(Exception):
    """One send failed; ``verdict`` says whether the request may have run.

    ``answer`` is the endpoint's own failure, to be handed on if nothing
    better comes; ``broken`` tells that the connection ended early, and
    ``reached`` is false if nothing of the request was sent.  ``absent``
    means that the endpoint isn't there any more.
    """

    def __init__(
        self,
        verdict,
        why,
        endpoint_id=None,
        answer=None,
        broken=False,
        reached=True,
        absent=False,
    ):
        """Keep what is known of the failure."""
        super().__init__(why)
        self.verdict = verdict
        self.why = why
        self.endpoint_id = endpoint_id
        self.answer = answer
        self.broken = broken
        self.reached = reached
        self.absent = absent


class Exchange:
    """A request with its route, its time and what became of it so far."""

    def __init__(self, connection, call, route, service, now):
        """Begin at the moment at which the request was read."""
        self.connection = connection
        self.call = call
        self.route = route
        self.service = service
        self._now = now
        self.arrived = now()
        self._caller_end = self.arrived + _timeout_ms(call, route)
        self._end = self._caller_end
        self.verdict = verdicts.Verdict.NOT_RUN
        # Prompts that engines were asked to read only are counted apart.
        self.sends = 0
        self.prefills = 0
        # When the first event of a stream came, since the arrival.
        self.first_event_ms = None
        self.tried_ids = set()
        self._unreached = 0

    @property
    def left_ms(self):
        """Return the time left until the final answer is due."""
        return self._end - self._now()

    @property
    def caller_left_ms(self):
        """Return the time left as the caller and the route allow it."""
        return self._caller_end - self._now()

    @property
    def is_cut_short(self):
        """Tell whether the process ends before the time is over."""
        return self._end < self._caller_end

    def end_within(self, left_ms):
        """Let the time be over in ``left_ms``, or sooner."""
        self._end = min(self._end, self._now() + left_ms)

    @property
    def waited_ms(self):
        """Return how long the request is here."""
        return self._now() - self.arrived

    @property
    def reached_sends(self):
        """Return how many sends may have reached an endpoint."""
        return self.sends - self._unreached

    def record_failure(self, failure):
        """Count a send that failed.

        One that reached nobody is no attempt: on a route that allows a
        single one, each engine that crashed would cost its callers a failure.
        """
        self.verdict = verdicts.worst(self.verdict, failure.verdict)
        if not failure.reached:
            self._unreached += 1

    def may_retry(self):
        """Tell whether the route and the verdict allow another send."""
        return (
            self.reached_sends < self.route.max_attempts
            and self._unreached < MAX_UNREACHED_SENDS
            and verdicts.may_retry(self.verdict, self.route.idempotent)
        )


def _timeout_ms(call, route):
    limits = [ms for ms in (call.wait_ms, route.timeout_ms) if ms]
    return min(limits) if limits else DEFAULT_TIMEOUT_MS


def problem(error, left_ms=None):
    """Return head and body of the answer to a request that failed."""
    body = json.dumps(
        {
            "code": error.code,
            "detail": error.message,
            "verdict": error.verdict.value,
        }
    ).encode()
    headers = [(b"Content-Type", b"application/problem+json")]
    if error.status in (429, 503):
        wait_ms = error.retry_after_ms
        if wait_ms is None:
            wait_ms = RETRY_AFTER_MS
        if left_ms is not None:
            wait_ms = min(wait_ms, left_ms * RETRY_AFTER_FRACTION)
        seconds = max(0.0, wait_ms) / 1_000
        headers.append((b"Retry-After", f"{seconds:.3f}".encode()))
    reason = _REASONS.get(error.status, b"Error")
    return messages.Head(error.status, reason, tuple(headers)), body


def final_error(exchange, why):
    """Return the error for a request that no further send can save."""
    if exchange.verdict is verdicts.Verdict.NOT_RUN:
        return errors.NoEndpoint(why)
    return errors.EndpointFailed(why, exchange.verdict)
