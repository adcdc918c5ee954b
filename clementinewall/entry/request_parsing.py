"""Parses callers' requests into typed values.

Nothing here waits or sends; an invalid request is refused, with what is wrong
with it, before anything has run.
"""

import hashlib
import secrets
import typing

from clementinewall import errors
from clementinewall.records import configuration

CLASS_HEADER = "x-class"
CALLER_HEADER = "x-caller"
REQUEST_ID_HEADER = "x-request-id"
POSITION_HEADER = "last-event-id"
STREAM_HEADER = "x-stream-endpoint"
KEY_HEADER = "idempotency-key"
TRACE_HEADER = "traceparent"
DEFAULT_MAX_TOKENS = 16
MAX_TOKENS = 100_000
MAX_ID_CHARS = 200


class RequestContext(typing.NamedTuple):
    """The id, caller and class of a request."""

    request_id: str
    caller: str
    class_name: str
    work_class: configuration.WorkClass
    trace: str | None


class ModelWork(typing.NamedTuple):
    """A model request; ``delivered`` is the caller's last position."""

    context: RequestContext
    path: str
    model: str
    prompt: str
    body: dict[str, typing.Any]
    raw: bytes
    streamed: bool
    delivered: int
    last_endpoint: str | None
    digest: str


def read_context(request, view, kind):
    """Return the :class:`RequestContext` of the request.

    :raises UnknownClass: the class is not published.
    """
    headers = request.headers
    request_id = headers.get(REQUEST_ID_HEADER) or secrets.token_hex(8)
    name, work_class = _class_of(headers.get(CLASS_HEADER), view, kind)
    return RequestContext(
        request_id[:MAX_ID_CHARS],
        _caller_of(request),
        name,
        work_class,
        headers.get(TRACE_HEADER),
    )


def read_model_work(request, context, body, raw):
    """Return the :class:`ModelWork` for the body.

    :raises BadRequest: a member is missing or has the wrong type.
    """
    model = body.get("model")
    if not isinstance(model, str) or not model:
        raise errors.BadRequest(
            "model: missing, empty or not text, allowed is a name"
        )
    limit = body.get("max_tokens", DEFAULT_MAX_TOKENS)
    if not isinstance(limit, int) or not 1 <= limit <= MAX_TOKENS:
        raise errors.BadRequest(
            f"max_tokens: found {limit!r}, allowed is 1 to {MAX_TOKENS}"
        )
    if not isinstance(body.get("stream", False), bool):
        raise errors.BadRequest("stream: allowed is true or false")
    path = request.url.path
    digest = hashlib.blake2b(context.caller.encode() + raw, digest_size=12)
    return ModelWork(
        context,
        path,
        model,
        _prompt_of(path, body),
        body,
        raw,
        body.get("stream", False),
        _read_position(request.headers.get(POSITION_HEADER)),
        request.headers.get(STREAM_HEADER),
        digest.hexdigest(),
    )


def read_key(request):
    """Return the caller's idempotency key, or ``None``.

    :raises BadRequest: it is longer than ``MAX_ID_CHARS``.
    """
    key = request.headers.get(KEY_HEADER)
    if key is not None and len(key) > MAX_ID_CHARS:
        raise errors.BadRequest(
            f"{KEY_HEADER} is over {MAX_ID_CHARS} characters"
        )
    return key or None


def _class_of(name, view, kind):
    named = {n: c for n, c in view.classes_by_name.items() if c.kind == kind}
    if name is not None:
        if name not in named:
            raise errors.UnknownClass(
                f"class {name!r} is not one of: {', '.join(sorted(named))}"
            )
        return name, named[name]
    for default, work_class in sorted(named.items()):
        if work_class.default:
            return default, work_class
    raise errors.UnknownClass(
        f"send {CLASS_HEADER}, one of: {', '.join(sorted(named))}"
    )


def _caller_of(request):
    """Return a name for the caller that is safe to log."""
    given = request.headers.get(CALLER_HEADER)
    if given:
        return given[:MAX_ID_CHARS]
    secret = request.headers.get("authorization")
    if secret:
        # The bearer token is a secret, so only its digest is stored and
        # logged.
        return hashlib.blake2b(secret.encode(), digest_size=6).hexdigest()
    return request.client.host if request.client else "unknown"


def _prompt_of(path, body):
    if path.endswith("/chat/completions"):
        messages = body.get("messages")
        if not isinstance(messages, list) or not messages:
            raise errors.BadRequest("messages: allowed is a list of messages")
        if not all(isinstance(message, dict) for message in messages):
            raise errors.BadRequest("messages: each must be an object")
        return "\n".join(str(m.get("content", "")) for m in messages)
    prompt = body.get("prompt")
    if not isinstance(prompt, str):
        raise errors.BadRequest("prompt: allowed is a string")
    return prompt


def _read_position(text):
    if text is None:
        return 0
    if not text.isdigit() or len(text) > 17:
        raise errors.BadRequest(
            f"{POSITION_HEADER}: found {text!r}, allowed is a whole number"
        )
    return int(text)
