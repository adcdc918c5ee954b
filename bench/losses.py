"""Where the worth of a played day was lost, by cause.

Usage:
  losses REPORT LOG [--step=SECONDS]

Options:
  --step=SECONDS  Length of the windows of the second table [default: 2].

REPORT is what a run of the users' bench wrote with --report, LOG its output
with --log all. Prints two Markdown tables: the requests that came late or were
not served, by cause, and the same by seconds of the day. Callers' repeated
requests are requests of their own in the logs and one in the report; the line
"not explained" is what the report counts and the logs don't show. It falls
below 0 where requests that failed came again and were served.
"""

import collections
import json
import pathlib
import typing

import docopt

from clementinewall.operator import request_trace

# A late first event counts as mispredicted if it came this much after the
# predicted time.
MISPREDICTED_MS = 100
SERVED = "served in time"
# Keys of the report that count requests not served in time.
_LOST = ("late", "refused", "failed")


class Loss(typing.NamedTuple):
    """Why a request was late or not served, and when in the day it came."""

    second: float
    cause: str


def losses(lines):
    """Yield a :class:`Loss` for each request; ``lines`` as (second, line)."""
    lines_by_request = collections.defaultdict(list)
    for second, line in lines:
        request = line.fields.get("request")
        if request:
            lines_by_request[request].append((second, line))
    for found in lines_by_request.values():
        second, first = found[0]
        if first.message == "gateway: accepted":
            yield Loss(second, _cause([line for _, line in found]))


def _cause(lines):
    by_message = {line.message: line for line in lines}
    failed = by_message.get("stream: attempt failed")
    failed = failed or by_message.get("plain: attempt failed")
    first = by_message.get("stream: first event")
    if "gateway: answered" in by_message:
        return _cause_if_late(lines, by_message, failed, first)
    if "gateway: caller gone" in by_message:
        if first is not None:
            return "caller left a stream that had begun"
        if failed is not None:
            return "caller left after a failed attempt"
        return "caller left before the first event"
    if failed is not None:
        return f"attempt failed: {_kind(failed.fields['why'])}"
    end = by_message.get("gateway: failed")
    if end is not None:
        return f"refused or failed: {_kind(end.fields['why'])}"
    return "no end in the logs (the gateway was killed)"


def _cause_if_late(lines, by_message, failed, first):
    goal_ms = by_message["gateway: accepted"].fields["goal_ms"]
    placed = [line for line in lines if line.message == "stream: placed"]
    if not placed or first is None:
        took_ms = by_message["gateway: answered"].fields["took_ms"]
        if took_ms <= goal_ms:
            return SERVED
        return "late call" + (", after a failed attempt" if failed else "")
    took_ms = first.fields["took_ms"]
    if took_ms <= goal_ms:
        return SERVED
    if failed is not None:
        return "late stream, after a failed attempt"
    plan = placed[-1].fields
    if plan["first_ms"] > goal_ms:
        return "late stream, as predicted"
    if took_ms - plan["first_ms"] < MISPREDICTED_MS:
        return "late stream, close to the prediction"
    if plan["cached"] == 0:
        return "late stream, mispredicted, nothing cached"
    return "late stream, mispredicted"


def _kind(why):
    """Return a reason without the figures in it."""
    words = [word for word in why.split() if not any(map(str.isdigit, word))]
    return " ".join(words[:6])


def read_log(path):
    """Yield the lines of a run's output with their second of the day."""
    with open(path) as file:
        for text in file:
            for line in request_trace.read([[text]]):
                try:
                    yield float(text.split()[0]), line
                except ValueError:
                    # The bench's own output may contain a brace.
                    continue


def by_cause(found, report):
    """Return rows of cause and requests, and what the report has besides."""
    counts = collections.Counter(
        loss.cause for loss in found if loss.cause != SERVED
    )
    rows = counts.most_common()
    missing = sum(report["all"][name] for name in _LOST)
    rows.append(("not explained", missing - sum(counts.values())))
    return rows


def by_window(found, report, step):
    """Yield rows of second, worth of the window and its chief causes."""
    for window in report["windows"]:
        start = float(window["name"])
        causes = collections.Counter(
            loss.cause
            for loss in found
            if start <= loss.second < start + step and loss.cause != SERVED
        )
        chief = ", ".join(f"{n} {c}" for c, n in causes.most_common(3))
        yield window["name"], window["worth"], chief


def main():
    """Print the tables."""
    options = docopt.docopt(__doc__)
    report = json.loads(pathlib.Path(options["REPORT"]).read_text())
    found = list(losses(read_log(options["LOG"])))
    print(f"worth {report['G']}, of {report['all']['n']} requests")
    print("\n| cause | requests |\n|---|---|")
    for cause, count in by_cause(found, report):
        print(f"| {cause} | {count} |")
    print("\n| from second | worth | chief causes |\n|---|---|---|")
    for name, worth, chief in by_window(
        found, report, float(options["--step"])
    ):
        print(f"| {name} | {worth} | {chief} |")


if __name__ == "__main__":
    main()
