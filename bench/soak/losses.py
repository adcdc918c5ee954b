"""Judging whether accepted requests were answered."""

import collections

from bench.soak import bounds
from bench.soak import ledger as ledger_module


def judge(ledger):
    """Yield a sentence for each request that was accepted and lost.

    A request counts as accepted once it has reached an endpoint, or if its
    connection stayed open longer than one that crossed the close.  Only
    planned work may have been done to its gateway and its endpoints.
    """
    arrivals = _by_attempt(ledger.arrivals)
    ends = _by_attempt(ledger.run_ends)
    for sent in [*ledger.sent, *ledger.probes]:
        reached = arrivals[sent.attempt]
        if not _was_cut(sent, reached) or _is_disturbed(ledger, sent, reached):
            continue
        stop = _stop_of(ledger, sent)
        if stop and _is_excused(sent, stop, reached, ends[sent.attempt]):
            continue
        yield _sentence(sent, stop, reached)


def _by_attempt(rows):
    rows_by_attempt = collections.defaultdict(list)
    for row in rows:
        rows_by_attempt[row.attempt].append(row)
    return rows_by_attempt


def _was_cut(sent, reached):
    """Tell whether an accepted request was closed before its limit."""
    if sent.failure is not ledger_module.Failure.CLOSED:
        return False
    crossing = bounds.LOSS_SLACK_SECONDS + bounds.SLACK_SECONDS
    took = sent.ended - sent.at
    return took < sent.limit and (bool(reached) or took > crossing)


def _is_disturbed(ledger, sent, reached):
    """Tell whether something unplanned befell gateway or endpoints."""
    targets = {sent.gateway, *(arrival.endpoint for arrival in reached)}
    start = sent.at - bounds.CALM_SECONDS
    return not ledger.is_undisturbed(targets, start, sent.ended)


def _stop_of(ledger, sent):
    """Return the stop of its process that a request met, or ``None``."""
    met = [
        stop
        for stop in ledger.stops
        if stop.gateway == sent.gateway
        and stop.at <= sent.ended
        and sent.at < stop.ended
    ]
    return max(met, key=lambda stop: stop.at, default=None)


def _is_excused(sent, stop, reached, ends):
    """Tell whether an engine needed the grace up for an early request."""
    if sent.at > stop.at + bounds.EARLY_IN_DRAIN_SECONDS or not reached:
        return False
    last = max((end.at for end in ends), default=sent.ended)
    return min(last, sent.ended) >= stop.at + bounds.END_OF_DRAIN_SECONDS


def _sentence(sent, stop, reached):
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
