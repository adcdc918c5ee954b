"""Judging the retry budget over all gateways, from a ledger."""

import bisect
import collections

from bench.soak import bounds


def judge(ledger):
    """Return a sentence for the worst window of each service over its bound.

    A window's requests are those sent in it, in the window before it or in
    the one half a window before, whichever has most.
    """
    asked = [*ledger.sent, *ledger.probes]
    requests = collections.defaultdict(list)
    for sent in sorted(asked, key=lambda sent: sent.at):
        service = "model" if sent.kind == "stream" else "app"
        requests[service].append(sent.at)
    for service, extras in _extras(ledger).items():
        over = [
            (_in_window(extras, start), _allowed(requests[service], start))
            for start in extras
        ]
        found, allowed = max(over, key=lambda pair: pair[0] - pair[1])
        if found > allowed:
            yield (
                f"{service}: {found} further arrivals in a window, "
                f"allowed {allowed:.0f}"
            )


def _extras(ledger):
    """Return when arrivals beyond the first came, in order, by service.

    The first time that a prompt is only read isn't counted.
    """
    extras = collections.defaultdict(list)
    seen = set()
    for arrival in sorted(ledger.arrivals, key=lambda arrival: arrival.at):
        key = arrival.attempt, arrival.is_prefill
        if key in seen:
            extras[arrival.service].append(arrival.at)
        seen.add(key)
    return extras


def _in_window(times, start):
    end = bisect.bisect_left(times, start + bounds.RETRY_WINDOW_SECONDS)
    return end - bisect.bisect_left(times, start)


def _allowed(requests, start):
    window = bounds.RETRY_WINDOW_SECONDS
    most = max(
        _in_window(requests, start - back) for back in (0, window / 2, window)
    )
    return bounds.RETRY_RATIO * most + bounds.RETRY_SLACK
