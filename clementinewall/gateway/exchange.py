"""The state of one request, from its arrival to its answer."""

import functools
import hashlib
import json
import random

from clementinewall import errors
from clementinewall.http1 import messages
from clementinewall import verdicts

# Default for refusals that give no delay: about the duration of a burst of
# requests.
RETRY_AFTER_MS = 300
# For a request without a deadline on a route without a timeout.
DEFAULT_TIMEOUT_MS = 30_000
# Retry-After is at most this fraction of the time left to the deadline.
RETRY_AFTER_FRACTION = 1 / 3
# Refused callers retry after the advised delay plus up to this fraction of it,
# so that they do not all return at once.
RETRY_JITTER_FRACTION = 0.5
# After so many unreachable endpoints a request fails: each one costs a round
# trip or a connection timeout.
MAX_UNREACHED_SENDS = 4
DIGEST_BYTES = 8
_REASONS = {
    400: b"Bad Request",
    401: b"Unauthorized",
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

    ``answer`` is the error response of the endpoint, which is forwarded if no
    further send succeeds.  ``broken`` is true if the connection ended early,
    and ``reached`` is false if nothing of the request was sent.  ``absent``
    is true if the endpoint no longer exists at its address.
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
        """Create the error for a send to the endpoint ``endpoint_id``."""
        super().__init__(why)
        self.verdict = verdict
        self.why = why
        self.endpoint_id = endpoint_id
        self.answer = answer
        self.broken = broken
        self.reached = reached
        self.absent = absent


class Exchange:
    """A request with its route, its deadline and the sends made so far."""

    def __init__(
        self, connection, call, route, service, now, count_begun=None
    ):
        """Start the timeout now; ``now`` returns the time in ms.

        ``count_begun(call)`` is called each time that an endpoint begins to
        run the request.
        """
        self.connection = connection
        self.call = call
        self.route = route
        self.service = service
        self._now = now
        self._count_begun = count_begun
        self.arrived = now()
        self._caller_end = self.arrived + _timeout_ms(call, route)
        self._end = self._caller_end
        self.verdict = verdicts.Verdict.NOT_RUN
        # Prefills on separate engines are not sends; they are counted apart.
        self.sends = 0
        self.prefills = 0
        # Time from the arrival to the first event of a stream.
        self.first_event_ms = None
        # When the engine that runs the request now sent its first event.
        self.run_began_at = None
        # The software version of the engine that made the first event that
        # the caller has of the stream, once it has one.
        self.version = None
        # The part of the prompt that may crash the engine that runs it.
        self.suspect = None
        self.tried_ids = set()
        # The endpoints that got any request for it, prefills as well.
        self.sent_to_ids = set()
        self._unreached = 0

    @functools.cached_property
    def digest(self):
        """Return what identifies the request in crash records."""
        call = self.call
        digest = hashlib.sha256(call.host.encode())
        digest.update(call.target)
        digest.update(b"\0")
        digest.update(call.body)
        return digest.hexdigest()[: 2 * DIGEST_BYTES]

    @property
    def caller_ip(self):
        """Return the caller's address, or ``None`` if it is unknown."""
        return self.connection and self.connection.caller_ip

    @property
    def left_ms(self):
        """Return the time left until the deadline of the answer."""
        return self._end - self._now()

    @property
    def caller_left_ms(self):
        """Return the time left by the limits of caller and route only."""
        return self._caller_end - self._now()

    @property
    def is_cut_short(self):
        """Tell whether the process stops before the caller's deadline."""
        return self._end < self._caller_end

    def end_within(self, left_ms):
        """Move the deadline to ``left_ms`` from now if that is sooner."""
        self._end = min(self._end, self._now() + left_ms)

    @property
    def waited_ms(self):
        """Return the time since the request arrived."""
        return self._now() - self.arrived

    @property
    def reached_sends(self):
        """Return how many sends may have reached an endpoint."""
        return self.sends - self._unreached

    def record_begun(self):
        """Record that an endpoint began to run the request."""
        self.run_began_at = self._now()
        if self._count_begun is not None:
            self._count_begun(self.call)

    def record_failure(self, failure):
        """Record a send that failed.

        A send that reached no endpoint does not count as an attempt.  On a
        route with one attempt, each crashed engine would otherwise cost a
        caller a failure.
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
    limits = [ms for ms in (call.wait_ms, route.timeout_ms) if ms is not None]
    return min(limits, default=DEFAULT_TIMEOUT_MS)


def problem(error, left_ms=None):
    """Return head and problem+json body of the answer to a failed request."""
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


def spread_retry_ms(delay_ms):
    """Return a retry delay that differs between callers."""
    return delay_ms * (1 + RETRY_JITTER_FRACTION * random.random())


def final_error(exchange, why, retry_after_ms=None):
    """Return the error for a request that is not sent again.

    ``retry_after_ms`` is when it could be served, if that is known.
    """
    if exchange.verdict is verdicts.Verdict.NOT_RUN:
        return errors.NoEndpoint(why, retry_after_ms=retry_after_ms)
    return errors.EndpointFailed(why, exchange.verdict)
