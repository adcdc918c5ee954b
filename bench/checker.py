"""Judging the promises from the logs of a run alone.

``python -m bench.checker FOLDER`` reads the stand-ins' events (orders with
fencing tokens, executions by key, streams cut) and the callers' notes (what
each was told) from every file of the folder, and prints what was broken.
It asks no process, so it can be pointed at any run.
"""

import collections
import json
import pathlib
import sys
import typing

EVENT = "EVENT "
# Endpoints that failed at random may have been cut on purpose; only cuts by
# an engine's own role change break a promise.
NOT_RUN = "not_run"


class Verdict(typing.NamedTuple):
    """What was counted, and each promise that was broken."""

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


def judge(events):
    """Return the verdict over the events of a run."""
    by_kind = collections.defaultdict(list)
    for event in events:
        by_kind[event["event"]].append(event)
    runs = collections.Counter(e["key"] for e in by_kind["execution"])
    broken = [
        *_conflicting_orders(by_kind["order"]),
        *_doubled(runs),
        *_false_not_run(by_kind["booking"], runs),
        *_lost_bookings(by_kind["booking"], runs),
        *_bad_streams(by_kind["stream"]),
        *[f"{e['engine']} cut {e['request']}" for e in by_kind["cut"]],
    ]
    counts = {kind: len(rows) for kind, rows in sorted(by_kind.items())}
    told = collections.Counter(e["told"] for e in by_kind["booking"])
    counts.update({f"booking {told_}": n for told_, n in told.items()})
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


def _doubled(runs):
    for key, count in runs.items():
        if count > 1 and not key.endswith("/lookup"):
            yield f"{key} ran {count} times"


def _false_not_run(bookings, runs):
    """Check the callers whose last word was that nothing ran."""
    for event in bookings:
        if event["told"] == NOT_RUN and runs[event["key"]]:
            yield f"{event['key']} was called not run and ran"


def _lost_bookings(bookings, runs):
    for event in bookings:
        if event["told"] == "done" and not runs[event["key"]]:
            yield f"{event['key']} was confirmed and never ran"


def _bad_streams(streams):
    for event in streams:
        if event["end"] == "wrong":
            yield f"stream {event['request']} was not as it should be"


def main():
    """Judge the folder named on the command line."""
    verdict = judge(read_events(sys.argv[1]))
    for name, count in verdict.counts.items():
        print(f"{name}: {count}")
    for line in verdict.broken:
        print(f"BROKEN: {line}")
    raise SystemExit(1 if verdict.broken else 0)


if __name__ == "__main__":
    main()
