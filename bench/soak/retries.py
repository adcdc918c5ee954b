"""Check the retry budget over all gateways against a history."""

import bisect
import collections

from bench.soak import bounds
from bench.soak import callers


def find_violations(history):
    """Yield a sentence for each service over its bound, for its worst window.

    A window's requests are those sent in it, in the window before it or in
    the one that began half a window earlier, whichever has most.
    """
    all_requests = [*history.sent, *history.probes]
    request_times = collections.defaultdict(list)
    for sent in sorted(all_requests, key=lambda sent: sent.at):
        is_stream = sent.kind in callers.STREAM_KINDS
        service = "model" if is_stream else "app"
        request_times[service].append(sent.at)
    for service, extras in _retry_times_by_service(history).items():
        over = [
            (
                _in_window(extras, start),
                _allowed(request_times[service], start),
            )
            for start in extras
        ]
        found, allowed = max(over, key=lambda pair: pair[0] - pair[1])
        if found > allowed:
            yield (
                f"{service}: {found} retries in a window, "
                f"allowed {allowed:.0f}"
            )


def _retry_times_by_service(history):
    """Return when arrivals beyond the first came, in order, by service.

    The first prefill of a request isn't counted.
    """
    extras = collections.defaultdict(list)
    seen = set()
    for arrival in sorted(history.arrivals, key=lambda arrival: arrival.at):
        key = arrival.attempt, arrival.is_prefill
        if key in seen:
            extras[arrival.service].append(arrival.at)
        seen.add(key)
    return extras


def _in_window(times, start):
    end = bisect.bisect_left(times, start + bounds.RETRY_WINDOW_SECONDS)
    return end - bisect.bisect_left(times, start)


def _allowed(request_times, start):
    window = bounds.RETRY_WINDOW_SECONDS
    most = max(
        _in_window(request_times, start - back)
        for back in (0, window / 2, window)
    )
    return bounds.RETRY_RATIO * most + bounds.RETRY_SLACK
