"""Which requests a draining process accepts.

A process that is asked to stop has a fixed time left.  Work that takes longer
is cut off, so a request is accepted only if it ends by then, and is refused
at once otherwise: another instance can serve it.  The request's own time limit
always holds; an estimate of its duration may be too short, so it counts only
early in the drain.
"""

import collections
import math
import typing

from clementinewall.policy import engine_time

# Time-out of the first event before another engine is tried: this multiple of
# the predicted time, plus the slack.
FIRST_EVENT_TIMEOUT_FACTOR = 3.0
FIRST_EVENT_SLACK_MS = 500
# Requests that come after this fraction of the drain must not be cut at all.
# Operators excuse only the cut of requests sent soon after the stop signal.
ESTIMATE_FRACTION = 0.3
# Assumed longest duration of a call to a plain service, in targets.
MAX_CALL_TARGETS = 2.0
# Samples kept per route, and how many are needed for an estimate.
MAX_SAMPLES = 200
MIN_SAMPLES = 20
# The estimate is this quantile of the samples, times the margin.
QUANTILE = 0.99
MARGIN = 1.1


class Stream(typing.NamedTuple):
    """What bounds the duration of a stream.

    ``first_ms`` is the predicted time to its first event, ``tokens_out`` the
    maximum number of tokens, 0 if it isn't known, ``slots`` the largest batch
    that it may run in.
    """

    first_ms: float
    tokens_out: int
    slots: int


class Request(typing.NamedTuple):
    """What decides whether a draining process accepts a request.

    ``slow_ms`` estimates how long it takes when slow, ``caller_left_ms`` is
    the time left by its own limits, ``arrival_ms`` how long after the stop
    signal it came, negative if before.
    """

    slow_ms: float
    caller_left_ms: float
    arrival_ms: float


def can_finish(request, left_ms, drain_ms):
    """Tell whether a request ends before the process, in ``left_ms``.

    ``drain_ms`` is the time from the stop signal to that end.
    """
    if request.caller_left_ms <= left_ms:
        return True
    is_early = request.arrival_ms <= ESTIMATE_FRACTION * drain_ms
    return is_early and request.slow_ms <= left_ms


def stream_ms(stream, usual=None):
    """Return how long a slow stream takes, in ms.

    ``usual`` is the quantile of the route's :class:`DurationRatios`, as a
    fraction of :func:`longest_run_ms`.
    """
    first_ms = (
        FIRST_EVENT_TIMEOUT_FACTOR * stream.first_ms + FIRST_EVENT_SLACK_MS
    )
    run_ms = longest_run_ms(stream.tokens_out, stream.slots)
    return first_ms + _scaled(run_ms, usual)


def longest_run_ms(tokens_out, slots):
    """Return how long the longest answer takes after its first event, in ms.

    It is infinite if the number of tokens isn't known.
    """
    if not tokens_out:
        return math.inf
    return tokens_out * engine_time.step_ms(slots)


def call_ms(goal_ms, usual=None):
    """Return how long a slow call to a plain service takes, in ms.

    ``usual`` is the quantile of the route's :class:`DurationRatios`, as a
    fraction of :func:`longest_call_ms`.
    """
    return _scaled(longest_call_ms(goal_ms), usual)


def longest_call_ms(goal_ms):
    """Return how long a call may take without samples, in ms."""
    return MAX_CALL_TARGETS * goal_ms


def _scaled(longest_ms, usual):
    return longest_ms if usual is None else longest_ms * usual * MARGIN


class DurationRatios:
    """Durations of a route's last requests, as fractions of the longest."""

    def __init__(self):
        """Begin without samples."""
        self._samples = collections.deque(maxlen=MAX_SAMPLES)

    def record(self, took_ms, longest_ms):
        """Record a request that was answered."""
        if longest_ms and longest_ms < math.inf:
            self._samples.append(took_ms / longest_ms)

    def quantile(self):
        """Return the quantile; ``None`` if there are too few samples."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        return sorted(self._samples)[int(len(self._samples) * QUANTILE)]
