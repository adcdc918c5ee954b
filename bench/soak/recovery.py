"""Check that gateways that are cut off serve their callers as others do."""

from bench.soak import bounds
from bench.soak import history as history_module

# These end by their limit or by their caller.
UNJUDGED_KINDS = ("slow", "waiting", "leaving")


def find_violations(history):
    """Yield a sentence for each cut in which callers were served worse."""
    for cut in history.cuts:
        own, others = _judged(history, cut)
        if not own or not others:
            continue
        failures = len(own) - sum(own)
        allowed = bounds.CUT_FAILURES + bounds.CUT_FAILURE_RATIO * len(own)
        share = sum(own) / len(own)
        other_share = sum(others) / len(others)
        if share < bounds.MIN_CUT_SHARE * other_share and failures > allowed:
            yield (
                f"{', '.join(cut.gateways)}, cut off, served {sum(own)} of"
                f" {len(own)}, the others {sum(others)} of {len(others)}"
            )


def _judged(history, cut):
    """Return whether requests were served, at cut gateways and at others."""
    start = cut.start + bounds.STABLE_SECONDS
    own, others = [], []
    for sent in history.sent:
        if sent.kind in UNJUDGED_KINDS or not start <= sent.at <= cut.end:
            continue
        if not _is_in_touch(history, sent):
            continue
        is_served = sent.status == 200 and sent.is_correct
        if sent.gateway in cut.gateways:
            own.append(is_served)
        elif not _is_cut(history, sent):
            others.append(is_served)
    return own, others


def _is_in_touch(history, sent):
    """Return whether nothing but cuts disturbed a request's gateway."""
    return not any(
        disturbance.what != history_module.CUT
        for disturbance in history.disturbances_of(
            sent.gateway, sent.at - bounds.RECOVERY_SECONDS, sent.ended
        )
    )


def _is_cut(history, sent):
    return any(
        disturbance.what == history_module.CUT
        for disturbance in history.disturbances_of(
            sent.gateway, sent.at, sent.ended
        )
    )
