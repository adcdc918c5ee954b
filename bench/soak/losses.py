"""Check that accepted requests were answered."""

import collections

from bench.soak import bounds
from bench.soak import history as history_module


def find_violations(history):
    """Yield a sentence for each request that was accepted and lost.

    A request counts as accepted once it has reached an endpoint, or if its
    connection stayed open too long for the request to have been sent while
    the gateway closed it.
    A loss counts only if nothing but planned work disturbed the gateway and
    its endpoints.
    """
    arrivals = _by_attempt(history.arrivals)
    ends = _by_attempt(history.run_ends)
    for sent in [*history.sent, *history.probes]:
        reached = arrivals[sent.attempt]
        if not _was_cut(sent, reached) or _is_disturbed(
            history, sent, reached
        ):
            continue
        stop = _overlapping_stop(history, sent)
        if stop and _is_excused(sent, stop, reached, ends[sent.attempt]):
            continue
        yield _describe(sent, stop, reached)


def _by_attempt(rows):
    rows_by_attempt = collections.defaultdict(list)
    for row in rows:
        rows_by_attempt[row.attempt].append(row)
    return rows_by_attempt


def _was_cut(sent, reached):
    """Return whether an accepted request was closed before its limit."""
    if sent.failure is not history_module.Failure.CLOSED:
        return False
    crossing = bounds.CLOSE_RACE_SECONDS + bounds.SLACK_SECONDS
    took = sent.ended - sent.at
    return took < sent.limit and (bool(reached) or took > crossing)


def _is_disturbed(history, sent, reached):
    """Return whether a fault disturbed the gateway or the endpoints."""
    targets = {sent.gateway, *(arrival.endpoint for arrival in reached)}
    start = sent.at - bounds.RECOVERY_SECONDS
    return not history.has_only_planned_work(targets, start, sent.ended)


def _overlapping_stop(history, sent):
    """Return the gateway's last stop during a request, or ``None``."""
    met = [
        stop
        for stop in history.stops
        if stop.gateway == sent.gateway
        and stop.at <= sent.ended
        and sent.at < stop.ended
    ]
    return max(met, key=lambda stop: stop.at, default=None)


def _is_excused(sent, stop, reached, ends):
    """Return whether work on an early request used up the grace."""
    if sent.at > stop.at + bounds.EARLY_IN_DRAIN_SECONDS or not reached:
        return False
    last = max((end.at for end in ends), default=sent.ended)
    return min(last, sent.ended) >= stop.at + bounds.END_OF_DRAIN_SECONDS


def _describe(sent, stop, reached):
    where = ", ".join(arrival.endpoint for arrival in reached) or "no endpoint"
    text = (
        f"{sent.gateway} lost {sent.attempt} ({sent.path}, at {where})"
        f" {sent.ended - sent.at:.2f} s after it was sent"
    )
    if stop is None:
        return text
    return (
        f"{text}, sent {sent.at - stop.at:.2f} s and cut"
        f" {sent.ended - stop.at:.2f} s after SIGTERM"
    )
