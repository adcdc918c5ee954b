"""Whether to admit a request, as a pure function.

A request whose target cannot be met anyway would only make others late.  It
is refused at once, before it is sent to any endpoint, with a time to retry.
Higher priorities may use more of the target's headroom; a caller over its fair
share may use less under load.  Each entry counts shares on its own: callers
are spread over the entries, so no shared counter is needed.
"""

import typing

FULL_HEADROOM = 1.0
LOWEST_PRIORITY_HEADROOM = 0.7
HIGHEST_PRIORITY = 9
OVER_SHARE_HEADROOM = 0.5
LARGE_SHARE = 0.25
PRESSURE = 0.4
MIN_RETRY_MS = 200
MAX_RETRY_MS = 30_000


class Demand(typing.NamedTuple):
    """A request for admission.

    ``share`` is the caller's part of the recent work at this entry and
    ``callers`` how many callers shared it.
    """

    priority: int
    share: float
    callers: int


class Decision(typing.NamedTuple):
    """Whether to admit; if not, when to retry, and why."""

    admit: bool
    retry_after_ms: int
    reason: str


def score_limit(demand):
    """Return the score up to which the demand is admitted under load."""
    part = demand.priority / HIGHEST_PRIORITY
    base = LOWEST_PRIORITY_HEADROOM + part * (
        FULL_HEADROOM - LOWEST_PRIORITY_HEADROOM
    )
    if is_over_share(demand):
        return min(base, OVER_SHARE_HEADROOM)
    return base


def is_over_share(demand):
    """Tell whether the caller uses far more than an equal share.

    An entry sees only a few requests a second, so that one long prompt is
    already a multiple of an equal share.  A caller must also use a large part
    of the total to count as flooding.
    """
    limit = max(LARGE_SHARE, 2.0 / max(1, demand.callers))
    return demand.callers > 1 and demand.share > limit


def decide(choice, demand, first_target_ms):
    """Admit or refuse the demand; ``choice`` is its best engine."""
    limit = score_limit(demand)
    if choice.score <= limit or choice.score <= PRESSURE:
        return Decision(True, 0, "within target")
    excess = (choice.score - limit) * first_target_ms
    retry = int(min(MAX_RETRY_MS, max(MIN_RETRY_MS, excess)))
    why = "over its share" if is_over_share(demand) else "target in danger"
    return Decision(False, retry, f"{why}: {choice.score:.2f} > {limit:.2f}")
