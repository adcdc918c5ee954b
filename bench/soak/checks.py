"""Check the guarantees against a history, without asking any process."""

import collections

from bench.soak import bounds
from bench.soak import endpoint_wishes
from bench.soak import harmful_parts
from bench.soak import limits
from bench.soak import losses
from bench.soak import recovery
from bench.soak import request_limits
from bench.soak import restarts
from bench.soak import retries
from bench.soak import versions

NOT_RUN_STATUSES = (408, 421, 429, 503)


def find_violations(history):
    """Return a sentence for each guarantee that was broken."""
    runs = collections.defaultdict(list)
    for run in history.runs:
        runs[run.attempt].append(run)
    return [
        *_duplicate_runs(history, runs),
        *_refused_but_run(history, runs),
        *_wrong_answers(history),
        *_unrequested_runs(history),
        *_runs_after_drain(history),
        *_stale_configuration(history),
        *_conflicting_orders(history),
        *losses.find_violations(history),
        *limits.find_violations(history),
        *retries.find_violations(history),
        *endpoint_wishes.find_violations(history),
        *request_limits.find_violations(history),
        *recovery.find_violations(history),
        *restarts.find_violations(history),
        *versions.find_violations(history),
        *harmful_parts.find_violations(history),
    ]


def _duplicate_runs(history, runs):
    for sent in history.sent:
        if sent.kind == "unsafe" and len(runs[sent.attempt]) > 1:
            yield f"{sent.attempt} ran {len(runs[sent.attempt])} times"


def _refused_but_run(history, runs):
    for sent in history.sent:
        refused = sent.status in NOT_RUN_STATUSES
        if refused and sent.kind == "unsafe" and runs[sent.attempt]:
            yield f"{sent.attempt} got {sent.status} and ran"


def _wrong_answers(history):
    for sent in history.sent:
        if sent.status == 200 and not sent.is_correct:
            yield f"{sent.attempt} got a wrong answer {sent.numbers}"
        order = sorted(set(sent.numbers))
        if list(sent.numbers) != order or (
            order and order != list(range(order[0], order[-1] + 1))
        ):
            yield f"{sent.attempt} got events {sent.numbers}"


def _unrequested_runs(history):
    requests = [*history.sent, *history.probes]
    path_by_attempt = {sent.attempt: sent.path for sent in requests}
    for run in history.runs:
        if run.attempt not in history.attempts:
            yield f"{run.endpoint} ran {run.attempt}, which nobody sent"
        elif path_by_attempt.get(run.attempt, run.path) != run.path:
            yield f"{run.attempt} ran as {run.path}"


def _runs_after_drain(history):
    requests = [*history.sent, *history.probes]
    gateway_by_attempt = {sent.attempt: sent.gateway for sent in requests}
    for run in history.runs:
        left = history.drained_at_by_endpoint.get(run.endpoint)
        if (
            left is None
            or run.at < left + bounds.DRAINING_SECONDS + bounds.SLACK_SECONDS
        ):
            continue
        gateway = gateway_by_attempt.get(run.attempt)
        if history.has_no_disturbance(
            gateway, left - bounds.RECOVERY_SECONDS, run.at
        ):
            late = f"{run.at - left:.1f} s"
            yield f"{gateway} sent to {run.endpoint} {late} after it left"


def _stale_configuration(history):
    for probe in history.probes:
        wanted = max(
            (
                version
                for version, at in history.versions
                if at + bounds.CONFIGURATION_SECONDS + bounds.SLACK_SECONDS
                < probe.at
            ),
            default=None,
        )
        if wanted is None or probe.status is None:
            continue
        is_undisturbed = history.has_no_disturbance(
            probe.gateway, probe.at - 2 * bounds.RECOVERY_SECONDS, probe.ended
        )
        if is_undisturbed and int(probe.path.split("/")[1][3:]) <= wanted:
            if probe.status == 404:
                yield f"{probe.gateway} doesn't know {probe.path}"


def _conflicting_orders(history):
    orders = collections.defaultdict(list)
    for order in sorted(history.orders, key=lambda order: order.at):
        orders[order.endpoint].append(order)
    for endpoint, rows in orders.items():
        for before, after in zip(rows, rows[1:], strict=False):
            if before.holder == after.holder:
                continue
            if after.at - before.at < bounds.ORDER_INTERVAL_SECONDS:
                yield f"{endpoint}: {before.holder}, then {after.holder}"
            if after.token <= before.token:
                yield f"{endpoint}: token {after.token} after {before.token}"
