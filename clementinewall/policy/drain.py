"""How long a request may take, to be begun before a process ends.

A process that is asked to stop has a fixed time left.  Work that outlasts it
is cut off, so a request is taken only if it will be over by then even if it
goes slowly, and is refused at once otherwise: another instance can serve it.
"""

import collections
import math
import typing

from clementinewall.policy import engine_time

# A first event may come this many times as late as predicted, and so much
# more, before another engine is tried.
FIRST_EVENT_PATIENCE = 3.0
FIRST_EVENT_SLACK_MS = 500
# How many targets a call to a plain service may take.
CALL_TARGETS = 2.0
# Requests of a route that are remembered, and how many are enough to go by.
MAX_SAMPLES = 200
MIN_SAMPLES = 20
# This part of those seen took no longer than what is counted with.
QUANTILE = 0.99
MARGIN = 1.1


class Stream(typing.NamedTuple):
    """How long a stream may become.

    ``first_ms`` is when its first event is predicted, ``tokens_out`` the most
    tokens that it may have, 0 if that isn't known, ``slots`` the largest
    batch that it may run in.
    """

    first_ms: float
    tokens_out: int
    slots: int


def stream_ms(stream, usual=None):
    """Return how long a stream takes if it goes slowly.

    ``usual`` is the quantile of the route's :class:`DurationRatios`, as a
    fraction of :func:`longest_run_ms`.
    """
    first_ms = FIRST_EVENT_PATIENCE * stream.first_ms + FIRST_EVENT_SLACK_MS
    run_ms = longest_run_ms(stream.tokens_out, stream.slots)
    return first_ms + _scaled(run_ms, usual)


def longest_run_ms(tokens_out, slots):
    """Return how long the longest answer takes after its first event."""
    if not tokens_out:
        return math.inf
    return tokens_out * engine_time.step_ms(slots)


def call_ms(goal_ms, usual=None):
    """Return how long a call to a plain service takes if it is slow.

    ``usual`` is the quantile of the route's :class:`DurationRatios`, as a
    fraction of :func:`longest_call_ms`.
    """
    return _scaled(longest_call_ms(goal_ms), usual)


def longest_call_ms(goal_ms):
    """Return how long a call may take as long as nothing else is known."""
    return CALL_TARGETS * goal_ms


def _scaled(longest_ms, usual):
    return longest_ms if usual is None else longest_ms * usual * MARGIN


class DurationRatios:
    """What the last requests of a route took, as parts of the longest."""

    def __init__(self):
        """Begin with none."""
        self._seen = collections.deque(maxlen=MAX_SAMPLES)

    def record(self, took_ms, longest_ms):
        """Take in a request that was answered."""
        if longest_ms and longest_ms < math.inf:
            self._seen.append(took_ms / longest_ms)

    def quantile(self):
        """Return what nearly all stayed within; ``None`` if few were seen."""
        if len(self._seen) < MIN_SAMPLES:
            return None
        return sorted(self._seen)[int(len(self._seen) * QUANTILE)]
