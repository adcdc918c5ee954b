"""Check that gateways heed endpoints that ask for rest or leave.

Each request that a caller sends reaches endpoints through the one gateway to
which it was sent; an order names its gateway as its holder.
"""

import bisect
import collections

from bench.soak import bounds


def find_violations(history):
    """Yield a sentence for each gateway and endpoint, for its worst case."""
    requests = [*history.sent, *history.probes]
    sent_by_attempt = {sent.attempt: sent for sent in requests}
    yield from _arrivals_in_rest(history, sent_by_attempt)
    yield from _arrivals_after_leave_notice(history, sent_by_attempt)


def _arrivals_in_rest(history, sent_by_attempt):
    arrivals = _arrival_times(history, sent_by_attempt)
    worst = collections.Counter()
    for row in history.rest_requests:
        sent = sent_by_attempt.get(row.attempt)
        if sent is None:
            continue
        end = row.at + row.seconds
        times = arrivals[sent.gateway, row.endpoint]
        number = bisect.bisect_right(times, end) - bisect.bisect_left(
            times, row.at + bounds.REST_DELAY_SECONDS
        )
        if number > bounds.MAX_ARRIVALS_IN_REST and not excuses_sends(
            history, sent.gateway, row.endpoint, row.at, end
        ):
            key = sent.gateway, row.endpoint
            worst[key] = max(worst[key], number)
    for (gateway, endpoint), number in worst.items():
        yield (
            f"{gateway} sent {number} requests to {endpoint},"
            " which had asked for rest"
        )


def _arrival_times(history, sent_by_attempt):
    """Return when requests and orders arrived, by gateway and endpoint."""
    times = collections.defaultdict(list)
    for arrival in history.arrivals:
        sent = sent_by_attempt.get(arrival.attempt)
        if sent is not None:
            times[sent.gateway, arrival.endpoint].append(arrival.at)
    for order in history.orders:
        gateway = history.gateway_by_holder.get(order.holder)
        times[gateway, order.endpoint].append(order.at)
    for rows in times.values():
        rows.sort()
    return times


def excuses_sends(history, gateway, endpoint, start, end):
    """Return whether a restart, freeze or cut came in a time."""
    return _was_restarted(history, gateway, start, end) or any(
        not disturbance.is_planned
        and disturbance.target in (gateway, endpoint)
        and disturbance.start <= end
        and disturbance.end >= start
        for disturbance in history.disturbances
    )


def _arrivals_after_leave_notice(history, sent_by_attempt):
    notices = _notice_times(history, sent_by_attempt)
    worst = collections.Counter()
    for arrival in history.arrivals:
        sent = sent_by_attempt.get(arrival.attempt)
        if sent is None:
            continue
        key = sent.gateway, arrival.endpoint
        latest = bisect.bisect_left(
            notices[key], sent.at - bounds.DRAINING_SECONDS
        )
        if not latest:
            continue
        noticed = notices[key][latest - 1]
        if not _excuses_leave(history, sent.gateway, noticed, arrival.at):
            worst[key] = max(worst[key], sent.at - notices[key][0])
    for (gateway, endpoint), seconds in worst.items():
        yield (
            f"{gateway} sent requests to {endpoint} up to {seconds:.1f} s"
            " after it had passed on that this endpoint leaves"
        )


def _notice_times(history, sent_by_attempt):
    """Return when notices were passed on, by gateway and endpoint.

    After a resumption the answer may be the one of the other endpoint.
    """
    endpoints = collections.defaultdict(set)
    for run in history.runs:
        endpoints[run.attempt].add(run.endpoint)
    times = collections.defaultdict(list)
    for notice in history.leave_notices:
        sent = sent_by_attempt.get(notice.attempt)
        if (
            sent is not None
            and sent.head_at is not None
            and endpoints[notice.attempt] == {notice.endpoint}
        ):
            times[sent.gateway, notice.endpoint].append(sent.head_at)
    for rows in times.values():
        rows.sort()
    return times


def _excuses_leave(history, gateway, start, end):
    """Return whether a restart or freeze came since a notice."""
    return _was_restarted(history, gateway, start, end) or any(
        disturbance.what in ("kill", "pause")
        and disturbance.target == gateway
        and disturbance.start <= end
        and disturbance.end >= start
        for disturbance in history.disturbances
    )


def _was_restarted(history, gateway, start, end):
    """Return whether a stopped process ended; a draining one remembers."""
    return any(
        stop.gateway == gateway and start <= stop.ended <= end
        for stop in history.stops
    )
