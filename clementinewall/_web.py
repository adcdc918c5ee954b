"""HTTP serving for entries and stewards: errors, tokens, bounded bodies.

Routing and responses are Starlette's, the server is Hypercorn.  This module
adds errors as ``application/problem+json`` with the verdict, the check of the
control token, and limits on what a peer may send.
"""

import asyncio
import hmac
import json
import ssl

import anyio
import anyio.lowlevel
import hypercorn.asyncio
import hypercorn.config
from starlette import applications
from starlette import exceptions
from starlette import responses

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall import verdicts

_log = logs.PartLog("edge")

MAX_HEADER_BYTES = 32_768
KEEP_ALIVE_SECONDS = 30
# Hypercorn aborts open requests this long after it is told to stop.  The
# programs drain their requests before they tell it to.
GRACEFUL_TIMEOUT_SECONDS = 5.0


def problem_body(error, request_id=None):
    """Return the members of a problem document as a map."""
    body = {
        "type": f"urn:clementinewall:{error.code}",
        "title": error.code.replace("_", " "),
        "status": error.status,
        "detail": error.message,
        "code": error.code,
        "verdict": error.verdict.value,
    }
    if request_id is not None:
        body["request_id"] = request_id
    if error.retry_after_ms is not None:
        body["retry_after_ms"] = error.retry_after_ms
    return body


def problem(error, request_id=None):
    """Return the response for ``error``."""
    headers = {}
    if error.retry_after_ms is not None:
        seconds = -(-error.retry_after_ms // 1_000)
        headers["Retry-After"] = str(max(1, seconds))
    return responses.Response(
        json.dumps(problem_body(error, request_id)),
        status_code=error.status,
        media_type="application/problem+json",
        headers=headers,
    )


async def _on_error(_request, exc):
    return problem(exc)


async def _on_http_error(_request, exc):
    error = errors.BadRequest(str(exc.detail))
    error.status = exc.status_code
    return problem(error)


async def _on_unexpected_error(_request, exc):
    _log.error("request failed with an unexpected error", error=repr(exc))
    error = errors.ClementinewallError(
        "the request failed with an unexpected error; see the instance's log"
    )
    return problem(error)


def application(routes):
    """Return an ASGI application that answers errors as problems."""
    return applications.Starlette(
        routes=routes,
        exception_handlers={
            errors.ClementinewallError: _on_error,
            exceptions.HTTPException: _on_http_error,
            Exception: _on_unexpected_error,
        },
    )


def check_token(request, token):
    """Check that the request carries the control token.

    :raises Unauthorized: the token is missing or wrong.
    """
    given = request.headers.get("authorization", "")
    expected = f"Bearer {token}"
    # Compares in constant time: the duration of an ordinary comparison would
    # reveal how many leading characters of a guessed token are right.
    if hmac.compare_digest(given.encode(), expected.encode()):
        return
    client = request.client.host if request.client else "unknown"
    _log.warning(
        "request refused: wrong or missing control token",
        path=request.url.path,
        by=client,
    )
    raise errors.Unauthorized("send the control token as a bearer token")


async def read_body(request, limits):
    """Read the whole body within the limits.

    :raises BodyTooLarge: it is longer than ``body_bytes``.
    :raises BadRequest: the sender took longer than ``slow_sender_ms``.
    """
    chunks = []
    size = 0
    try:
        with anyio.fail_after(clock.seconds(limits.slow_sender_ms)):
            async for chunk in request.stream():
                size += len(chunk)
                if size > limits.body_bytes:
                    raise errors.BodyTooLarge(
                        f"the body is over {limits.body_bytes} bytes"
                    )
                chunks.append(chunk)
    except TimeoutError as exc:
        raise errors.BadRequest(
            f"the body was not received within {limits.slow_sender_ms} ms"
        ) from exc
    return b"".join(chunks)


async def read_json(request, limits):
    """Read the body and decode it as a JSON object.

    :raises BadRequest: it is not one.
    """
    return decode_object(await read_body(request, limits))


def decode_object(body):
    """Decode a JSON object.

    :raises BadRequest: the bytes are not a JSON object.
    """
    try:
        data = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise errors.BadRequest(f"the body is not JSON: {exc}") from exc
    if not isinstance(data, dict):
        raise errors.BadRequest("the body is not a JSON object")
    return data


def read_number(request, name, default):
    """Return a whole number from the query.

    :raises BadRequest: it is there and is not a whole number.
    """
    text = request.query_params.get(name)
    if text is None:
        return default
    if not text.isdigit() or len(text) > 18:
        raise errors.BadRequest(f"{name} must be a whole number")
    return int(text)


async def serve(app, address, stop):
    """Serve ``app`` at ``address`` until the event ``stop`` is set.

    :raises SettingsError: the address cannot be listened on.
    """
    config = hypercorn.config.Config()
    config.bind = [address]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = GRACEFUL_TIMEOUT_SECONDS
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.h11_max_incomplete_size = MAX_HEADER_BYTES
    config.include_server_header = False
    try:
        await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)
    except (OSError, ssl.SSLError) as exc:
        raise errors.SettingsError(f"cannot listen on {address}: {exc}")
    except asyncio.InvalidStateError:
        # Hypercorn raises this instead of the cancellation if requests are
        # open; unhandled, it would turn a graceful stop into a crash.
        await anyio.lowlevel.checkpoint_if_cancelled()
        raise


def error_of_problem(body):
    """Return the error in a peer's problem document, or ``None``."""
    try:
        data = json.loads(body)
        error = errors.by_code(data["code"])(
            str(data["detail"]),
            verdicts.Verdict(data["verdict"]),
            data.get("retry_after_ms"),
        )
    except (ValueError, KeyError, TypeError):
        return None
    error.status = int(data.get("status", error.status))
    return error
