"""One HTTP attempt at an endpoint, with how far its bytes came.

The verdict of a failed attempt is decided here, from where it broke.
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
    """Return how far an attempt came that ended in ``exc``."""
    if isinstance(exc, _NEVER_CONNECTED):
        return verdicts.Progress.NEVER_CONNECTED
    if isinstance(exc, _SENT_IN_PART):
        return verdicts.Progress.SENT_IN_PART
    return verdicts.Progress.SENT_WHOLE


def failure(endpoint_id, exc):
    """Return the error for an attempt that ended in ``exc``."""
    verdict = verdicts.verdict_of(progress_of(exc))
    what = type(exc).__name__
    return errors.EndpointFailed(f"{endpoint_id}: {what}", verdict)


def is_refusal(answer):
    """Tell whether the endpoint says that it did not run the call.

    A plain 503 proves nothing: something between may have answered it
    after the endpoint ran the call.  Only the endpoint's own mark counts.
    """
    return answer.headers.get(NOT_RUN_HEADER) == "1"


def stream_client():
    """Return a client for streams, which keeps connections open."""
    return _http.client(None, CONNECT_TIMEOUT_MS)


def single_call_client():
    """Return a client for calls that may not be repeated."""
    return _http.client(None, CONNECT_TIMEOUT_MS, keeps_connections=False)


async def call(client, endpoint_id, request, timeout_ms):
    """Send a whole request and return its answer.

    :raises EndpointFailed: with the verdict for where it broke.
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
            f"{endpoint_id}: refused", verdicts.Verdict.NOT_RUN
        )
    return answer
