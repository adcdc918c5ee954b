"""Judging the promises from a ledger; no process is asked."""

import collections

from bench.soak import bounds
from bench.soak import limits
from bench.soak import losses
from bench.soak import retries

NOT_RUN = (408, 421, 429, 503)


def judge(ledger):
    """Return a sentence for each promise that was broken."""
    runs = collections.defaultdict(list)
    for run in ledger.runs:
        runs[run.attempt].append(run)
    return [
        *_doubled(ledger, runs),
        *_false_not_run(ledger, runs),
        *_wrong_answers(ledger),
        *_unasked(ledger),
        *_late_at_leaving(ledger),
        *_old_configuration(ledger),
        *_conflicting_orders(ledger),
        *losses.judge(ledger),
        *limits.judge(ledger),
        *retries.judge(ledger),
    ]


def _doubled(ledger, runs):
    for sent in ledger.sent:
        if sent.kind == "unsafe" and len(runs[sent.attempt]) > 1:
            yield f"{sent.attempt} ran {len(runs[sent.attempt])} times"


def _false_not_run(ledger, runs):
    for sent in ledger.sent:
        refused = sent.status in NOT_RUN
        if refused and sent.kind == "unsafe" and runs[sent.attempt]:
            yield f"{sent.attempt} got {sent.status} and ran"


def _wrong_answers(ledger):
    for sent in ledger.sent:
        if sent.status == 200 and not sent.right:
            yield f"{sent.attempt} got a wrong answer {sent.numbers}"
        order = sorted(set(sent.numbers))
        if list(sent.numbers) != order or (
            order and order != list(range(order[0], order[-1] + 1))
        ):
            yield f"{sent.attempt} got events {sent.numbers}"


def _unasked(ledger):
    asked = [*ledger.sent, *ledger.probes]
    path_by_attempt = {sent.attempt: sent.path for sent in asked}
    for run in ledger.runs:
        if run.attempt not in ledger.begun:
            yield f"{run.endpoint} ran {run.attempt}, which nobody sent"
        elif path_by_attempt.get(run.attempt, run.path) != run.path:
            yield f"{run.attempt} ran as {run.path}"


def _late_at_leaving(ledger):
    asked = [*ledger.sent, *ledger.probes]
    gateway_by_attempt = {sent.attempt: sent.gateway for sent in asked}
    for run in ledger.runs:
        left = ledger.left_by_endpoint.get(run.endpoint)
        if (
            left is None
            or run.at < left + bounds.LEAVING_SECONDS + bounds.SLACK_SECONDS
        ):
            continue
        gateway = gateway_by_attempt.get(run.attempt)
        if ledger.is_calm(gateway, left - bounds.CALM_SECONDS, run.at):
            late = f"{run.at - left:.1f} s"
            yield f"{gateway} sent to {run.endpoint} {late} after it left"


def _old_configuration(ledger):
    for probe in ledger.probes:
        wanted = max(
            (
                version
                for version, at in ledger.versions
                if at + bounds.CONFIGURATION_SECONDS + bounds.SLACK_SECONDS
                < probe.at
            ),
            default=None,
        )
        if wanted is None or probe.status is None:
            continue
        calm = ledger.is_calm(
            probe.gateway, probe.at - 2 * bounds.CALM_SECONDS, probe.ended
        )
        if calm and int(probe.path.split("/")[1][3:]) <= wanted:
            if probe.status == 404:
                yield f"{probe.gateway} doesn't know {probe.path}"


def _conflicting_orders(ledger):
    orders = collections.defaultdict(list)
    for order in sorted(ledger.orders, key=lambda order: order.at):
        orders[order.endpoint].append(order)
    for endpoint, rows in orders.items():
        for before, after in zip(rows, rows[1:], strict=False):
            if before.holder == after.holder:
                continue
            if after.at - before.at < bounds.TURN_SECONDS:
                yield f"{endpoint}: {before.holder}, then {after.holder}"
            if after.token <= before.token:
                yield f"{endpoint}: token {after.token} after {before.token}"
