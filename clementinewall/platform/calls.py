"""Encoding and decoding of requests and answers of callers and endpoints."""

import json
import math
import urllib.parse

from clementinewall import domain
from clementinewall import errors
from clementinewall.http1 import messages
from clementinewall.platform import records

ATTEMPT_HEADER = b"attempt-id"
_DEADLINE_HEADER = b"deadline-ms"
_RESUME_HEADER = b"last-event-id"
_RESUMES_HEADER = b"resumes"
_SERVER_STAMP_HEADER = b"server-stamp"
_NOT_RUN_HEADER = b"not-executed"
_LOAD_HEADER = b"server-load"
_ENCODING_HEADER = b"content-encoding"
_REST_HEADER = b"retry-after"
_LEAVING_HEADER = b"server-leaving"
_LIMIT_HEADER = b"server-limit"
_KEY_HEADER = b"credential"
_CUSTOMER_HEADER = b"tenant"
_UNAVAILABLE_STATUS = 503
# Endpoints ask for seconds.  A mistaken value must not exclude one for days.
MAX_REST_MS = 600_000
# Endpoints tell their pace in percent of the usual time.
PACE_UNIT = 100
_MISDIRECTED_STATUS = 421
_DECODE_ERRORS = records.DECODE_ERRORS

# Only the gateway may set these headers; those of callers are dropped.  A
# caller that could set them would choose its engine, jump queues or continue
# from the KV cache of another caller's prompt.
_RESERVED_HEADERS = frozenset(
    (
        b"deadline-ms",
        b"expect-instance",
        b"expect-version",
        b"kv-backup",
        b"kv-fetch",
        b"kv-hold",
        b"kv-source",
        b"pin-ms",
        b"request-priority",
        b"stage",
        b"wait-ms",
    )
)


def decode(request):
    """Decode a caller's request.

    :raises BadRequest: it has no attempt id or no host.
    """
    attempt = request.header(ATTEMPT_HEADER)
    host = request.header(b"host")
    if not attempt:
        raise errors.BadRequest("the request has no Attempt-Id header")
    if not host:
        raise errors.BadRequest("the request has no Host header")
    path = request.target.split(b"?", 1)[0]
    headers = tuple(
        (key, value)
        for key, value in messages.end_to_end(request.headers)
        if key.lower() not in _RESERVED_HEADERS
    )
    return domain.Call(
        attempt=attempt.decode("latin-1"),
        method=request.method,
        target=request.target,
        host=_host_name(host),
        path=path.decode("latin-1"),
        headers=headers,
        body=request.body,
        wait_ms=messages.parse_integer(request.header(_DEADLINE_HEADER)),
        resume_after=messages.parse_integer(request.header(_RESUME_HEADER)),
        prompt=_decode_prompt(request),
        resumes=_decode_resumes(request),
        key=_decode_key(request),
    )


def _decode_key(request):
    """Return the key, ``None`` if there is none or it is ambiguous."""
    values = [
        value for name, value in request.headers if name.lower() == _KEY_HEADER
    ]
    if len(values) != 1:
        return None
    return values[0].decode("latin-1").strip(" \t") or None


def of_customer(call, customer):
    """Return the call as one of a customer, ``None`` for that of nobody.

    Endpoints get the customer's name and never the key.
    """
    headers = tuple(
        row
        for row in call.headers
        if row[0].lower() not in (_KEY_HEADER, _CUSTOMER_HEADER)
    )
    if customer is not None:
        headers += ((_CUSTOMER_HEADER, customer.name.encode()),)
    return call._replace(headers=headers, customer=customer)


def _decode_resumes(request):
    value = request.header(_RESUMES_HEADER)
    return value.decode("latin-1").strip() or None if value else None


def _host_name(value):
    """Return the host name in lower case, without its port."""
    text = value.decode("latin-1").strip().lower()
    name, colon, port = text.rpartition(":")
    return name if colon and port.isdigit() else text


def _decode_prompt(request):
    usage = request.header(b"token-usage")
    if usage is None:
        return None
    tokens_in, _, tokens_out = usage.partition(b",")
    model = request.header(b"model") or b""
    return domain.Prompt(
        model=model.decode("latin-1"),
        tokens_in=messages.parse_integer(tokens_in, 0),
        tokens_out=messages.parse_integer(tokens_out, 0),
        parts=_decode_prompt_parts(request.header(b"prompt-prefix")),
    )


def _decode_prompt_parts(value):
    if value is None:
        return ()
    parts = []
    for entry in value.decode("latin-1").split(","):
        part, _, tokens = entry.strip().partition(":")
        size = messages.parse_integer(tokens)
        if part and size is not None:
            parts.append(domain.PromptPart(part, size))
    return tuple(parts)


def run_request(
    call,
    endpoint,
    remaining_ms,
    after=None,
    prefilled=None,
    urgency=None,
    source=None,
):
    """Return the request by which ``endpoint`` runs the call.

    ``after`` is the position of the last event that the caller received.
    ``prefilled`` names where the engine fetches the KV cache of a prompt that
    another engine prefilled.  ``urgency`` is its priority among the engine's
    waiting requests, 0 first.  ``source`` is an endpoint from whose cache
    the engine fetches the parts of the prompt prefix that it lacks.
    """
    extra_headers = _fetch_headers(source)
    if prefilled is not None:
        extra_headers.append((b"Kv-Source", prefilled.source.encode()))
    if urgency is not None:
        extra_headers.append((b"Request-Priority", str(urgency).encode()))
    headers = call.headers
    if after is not None:
        headers = tuple(
            row for row in headers if row[0].lower() != _RESUME_HEADER
        )
        extra_headers.append((b"Last-Event-Id", str(after).encode()))
    return _request(call, headers, endpoint, remaining_ms, extra_headers)


def prefill_request(call, endpoint, remaining_ms, urgency=None, source=None):
    """Return the request by which an engine only prefills the prompt."""
    extra_headers = [(b"Stage", b"prefill"), *_fetch_headers(source)]
    if urgency is not None:
        extra_headers.append((b"Request-Priority", str(urgency).encode()))
    return _request(call, call.headers, endpoint, remaining_ms, extra_headers)


def _fetch_headers(source):
    if source is None:
        return []
    return [(b"Kv-Fetch", source.address.encode())]


def _request(call, headers, endpoint, remaining_ms, extra_headers):
    # Without the expected id, another process that reuses the address of a
    # removed endpoint would run the request.
    own_headers = (
        (b"Deadline-Ms", str(max(1, remaining_ms)).encode()),
        (b"Expect-Instance", endpoint.id.encode()),
        *extra_headers,
    )
    return messages.Request(
        call.method, call.target, headers + own_headers, call.body
    )


def free_request(handle):
    """Return the request that frees the KV cache of a prefilled prompt."""
    target = f"/kv-handle/{urllib.parse.quote(handle)}"
    return messages.Request(
        b"DELETE", target.encode(), ((b"Host", b"engine"),)
    )


def report_request():
    """Return the request for an engine's status report."""
    return messages.Request(b"GET", b"/report", ((b"Host", b"engine"),))


def decode_engine_report(body):
    """Decode an engine's status report.

    :raises BadRecord: the body is not a report.
    """
    try:
        data = json.loads(body)
        return domain.EngineReport(
            int(data["sequence"]), data.get("busy") is True
        )
    except _DECODE_ERRORS as exc:
        raise errors.BadRecord(
            f"cannot decode an engine's report: {exc!r}"
        ) from exc


def decode_incarnation(head, body):
    """Return the incarnation in a report, ``None`` if it names none."""
    if head.status != 200:
        return None
    try:
        born = json.loads(body).get("born")
    except _DECODE_ERRORS:
        return None
    return born if type(born) is int else None


def stage_order(endpoint, stage, holder, token, sequence):
    """Return the order that changes an engine's stage.

    ``sequence`` is the number of orders that the engine had accepted.  The
    engine compares it when it executes the order, so that a delayed order
    that a later one has overtaken has no effect.
    """
    body = json.dumps(
        {
            "operation": "stage",
            "stage": stage,
            "holder_id": holder,
            "fencing_token": token,
            "expect": sequence,
        }
    ).encode()
    headers = (
        (b"Host", b"engine"),
        (b"Content-Type", b"application/json"),
        (b"Expect-Instance", endpoint.id.encode()),
    )
    return messages.Request(b"POST", b"/order", headers, body)


def decode_prefill_answer(endpoint, body):
    """Decode the answer to a prefill request.

    :raises BadRecord: the body is not such an answer.
    """
    try:
        data = json.loads(body)
        handle = records.identifier(data["cache_handle"])
        return domain.Prefilled(
            endpoint.address, handle, int(data["token_count"])
        )
    except _DECODE_ERRORS as exc:
        raise errors.BadRecord(
            f"cannot decode a prefill answer: {exc!r}"
        ) from exc


def is_answer_to(head, call):
    """Tell whether an answer belongs to this call.

    An error answer may lack the attempt id; a success always has it.
    """
    echoed = head.header(ATTEMPT_HEADER)
    if echoed is None:
        return head.status >= 400
    return echoed.decode("latin-1") == call.attempt


def is_repeat_recognized(head):
    """Tell whether a second copy of an answer isn't taken for another's.

    A late one may come where the answer to the next request is expected.
    """
    return head.status < 400 or head.header(ATTEMPT_HEADER) is not None


def reports_not_run(head):
    """Tell whether the endpoint reports that it has not run the request."""
    return is_misdirected(head) or head.header(_NOT_RUN_HEADER) is not None


def is_misdirected(head):
    """Tell whether another endpoint or one in another stage answered."""
    return head.status == _MISDIRECTED_STATUS


def is_complete_success(head):
    """Tell whether a success can be forwarded as the endpoint's own answer.

    It must have the server's stamp and no content encoding.
    """
    return (
        head.header(_SERVER_STAMP_HEADER) is not None
        and head.header(_ENCODING_HEADER) is None
    )


def forwarded_head(head):
    """Return the head of an answer without its hop-by-hop headers."""
    return head._replace(headers=messages.end_to_end(head.headers))


def decode_rest_ms(head):
    """Return for how many ms an endpoint asks for no further request.

    It is 0 if it asks for none, and at most :data:`MAX_REST_MS`.

    :raises BadRecord: the value is not a number of seconds.
    """
    value = head.header(_REST_HEADER)
    if head.status != _UNAVAILABLE_STATUS or value is None:
        return 0
    return min(MAX_REST_MS, _decode_number(value, "seconds") * 1_000)


def decode_request_limit(head):
    """Return how many requests a second an endpoint takes from all gateways.

    It is ``None`` if the answer names no limit.

    :raises BadRecord: the value is not a number of requests.
    """
    value = head.header(_LIMIT_HEADER)
    return None if value is None else _decode_number(value, "requests")


def _decode_number(value, unit):
    """Return a number that is neither negative nor infinite.

    :raises BadRecord: the value is not a number of ``unit``.
    """
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not 0 <= number < math.inf:
        raise errors.BadRecord(f"{value!r} is not a number of {unit}")
    return number


def reports_leaving(head):
    """Tell whether the expected endpoint reports that it is leaving."""
    value = head.header(_LEAVING_HEADER) or b""
    return value.strip() == b"1" and not is_misdirected(head)


def decode_load(head):
    """Return the load that an answer reports, or ``None``."""
    value = head.header(_LOAD_HEADER)
    if value is None:
        return None
    numbers = [messages.parse_integer(part) for part in value.split(b",")]
    if len(numbers) not in (3, 4) or None in numbers:
        return None
    pace = numbers[3] / PACE_UNIT if len(numbers) == 4 else None
    return domain.EndpointLoad(*numbers[:3], pace or None)
