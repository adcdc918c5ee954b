"""Check that gateways that are cut off serve their callers as others do."""

import collections

from bench.soak import bounds
from bench.soak import history as history_module

# These end by their limit or by their caller.
UNJUDGED_KINDS = ("slow", "waiting", "leaving")


def find_violations(history):
    """Yield a sentence for each cut in which callers were served worse."""
    for cut in history.cuts:
        own, expected = _judged(history, cut)
        failures = len(own) - sum(own)
        allowed = bounds.CUT_FAILURES + bounds.CUT_FAILURE_RATIO * len(own)
        if sum(own) < bounds.MIN_CUT_SHARE * expected and failures > allowed:
            yield (
                f"{', '.join(cut.gateways)}, cut off, served {sum(own)} of"
                f" {len(own)}; {expected:.1f} by the share of the others"
            )


def _judged(history, cut):
    """Return whether requests at cut gateways were served, and the measure.

    That is how many would have been by the others' share of the same path in
    the same second, for those that others had, too: the endpoints of a service
    may refuse everybody at times.
    """
    own_by_case = collections.defaultdict(list)
    others_by_case = collections.defaultdict(list)
    start = cut.start + bounds.STABLE_SECONDS
    for sent in history.sent:
        if sent.kind in UNJUDGED_KINDS or not start <= sent.at <= cut.end:
            continue
        if not _is_in_touch(history, sent):
            continue
        is_served = sent.status == 200 and sent.is_correct
        case = sent.path, int(sent.at - start)
        if sent.gateway in cut.gateways:
            own_by_case[case].append(is_served)
        elif not _is_cut(history, sent):
            others_by_case[case].append(is_served)
    own = []
    expected = 0.0
    for case, others in others_by_case.items():
        here = own_by_case[case]
        own += here
        expected += len(here) * sum(others) / len(others)
    return own, expected


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
