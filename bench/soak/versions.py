"""Check that streams go on at the software version that began them."""

from bench.soak import bounds
from bench.soak import callers


def find_violations(history):
    """Yield a sentence for each guarantee that was broken."""
    yield from _mixed_streams(history)
    yield from _refused_returns(history)
    for rejoin in history.rejoins:
        yield from _refused_after_loss(history, rejoin)


def _mixed_streams(history):
    mixed = [row for row in history.streams if len(row.versions) > 1]
    if len(mixed) > bounds.MAX_MIXED_STREAMS:
        names = ", ".join(row.attempt for row in mixed)
        yield f"{len(mixed)} streams hold events of two versions: {names}"


def _refused_returns(history):
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


def _refused_after_loss(history, rejoin):
    """Compare what was taken up after a loss with new streams.

    A stream counts once, whatever the number of its tries; it went on if any
    of them did.
    """
    returns = returns_after(history, rejoin)
    count = len({row.attempt for row in returns})
    if count < bounds.MIN_JUDGED_REJOINED:
        return
    share = len({row.attempt for row in returns if row.went_on}) / count
    seconds = {int(row.at) for row in returns}
    new = [
        bool(sent.numbers)
        for sent in history.sent
        if sent.kind in callers.STREAM_KINDS and int(sent.at) in seconds
    ]
    begun = sum(new) / max(1, len(new))
    if share < bounds.MIN_RETURN_SHARE * begun:
        yield (
            f"after a loss of gateways {share:.2f} of {count} streams that"
            f" were taken up went on, {begun:.2f} of {len(new)} new ones began"
        )


def returns_after(history, rejoin):
    """Return the tries after a loss to take up streams that began before.

    Only those are returned of whose version an engine has served since.
    """
    start = rejoin.back_at + bounds.REJOIN_SECONDS
    began_at_by_attempt = {sent.attempt: sent.at for sent in history.sent}
    return [
        row
        for row in history.returns
        if start <= row.at <= rejoin.end
        and began_at_by_attempt[row.attempt] < rejoin.back_at
        and any(
            span.version == row.version
            and span.start < rejoin.lost_at
            and span.end > row.at + bounds.SLACK_SECONDS
            for span in history.engine_spans
        )
    ]
