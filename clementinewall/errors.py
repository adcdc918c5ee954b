"""Every error that leaves a module, in one flat list.

Each class carries a stable ``code`` for scripts and for the ``code`` member
of ``application/problem+json`` answers, the HTTP ``status`` it is answered
with, and the default verdict, which the raiser may override.  The docstring
of each says what went wrong and what the caller can do about it.
"""

from clementinewall import verdicts


class ClementinewallError(Exception):
    """Base class of all errors of the package."""

    code = "internal"
    status = 500
    verdict = verdicts.Verdict.MAY_HAVE_RUN

    def __init__(self, message, verdict=None, retry_after_ms=None):
        """Take the message, and the verdict and retry delay where known."""
        super().__init__(message)
        self.message = message
        if verdict is not None:
            self.verdict = verdict
        self.retry_after_ms = retry_after_ms


class NotRunError(ClementinewallError):
    """Base of the errors raised before any endpoint was contacted."""

    verdict = verdicts.Verdict.NOT_RUN


class SettingsError(NotRunError):
    """The settings file has mistakes; the message lists each of them.

    Correct the keys named there and run the program with ``--check``.
    """

    code = "bad_settings"
    status = 400


class BadRequest(NotRunError):
    """The request is malformed; the message says which part and why."""

    code = "bad_request"
    status = 400


class BodyTooLarge(NotRunError):
    """The body is over the limit of the settings; send a smaller one."""

    code = "body_too_large"
    status = 413


class UnknownModel(NotRunError):
    """No endpoint of the fleet serves this model; see ``/v1/models``."""

    code = "unknown_model"
    status = 404


class UnknownService(NotRunError):
    """No endpoint of the fleet serves this service."""

    code = "unknown_service"
    status = 404


class NoRoute(NotRunError):
    """No route of the active configuration matches this host and path."""

    code = "no_route"
    status = 404


class UnknownKey(NotRunError):
    """The request has no key of a customer; send one that is in force.

    Keys are added and removed by versions of the configuration.
    """

    code = "unknown_key"
    status = 401


class StaleKeys(NotRunError):
    """This instance can't tell whether the key was removed; use another.

    It has not reached the store for longer than removed keys may be served.
    """

    code = "stale_keys"
    status = 503


class UnknownClass(NotRunError):
    """The class header names no published class; the message lists them."""

    code = "unknown_class"
    status = 400


class Unauthorized(NotRunError):
    """The control token is missing or wrong; take it from the settings."""

    code = "unauthorized"
    status = 401


class NotReady(NotRunError):
    """This instance has no configuration yet or is draining; use another."""

    code = "not_ready"
    status = 503


class Draining(NotRunError):
    """This instance is draining; connect to another one."""

    code = "leaving"
    status = 503


class Overloaded(NotRunError):
    """The class target cannot be met now; retry after ``retry_after_ms``."""

    code = "overloaded"
    status = 429


class NoEndpoint(NotRunError):
    """Every endpoint that could serve this is draining or unreachable."""

    code = "no_endpoint"
    status = 503


class NoRoom(NotRunError):
    """This instance may hold no further large body; use another or wait.

    Endpoints are slow to take those that it holds.
    """

    code = "no_room"
    status = 503


class UnknownOrigin(NotRunError):
    """Nobody knows which software version began the stream to go on with.

    Events of two versions don't fit together.  Start the stream anew.
    """

    code = "unknown_origin"
    status = 503


class NoEngineOfVersion(NotRunError):
    """No engine of the software version that began the stream decodes now.

    Retry after ``retry_after_ms``, or start the stream anew.
    """

    code = "no_engine_of_version"
    status = 503


class HarmfulRequest(ClementinewallError):
    """This request crashed two endpoints and is not tried again.

    Change the request; sending it again to any instance gets this answer.
    """

    code = "crashed_endpoints"
    status = 422


class DeadlineExceeded(ClementinewallError):
    """The class deadline passed before the answer was complete."""

    code = "deadline"
    status = 504


class Stopped(ClementinewallError):
    """This instance stopped before the answer was complete."""

    code = "stopped"
    status = 504


class EndpointFailed(ClementinewallError):
    """The endpoint failed; the verdict says whether the call may have run."""

    code = "endpoint_failed"
    status = 502


class StreamCut(ClementinewallError):
    """A stream ended before its last position and could not be resumed.

    Reconnect with the position of the last event received.
    """

    code = "stream_cut"
    status = 502


class CallerTooSlow(ClementinewallError):
    """The caller read its answer too slowly, so the answer was aborted.

    Reconnect with the position of the last event received.
    """

    code = "caller_too_slow"
    status = 408
    verdict = verdicts.Verdict.RAN


class MissingKey(NotRunError):
    """A non-idempotent call came without ``Idempotency-Key``; send one."""

    code = "missing_key"
    status = 400


class KeyReused(NotRunError):
    """The key was used before for another request; use a fresh key."""

    code = "key_reused"
    status = 422


class KeyExpired(ClementinewallError):
    """The ticket is older than the log's retention; the call may have run."""

    code = "key_expired"
    status = 410


class BookingInDoubt(ClementinewallError):
    """A call with this key began earlier and has no recorded outcome.

    It may have run and is not run again; check its effect at the service.
    """

    code = "booking_in_doubt"
    status = 409


class BookingsFull(NotRunError):
    """The table of remembered keys is full; retry after ``retry_after_ms``."""

    code = "bookings_full"
    status = 503


class LogUnavailable(NotRunError):
    """The platform's log does not answer; retry after ``retry_after_ms``."""

    code = "log_unavailable"
    status = 503


class AppendUnknown(ClementinewallError):
    """An append got no answer, so it may have taken effect.

    Read the stream back and look for the record's id before trying again.
    """

    code = "append_unknown"
    status = 503


class Conflict(NotRunError):
    """Another operator's change was applied first; the message names both.

    See the active configuration with ``clementinewall show``, then retry.
    """

    code = "conflict"
    status = 409


class BadRecord(NotRunError):
    """A record or message from the network does not match its schema."""

    code = "bad_record"
    status = 400


class OrderRefused(NotRunError):
    """The lease behind the order has expired, so it was not carried out."""

    code = "order_refused"
    status = 409


class LeaseLost(NotRunError):
    """The lease expired before the order could be sent; nothing was sent."""

    code = "lease_lost"
    status = 409


def by_code(code):
    """Return the class of the error with ``code``.

    :raises KeyError: there is none.
    """
    return {kind.code: kind for kind in _subclasses(ClementinewallError)}[code]


def _subclasses(kind):
    for child in kind.__subclasses__():
        yield child
        yield from _subclasses(child)
