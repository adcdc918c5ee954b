"""Whether a request that comes while a process drains can be finished.

A process that is asked to stop has a fixed time left.  Work that outlasts it
is cut off, so a request is taken only if it will be over by then even if it
goes slowly, and is refused at once otherwise: another instance can serve it.
How long it takes is told by the last requests of its route; without them, by
the longest answer that it may have.
"""

import collections
import typing

from clementinewall.policy import engine_time

# A first event may come this many times as late as predicted, and so much
# more, before another engine is tried.
FIRST_EVENT_PATIENCE = 3.0
FIRST_EVENT_SLACK_MS = 500
# How many targets a call to a plain service may take.
CALL_TARGETS = 2.0
# Requests of a route that are remembered, and how many are enough to go by.
SEEN = 200
SEEN_ENOUGH = 20
# Of those seen, this part was over within the time that is counted with, and
# the time to be left is so many times as long.
QUANTILE = 0.99
MARGIN = 1.2


class Stream(typing.NamedTuple):
    """How long a stream may become.

    ``first_ms`` is when its first event is predicted, ``tokens_out`` the most
    tokens that it may have, ``slots`` the largest batch it may run in.
    """

    first_ms: float
    tokens_out: int
    slots: int


def stream_ms(stream):
    """Return how long a stream takes if its engine is full and slow."""
    first_ms = FIRST_EVENT_PATIENCE * stream.first_ms + FIRST_EVENT_SLACK_MS
    return first_ms + stream.tokens_out * engine_time.step_ms(stream.slots)


def call_ms(goal_ms):
    """Return how long a call to a plain service takes if it is slow."""
    return CALL_TARGETS * goal_ms


def needed_ms(limit_ms, predicted_ms, usual_ms):
    """Return the time that has to be left for a request.

    ``limit_ms`` is when it is given up anyway; ``usual_ms`` is what
    :meth:`Durations.usual_ms` says of its route.
    """
    expected = predicted_ms if usual_ms is None else usual_ms * MARGIN
    return min(limit_ms, expected)


class Durations:
    """How long the last requests of a route took."""

    def __init__(self):
        """Begin with none."""
        self._seen = collections.deque(maxlen=SEEN)

    def note(self, took_ms):
        """Take in a request that is over."""
        self._seen.append(took_ms)

    def usual_ms(self):
        """Return what nearly all stayed within; ``None`` if few were seen."""
        if len(self._seen) < SEEN_ENOUGH:
            return None
        return sorted(self._seen)[int(len(self._seen) * QUANTILE)]
