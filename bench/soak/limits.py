"""Check time limits, stops and the work that requests may cause."""

import collections

from bench.soak import bounds
from bench.soak import history as history_module


def find_violations(history):
    """Yield a sentence for each limit that was broken."""
    yield from _late_answers(history)
    yield from _work_for_abandoned_requests(history)
    yield from _overlapping_runs(history)
    yield from _too_many_attempts(history)
    yield from _ready_while_draining(history)
    yield from _bad_exits(history)


def _late_answers(history):
    allowed = bounds.AFTER_LIMIT_SECONDS + bounds.SLACK_SECONDS
    for sent in history.sent:
        late = sent.ended - sent.at - sent.limit
        is_undisturbed = history.has_no_disturbance(
            sent.gateway, sent.at - bounds.RECOVERY_SECONDS, sent.ended
        )
        if is_undisturbed and late > allowed:
            yield (
                f"{sent.gateway} held {sent.attempt} ({sent.path})"
                f" {late:.1f} s beyond its limit"
            )


def _work_for_abandoned_requests(history):
    allowed = bounds.AFTER_LIMIT_SECONDS + bounds.SLACK_SECONDS
    abandoned_by_attempt = {
        sent.attempt: sent
        for sent in history.sent
        if sent.failure is history_module.Failure.ABANDONED
    }
    for end in history.run_ends:
        sent = abandoned_by_attempt.get(end.attempt)
        if sent is None or end.at <= sent.ended + allowed:
            continue
        start = sent.at - bounds.RECOVERY_SECONDS
        if all(
            history.has_no_disturbance(target, start, end.at)
            for target in (sent.gateway, end.endpoint)
        ):
            yield (
                f"{end.endpoint} worked on {end.attempt}"
                f" {end.at - sent.ended:.1f} s after its caller left"
            )


def _overlapping_runs(history):
    allowed = bounds.ENGINE_OVERLAP_SECONDS + bounds.SLACK_SECONDS
    stream_by_attempt = {
        sent.attempt: sent for sent in history.sent if sent.numbers
    }
    end_by_run = _end_by_run(history)
    for before, after in _resumptions(history):
        sent = stream_by_attempt.get(before.attempt)
        ended = end_by_run.get((before.attempt, before.endpoint))
        if sent is None or ended is None or ended <= after.at + allowed:
            continue
        start = sent.at - bounds.RECOVERY_SECONDS
        if all(
            history.has_no_disturbance(target, start, ended)
            for target in (sent.gateway, before.endpoint)
        ):
            yield (
                f"{before.endpoint} worked on {before.attempt}"
                f" {ended - after.at:.1f} s beside {after.endpoint}"
            )


def _end_by_run(history):
    return {(end.attempt, end.endpoint): end.at for end in history.run_ends}


def _resumptions(history):
    """Yield pairs of a run and the next of the same request elsewhere."""
    runs = collections.defaultdict(list)
    for run in sorted(history.runs, key=lambda run: run.at):
        runs[run.attempt].append(run)
    for rows in runs.values():
        for before, after in zip(rows, rows[1:], strict=False):
            if before.endpoint != after.endpoint:
                yield before, after


def _too_many_attempts(history):
    endpoints = collections.defaultdict(set)
    end_by_run = _end_by_run(history)
    for run in history.runs:
        ended = end_by_run.get((run.attempt, run.endpoint), run.at)
        start = run.at - bounds.RECOVERY_SECONDS
        if history.has_no_disturbance(run.endpoint, start, ended):
            endpoints[run.attempt].add(run.endpoint)
    for attempt, names in endpoints.items():
        if len(names) > bounds.MAX_ATTEMPTS:
            yield f"{attempt} ran at {', '.join(sorted(names))}"


def _ready_while_draining(history):
    for stop in history.stops:
        start = stop.at + bounds.UNREADY_SECONDS
        for row in history.readiness:
            if row.gateway != stop.gateway or not row.is_ready:
                continue
            if start < row.at < stop.ended:
                yield (
                    f"{stop.gateway} was ready"
                    f" {row.at - stop.at:.1f} s after SIGTERM"
                )


def _bad_exits(history):
    for stop in history.stops:
        if stop.exit_code is None:
            yield f"{stop.gateway} didn't stop within its grace and was killed"
        elif stop.exit_code and stop.was_ready:
            yield (
                f"{stop.gateway} ended with {stop.exit_code}"
                f" {stop.ended - stop.at:.1f} s after SIGTERM"
            )
