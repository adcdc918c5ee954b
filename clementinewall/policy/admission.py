"""Whether to take a request at all, as a pure function.

A request whose target cannot be met anyway would only make others late.  It
is refused at once, before any endpoint hears of it, with when to come back.
Higher priorities may use more of the target's room; a caller over its fair
share may use less while there is pressure.  Shares are counted at each entry
by itself: callers spread over the entries, so no shared counter is needed.
"""

import typing

FULL_ROOM = 1.0
LOWEST_PRIORITY_ROOM = 0.7
HIGHEST_PRIORITY = 9
OVER_SHARE_ROOM = 0.5
LARGE_SHARE = 0.25
PRESSURE = 0.4
MIN_RETRY_MS = 200
MAX_RETRY_MS = 30_000


class Demand(typing.NamedTuple):
    """What asks for admission.

    ``share`` is the caller's part of the recent work at this entry and
    ``callers`` how many callers shared it.
    """

    priority: int
    share: float
    callers: int


class Decision(typing.NamedTuple):
    """Whether to admit; if not, when to come back, and why."""

    admit: bool
    retry_after_ms: int
    reason: str


def room(demand):
    """Return the score up to which the demand is admitted."""
    part = demand.priority / HIGHEST_PRIORITY
    base = LOWEST_PRIORITY_ROOM + part * (FULL_ROOM - LOWEST_PRIORITY_ROOM)
    if is_over_share(demand):
        return min(base, OVER_SHARE_ROOM)
    return base


def is_over_share(demand):
    """Tell whether the caller takes far more than an equal part.

    An entry sees only a few requests a second, so that one long prompt is
    already a multiple of an equal part.  A caller must take a large part of
    the whole as well to count as flooding.
    """
    limit = max(LARGE_SHARE, 2.0 / max(1, demand.callers))
    return demand.callers > 1 and demand.share > limit


def decide(choice, demand, first_target_ms):
    """Admit or refuse the demand for which ``choice`` is the best."""
    limit = room(demand)
    if choice.score <= limit or choice.score <= PRESSURE:
        return Decision(True, 0, "within target")
    excess = (choice.score - limit) * first_target_ms
    retry = int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess)))
    why = "over its share" if is_over_share(demand) else "target in danger"
    return Decision(False, retry, f"{why}: {choice.score:.2f} > {limit:.2f}")
