"""Check that all gateways together keep to the limits that endpoints name."""

import math

from bench.soak import bounds
from bench.soak import endpoint_wishes
from bench import windows


def find_violations(history):
    """Yield a sentence for each span of a limit that was not kept."""
    requests = [*history.sent, *history.probes]
    gateway_by_attempt = {sent.attempt: sent.gateway for sent in requests}
    for span in history.limit_spans:
        times = _counted_times(history, span, gateway_by_attempt)
        found = windows.most_in_window(times, bounds.LIMIT_WINDOW_SECONDS)
        allowed = (
            bounds.LIMIT_FACTOR * span.per_second * bounds.LIMIT_WINDOW_SECONDS
            + bounds.LIMIT_SLACK
        )
        if found > allowed:
            yield (
                f"{span.endpoint} got {found} requests in a window at a limit"
                f" of {span.per_second} a second; allowed {allowed:.0f}"
            )


def _counted_times(history, span, gateway_by_attempt):
    """Return when requests came from gateways that had been told, in order."""
    told_at = {}
    for notice in history.limit_notices:
        if notice.endpoint == span.endpoint and (
            span.start <= notice.at <= span.end
        ):
            gateway = gateway_by_attempt.get(notice.attempt)
            told_at[gateway] = min(told_at.get(gateway, math.inf), notice.at)
    first = min(told_at.values(), default=math.inf)
    times = []
    for arrival in history.arrivals:
        if arrival.endpoint != span.endpoint or not (
            first + bounds.LIMIT_DELAY_SECONDS <= arrival.at <= span.end
        ):
            continue
        gateway = gateway_by_attempt.get(arrival.attempt)
        told = told_at.get(gateway, math.inf) + bounds.TOLD_DELAY_SECONDS
        if told <= arrival.at and not endpoint_wishes.excuses_sends(
            history, gateway, span.endpoint, first, arrival.at
        ):
            times.append(arrival.at)
    return sorted(times)
