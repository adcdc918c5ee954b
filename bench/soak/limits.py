"""Judging time limits, stops and the work that requests may cause."""

import collections

from bench.soak import bounds
from bench.soak import ledger as ledger_module


def judge(ledger):
    """Yield a sentence for each limit that was broken."""
    yield from _late_answers(ledger)
    yield from _work_for_nobody(ledger)
    yield from _two_engines(ledger)
    yield from _too_many_attempts(ledger)
    yield from _ready_in_a_drain(ledger)
    yield from _bad_exits(ledger)


def _late_answers(ledger):
    allowed = bounds.AFTER_LIMIT_SECONDS + bounds.SLACK_SECONDS
    for sent in ledger.sent:
        late = sent.ended - sent.at - sent.limit
        calm = ledger.is_calm(
            sent.gateway, sent.at - bounds.CALM_SECONDS, sent.ended
        )
        if calm and late > allowed:
            yield (
                f"{sent.gateway} held {sent.attempt} ({sent.path})"
                f" {late:.1f} s beyond its limit"
            )


def _work_for_nobody(ledger):
    allowed = bounds.AFTER_LIMIT_SECONDS + bounds.SLACK_SECONDS
    left_by_attempt = {
        sent.attempt: sent
        for sent in ledger.sent
        if sent.failure is ledger_module.Failure.ABANDONED
    }
    for end in ledger.run_ends:
        sent = left_by_attempt.get(end.attempt)
        if sent is None or end.at <= sent.ended + allowed:
            continue
        start = sent.at - bounds.CALM_SECONDS
        if all(
            ledger.is_calm(target, start, end.at)
            for target in (sent.gateway, end.endpoint)
        ):
            yield (
                f"{end.endpoint} worked on {end.attempt}"
                f" {end.at - sent.ended:.1f} s after its caller left"
            )


def _two_engines(ledger):
    allowed = bounds.TWO_ENGINES_SECONDS + bounds.SLACK_SECONDS
    stream_by_attempt = {
        sent.attempt: sent for sent in ledger.sent if sent.numbers
    }
    end_by_run = _end_by_run(ledger)
    for before, after in _resumptions(ledger):
        sent = stream_by_attempt.get(before.attempt)
        ended = end_by_run.get((before.attempt, before.endpoint))
        if sent is None or ended is None or ended <= after.at + allowed:
            continue
        start = sent.at - bounds.CALM_SECONDS
        if all(
            ledger.is_calm(target, start, ended)
            for target in (sent.gateway, before.endpoint)
        ):
            yield (
                f"{before.endpoint} worked on {before.attempt}"
                f" {ended - after.at:.1f} s beside {after.endpoint}"
            )


def _end_by_run(ledger):
    return {(end.attempt, end.endpoint): end.at for end in ledger.run_ends}


def _resumptions(ledger):
    """Yield pairs of a run and the next of the same request elsewhere."""
    runs = collections.defaultdict(list)
    for run in sorted(ledger.runs, key=lambda run: run.at):
        runs[run.attempt].append(run)
    for rows in runs.values():
        for before, after in zip(rows, rows[1:], strict=False):
            if before.endpoint != after.endpoint:
                yield before, after


def _too_many_attempts(ledger):
    endpoints = collections.defaultdict(set)
    end_by_run = _end_by_run(ledger)
    for run in ledger.runs:
        ended = end_by_run.get((run.attempt, run.endpoint), run.at)
        start = run.at - bounds.CALM_SECONDS
        if ledger.is_calm(run.endpoint, start, ended):
            endpoints[run.attempt].add(run.endpoint)
    for attempt, names in endpoints.items():
        if len(names) > bounds.MAX_ATTEMPTS:
            yield f"{attempt} ran at {', '.join(sorted(names))}"


def _ready_in_a_drain(ledger):
    for stop in ledger.stops:
        start = stop.at + bounds.UNREADY_SECONDS
        for row in ledger.readiness:
            if row.gateway != stop.gateway or not row.is_ready:
                continue
            if start < row.at < stop.ended:
                yield (
                    f"{stop.gateway} was ready"
                    f" {row.at - stop.at:.1f} s after SIGTERM"
                )


def _bad_exits(ledger):
    for stop in ledger.stops:
        if stop.exit_code is None:
            yield f"{stop.gateway} didn't stop in its time"
        elif stop.exit_code and stop.was_ready:
            yield (
                f"{stop.gateway} ended with {stop.exit_code}"
                f" {stop.ended - stop.at:.1f} s after SIGTERM"
            )
