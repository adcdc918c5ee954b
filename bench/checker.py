"""Check the service guarantees from the logs of a run alone.

``python -m bench.checker FOLDER`` reads the stand-ins' events (orders with
fencing tokens, executions by key, streams cut) and the callers' records of
their outcomes from every log file of the folder, and prints the broken
guarantees.  It asks no process, so it works on the logs of any run.
"""

import collections
import json
import pathlib
import sys
import typing

EVENT = "EVENT "
# A cut by an injected endpoint fault is expected; only a cut by an engine's
# own role change breaks a guarantee.
NOT_RUN = "not_run"


class Verdict(typing.NamedTuple):
    """The counts of events, and each guarantee that was broken."""

    counts: dict[str, int]
    broken: tuple[str, ...]


def read_events(folder):
    """Return the events in the order of each file."""
    events = []
    for path in sorted(pathlib.Path(folder).glob("*.log")):
        with open(path, errors="replace") as file:
            for line in file:
                if line.startswith(EVENT):
                    events.append(json.loads(line[len(EVENT) :]))
    return events


def find_violations(events):
    """Return the :class:`Verdict` on the events of a run."""
    by_kind = collections.defaultdict(list)
    for event in events:
        by_kind[event["event"]].append(event)
    runs = collections.Counter(e["key"] for e in by_kind["execution"])
    broken = [
        *_conflicting_orders(by_kind["order"]),
        *_duplicate_runs(runs),
        *_run_but_reported_not_run(by_kind["booking"], runs),
        *_lost_bookings(by_kind["booking"], runs),
        *_wrong_streams(by_kind["stream"]),
        *[f"{e['engine']} cut {e['request']}" for e in by_kind["cut"]],
    ]
    counts = {kind: len(rows) for kind, rows in sorted(by_kind.items())}
    count_by_outcome = collections.Counter(
        e["told"] for e in by_kind["booking"]
    )
    counts.update(
        {f"booking {name}": n for name, n in count_by_outcome.items()}
    )
    ends = collections.Counter(e["end"] for e in by_kind["stream"])
    counts.update({f"stream {end}": n for end, n in ends.items()})
    return Verdict(counts, tuple(broken))


def _conflicting_orders(orders):
    newest = collections.defaultdict(lambda: -1)
    for order in orders:
        if order["refused"]:
            continue
        engine = order["engine"]
        if order["fence"] < newest[engine]:
            yield (
                f"{engine} obeyed {order['kind']} of {order['by']} with "
                f"{order['fence']} after {newest[engine]}"
            )
        newest[engine] = max(newest[engine], order["fence"])


def _duplicate_runs(runs):
    for key, count in runs.items():
        if count > 1 and not key.endswith("/lookup"):
            yield f"{key} ran {count} times"


def _run_but_reported_not_run(bookings, runs):
    """Check the bookings whose callers were last told that nothing ran."""
    for event in bookings:
        if event["told"] == NOT_RUN and runs[event["key"]]:
            yield f"{event['key']} was reported as not run but ran"


def _lost_bookings(bookings, runs):
    for event in bookings:
        if event["told"] == "done" and not runs[event["key"]]:
            yield f"{event['key']} was confirmed but never ran"


def _wrong_streams(streams):
    for event in streams:
        if event["end"] == "wrong":
            yield f"stream {event['request']} had wrong events"


def main():
    """Check the folder named on the command line."""
    verdict = find_violations(read_events(sys.argv[1]))
    for name, count in verdict.counts.items():
        print(f"{name}: {count}")
    for line in verdict.broken:
        print(f"BROKEN: {line}")
    raise SystemExit(1 if verdict.broken else 0)


if __name__ == "__main__":
    main()
