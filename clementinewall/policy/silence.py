"""How long an endpoint may send nothing before another one takes over.

Sound endpoints pause at times, so silence does not show that one is dead.  A
dead one must still be left early enough for another to answer, or to send the
next event before the caller abandons the stream.
"""

import typing

# Callers abandon a stream after the longest of these pauses.
CALLER_PAUSE_MS = 2_000
CALLER_PAUSE_GOALS = 4
CALLER_PAUSE_GAPS = 8
# A sound endpoint may send nothing for about a second.
SOUND_SILENCE_MS = 1_500
# The first event of an engine may take this multiple of its predicted time.
FIRST_EVENT_FACTOR = 3.0
# A takeover takes the predicted time to a first event, which is short by up to
# this factor, and the slack.
TAKEOVER_FACTOR = 2.0
TAKEOVER_SLACK_MS = 100
# A call to a plain service may take this fraction of its time at an endpoint,
# and more to bear a pause, so that one that hangs leaves time for another.
CALL_FRACTION = 0.5
MAX_CALL_FRACTION = 0.75


class Timeouts(typing.NamedTuple):
    """How long an engine may send nothing, in ms.

    ``first_ms`` holds up to its first event and ``next_ms`` after it.
    """

    first_ms: float
    next_ms: float


def stream_timeouts(route, predicted_ms):
    """Return the :class:`Timeouts` of an engine for a stream of ``route``.

    ``predicted_ms`` is the predicted time to the first event.
    """
    takeover_ms = TAKEOVER_FACTOR * predicted_ms + TAKEOVER_SLACK_MS
    next_ms = max(SOUND_SILENCE_MS, caller_pause_ms(route) - takeover_ms)
    return Timeouts(max(next_ms, FIRST_EVENT_FACTOR * predicted_ms), next_ms)


def call_timeout_ms(left_ms):
    """Return how long the endpoint of a call may send nothing, in ms.

    ``left_ms`` is the time that the call has left.
    """
    sound_ms = min(SOUND_SILENCE_MS, MAX_CALL_FRACTION * left_ms)
    return max(CALL_FRACTION * left_ms, sound_ms)


def caller_pause_ms(route):
    """Return after which pause a caller abandons a stream of ``route``."""
    return max(
        CALLER_PAUSE_MS,
        CALLER_PAUSE_GOALS * route.goal_ms,
        CALLER_PAUSE_GAPS * route.gap_goal_ms,
    )
