"""Check that streams go on at the software version that began them."""

from bench.soak import bounds
from bench.soak import callers


def find_violations(history):
    """Yield a sentence for each of the two guarantees that was broken."""
    mixed = [row for row in history.streams if len(row.versions) > 1]
    if len(mixed) > bounds.MAX_MIXED_STREAMS:
        names = ", ".join(row.attempt for row in mixed)
        yield f"{len(mixed)} streams hold events of two versions: {names}"
    returns = [row for row in history.returns if _is_judged(history, row)]
    if len(returns) < bounds.MIN_JUDGED_RETURNS:
        return
    share = sum(row.went_on for row in returns) / len(returns)
    begun = _share_of_new(history)
    if share < bounds.MIN_RETURN_SHARE * begun:
        yield (
            f"{share:.2f} of {len(returns)} streams that were taken up went"
            f" on, {begun:.2f} of new ones began"
        )


def _is_judged(history, row):
    """Return whether its gateway was well and two of its engines served."""
    start = row.at - bounds.RECOVERY_SECONDS
    engines = [
        span
        for span in history.engine_spans
        if span.version == row.version
        and span.start < start
        and span.end > row.at + bounds.RECOVERY_SECONDS
    ]
    return len(engines) > 1 and history.has_no_disturbance(
        row.gateway, start, row.at
    )


def _share_of_new(history):
    new = [
        bool(sent.numbers)
        for sent in history.sent
        if sent.kind in callers.STREAM_KINDS
        and history.has_no_disturbance(
            sent.gateway, sent.at - bounds.RECOVERY_SECONDS, sent.ended
        )
    ]
    return sum(new) / max(1, len(new))
