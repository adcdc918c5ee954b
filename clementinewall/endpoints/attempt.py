"""One HTTP attempt at an endpoint, with the verdict if it fails.

The verdict says whether the call may have run.  It follows from how much of
the request had been sent when the attempt failed.
"""

import anyio
import httpx

from clementinewall import _http
from clementinewall import clock
from clementinewall import errors
from clementinewall import verdicts

CONNECT_TIMEOUT_MS = 1_000
NOT_RUN_HEADER = "not-run"

_NEVER_CONNECTED = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
    httpx.UnsupportedProtocol,
)
_SENT_IN_PART = (httpx.WriteError, httpx.WriteTimeout)


def progress_of(exc):
    """Return the progress of an attempt that ended with ``exc``."""
    if isinstance(exc, _NEVER_CONNECTED):
        return verdicts.Progress.NEVER_CONNECTED
    if isinstance(exc, _SENT_IN_PART):
        return verdicts.Progress.SENT_IN_PART
    return verdicts.Progress.SENT_WHOLE


def failure(endpoint_id, exc):
    """Return the error and verdict of an attempt that ended with ``exc``."""
    verdict = verdicts.verdict_of(progress_of(exc))
    name = type(exc).__name__
    return errors.EndpointFailed(
        f"{endpoint_id}: attempt failed: {name}", verdict
    )


def is_refusal(answer):
    """Tell whether the endpoint reports that it did not run the call.

    Only the endpoint's own header proves that.  A plain 503 does not: an
    intermediary may have sent it after the endpoint ran the call.
    """
    return answer.headers.get(NOT_RUN_HEADER) == "1"


def stream_client():
    """Return a client for streams, which reuses its connections."""
    return _http.client(None, CONNECT_TIMEOUT_MS)


def single_call_client():
    """Return a client for calls that are not idempotent.

    It opens a new connection for each call.
    """
    return _http.client(None, CONNECT_TIMEOUT_MS, keeps_connections=False)


async def call(client, endpoint_id, request, timeout_ms):
    """Send a request and return its complete answer.

    :raises EndpointFailed: there was none within ``timeout_ms``; the verdict
        says whether the call may have run.
    """
    try:
        with anyio.fail_after(clock.seconds(timeout_ms)):
            answer = await client.send(request)
    except TimeoutError as exc:
        raise errors.EndpointFailed(
            f"{endpoint_id}: no answer in {timeout_ms} ms",
            verdicts.Verdict.MAY_HAVE_RUN,
        ) from exc
    except httpx.HTTPError as exc:
        raise failure(endpoint_id, exc) from exc
    if is_refusal(answer):
        raise errors.EndpointFailed(
            f"{endpoint_id}: refused the call without running it",
            verdicts.Verdict.NOT_RUN,
        )
    return answer
