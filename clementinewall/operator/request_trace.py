"""The trace of one request, collected from the logs of all processes.

Logs are JSON lines, as each process writes them to its standard output; text
before the opening brace, such as a log collector's timestamp, is skipped.
Lines in any other format are skipped as well.
"""

import json
import typing

_CUT_MESSAGE = "gateway: cut at the end of the process"
# Messages that can give the outcome of a request or its cause.
_DECIDING_MESSAGES = (
    "stream: refused",
    "plain: no budget",
    "stream: no budget",
    "plain: attempt failed",
    "stream: attempt failed",
    "gateway: caller gone",
    "gateway: failed",
    "gateway: answered",
    _CUT_MESSAGE,
)
_FINAL_MESSAGES = _DECIDING_MESSAGES[-4:]
_START_MESSAGE = "gateway: started"
# Changes at an endpoint of the request are shown if they lie at most this
# long before its first line or after its last.
_CONTEXT_MS = 3_000


class Line(typing.NamedTuple):
    """One log line: ``time`` is in seconds since the epoch."""

    time: float
    instance: str
    message: str
    fields: dict


def read(files):
    """Yield the log lines of open files as ``Line``."""
    for file in files:
        for text in file:
            start = text.find("{")
            if start < 0:
                continue
            try:
                data = json.loads(text[start:])
                yield Line(
                    float(data.pop("time")),
                    str(data.pop("instance")),
                    str(data.pop("message")),
                    data,
                )
            except (ValueError, KeyError, TypeError, AttributeError):
                # Other programs may write to the same stream.
                continue


def collect(lines, request):
    """Return the lines about a request in order of time, and the deciding one.

    Besides the lines of the request itself, these are the changes that its
    gateways logged of the endpoints it was sent to, shortly before, during
    and shortly after it.
    """
    lines = list(lines)
    request_lines = [
        line for line in lines if line.fields.get("request") == request
    ]
    if not request_lines:
        return [], None
    request_lines.sort(key=lambda line: line.time)
    start = request_lines[0].time - _CONTEXT_MS / 1_000
    end = request_lines[-1].time + _CONTEXT_MS / 1_000
    endpoints = _endpoint_ids(request_lines)
    where = {line.instance for line in request_lines}
    context_lines = [
        line
        for line in lines
        if "request" not in line.fields
        and line.instance in where
        and start <= line.time <= end
        and _endpoint_ids([line]) & endpoints
    ]
    deciding_line = _find_deciding_line(request_lines)
    if request_lines[-1].message not in _FINAL_MESSAGES:
        deciding_line = _next_start(lines, request_lines[-1]) or deciding_line
        context_lines += (
            [deciding_line]
            if deciding_line and deciding_line not in request_lines
            else []
        )
    return sorted(
        request_lines + context_lines, key=lambda line: line.time
    ), deciding_line


def _next_start(lines, last):
    """Return the next start of the process in which a request broke off.

    A process that was killed or lost power logs nothing about it; its next
    start is the only evidence.
    """
    later = [
        line
        for line in lines
        if line.message == _START_MESSAGE
        and line.instance == last.instance
        and line.time > last.time
    ]
    return min(later, key=lambda line: line.time, default=None)


def _find_deciding_line(request_lines):
    """Return the line with the cause, or else the one with the outcome."""
    deciding = [
        line for line in request_lines if line.message in _DECIDING_MESSAGES
    ]
    causes = [line for line in deciding if "why" in line.fields]
    if request_lines[-1].message == _CUT_MESSAGE:
        return request_lines[-1]
    if request_lines[-1].message == "gateway: answered":
        # The answer of a failed attempt is passed on to the caller if no
        # further attempt follows.
        passed_on = request_lines[-2:-1] and request_lines[
            -2
        ].message.endswith("attempt failed")
        return request_lines[-2] if passed_on else request_lines[-1]
    if causes:
        return causes[0] if len(causes) == 1 else causes[-2]
    return deciding[-1] if deciding else None


def _endpoint_ids(lines):
    names = ("endpoint", "engine", "prefill", "decode")
    return {
        line.fields[name]
        for line in lines
        for name in names
        if line.fields.get(name)
    }


def render(trace, deciding_line):
    """Return a trace as text; ``>`` marks the deciding line."""
    if not trace:
        return "no line about this request in these logs"
    first = trace[0].time
    rows = []
    for line in trace:
        mark = ">" if line is deciding_line else " "
        fields = " ".join(
            f"{key}={value}"
            for key, value in line.fields.items()
            if key not in ("level", "request")
        )
        after = f"{(line.time - first) * 1_000:8.0f} ms"
        rows.append(f"{mark} {after}  {line.instance}  {line.message}")
        rows[-1] += f"  {fields}"
    return "\n".join(rows)
