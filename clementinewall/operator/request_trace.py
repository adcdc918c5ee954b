"""The story of one request, gathered from the logs of all processes.

Logs are JSON lines, as each process writes them to its standard output; what
stands before the brace, such as a collector's stamp, is passed over.  Lines
of other forms are passed over too.
"""

import json
import typing

_CUT = "gateway: cut at the end of the process"
# The line that decided what became of a request is the last of these.
_DECIDING = (
    "stream: refused",
    "plain: no budget",
    "stream: no budget",
    "plain: attempt failed",
    "stream: attempt failed",
    "gateway: caller gone",
    "gateway: failed",
    "gateway: answered",
    _CUT,
)
_ENDS = _DECIDING[-4:]
_STARTED = "gateway: started"
# What changed meanwhile at an endpoint that the request was sent to.
_AROUND_MS = 3_000


class Line(typing.NamedTuple):
    """One log line: when in seconds, where, what, and its fields."""

    time: float
    instance: str
    message: str
    fields: dict


def read(files):
    """Yield the lines of open files that are log lines."""
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
                # Other programs may write to the same stream; what isn't a
                # log line says nothing about a request.
                continue


def collect(lines, request):
    """Return the lines about a request, in order, and the deciding one.

    Beside its own lines these are the changes that the gateways noted of
    the endpoints it was sent to, shortly before and meanwhile.
    """
    lines = list(lines)
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return [], None
    own.sort(key=lambda line: line.time)
    start = own[0].time - _AROUND_MS / 1_000
    end = own[-1].time + _AROUND_MS / 1_000
    endpoints = _endpoints(own)
    where = {line.instance for line in own}
    around = [
        line
        for line in lines
        if "request" not in line.fields
        and line.instance in where
        and start <= line.time <= end
        and _endpoints([line]) & endpoints
    ]
    decider = _decider(own)
    if own[-1].message not in _ENDS:
        decider = _restart(lines, own[-1]) or decider
        around += [decider] if decider and decider not in own else []
    return sorted(own + around, key=lambda line: line.time), decider


def _restart(lines, last):
    """Return the next start of the process in which a request stopped.

    A process that was killed or lost power writes nothing of it; its next
    start is the only sign.
    """
    later = [
        line
        for line in lines
        if line.message == _STARTED
        and line.instance == last.instance
        and line.time > last.time
    ]
    return min(later, key=lambda line: line.time, default=None)


def _decider(own):
    """Return the line that says why, before the one that says how it ended."""
    deciding = [line for line in own if line.message in _DECIDING]
    causes = [line for line in deciding if "why" in line.fields]
    if own[-1].message == _CUT:
        return own[-1]
    if own[-1].message == "gateway: answered":
        # The failure of an endpoint that no other was asked after is handed
        # on as it came.
        handed_on = own[-2:-1] and own[-2].message.endswith("attempt failed")
        return own[-2] if handed_on else own[-1]
    if causes:
        return causes[0] if len(causes) == 1 else causes[-2]
    return deciding[-1] if deciding else None


def _endpoints(lines):
    names = ("endpoint", "engine", "prefill", "decode")
    return {
        line.fields[name]
        for line in lines
        for name in names
        if line.fields.get(name)
    }


def render(trace, decider):
    """Return a trace as text for a person."""
    if not trace:
        return "no line about this request: it reached none of these processes"
    first = trace[0].time
    rows = []
    for line in trace:
        mark = ">" if line is decider else " "
        fields = " ".join(
            f"{key}={value}"
            for key, value in line.fields.items()
            if key not in ("level", "request")
        )
        after = f"{(line.time - first) * 1_000:8.0f} ms"
        rows.append(f"{mark} {after}  {line.instance}  {line.message}")
        rows[-1] += f"  {fields}"
    return "\n".join(rows)
