"""Whether an overloaded service admits a model request; pure functions.

The placement predicts when a request's first event would come.  While the
engines can't serve all requests in time, this module decides which of them
are served, served late or refused.  Each group of requests (a customer, or a
caller where there are none, at one priority) is entitled to a part of what is
admitted.  A minimum for each group comes first, then higher priorities, then
an even split.
"""

import typing

SERVE = "serve"
SERVE_LATE = "serve late"
REFUSE = "refuse"

# Each group is entitled to at least this fraction of the mean rate at which
# requests are admitted.  It exceeds the half that is promised, since counts of
# a few seconds are inexact.
MIN_RATE_FRACTION = 0.6
# Each customer is entitled to at least this fraction of an even split; it
# exceeds the quarter that is promised for the same reason.
MIN_EVEN_FRACTION = 0.3
# Large prompts are admitted late if the rate of their size falls below this
# fraction of that of all; half is promised.
MIN_LARGE_RATE_FRACTION = 0.65
MIN_LARGE_DEFICIT = 0.5
# Fewer requests than this don't show that a group is underserved.
MIN_DEFICIT = 2.0
# From this fraction of requests without room in time on, entitlements count
# in full; below, proportionally less.
FULL_PRESSURE = 0.1
# Above this pressure a late answer takes engine time from one in time.
MAX_LATE_PRESSURE = 0.1
# Fraction of the time to the deadline that the prediction of a late answer
# may use: more urgent work that comes later goes before it.
LATE_DEADLINE_FRACTION = 0.7
# Requests of a group that exceeds its entitlement are refused with a
# probability of this factor times the excess.
EXCESS_FACTOR = 5.0
# For callers that return after a refusal: their excess is reduced by this
# factor, and more of the time to the target may be used.
RETURN_RATIO_FACTOR = 0.9
RETURN_TARGET_FRACTION = 0.9
# A repeat before its time is served only if the wait is below this fraction
# of the time to the target.
REPEAT_WAIT_FRACTION = 0.1
# With a wait below this fraction of the time to the target an engine counts as
# idle, and a group may exceed its entitlement.
IDLE_WAIT_FRACTION = 0.05
# Bounds the wait that is predicted behind higher priorities.
MAX_OVERTAKEN = 0.8
MIN_RETRY_MS = 50
MAX_RETRY_MS = 2_000
# Callers are spread over up to this multiple of the time until there is room.
MAX_BACKLOG = 4.0
# Priorities from here on are equally low.
LOWEST_PRIORITY = 4


class Standing(typing.NamedTuple):
    """What a group of requests asked for and was admitted, lately.

    ``entitled`` is its part of the admissions of all, ``minimum`` the part
    that it gets before any other group gets more.
    """

    asked: float = 0.0
    admitted: float = 0.0
    entitled: float = 0.0
    minimum: float = 0.0
    # Fraction of the admissions of all that has a higher priority.
    overtaken: float = 0.0

    @property
    def ratio(self):
        """Return the admissions as a multiple of the entitlement.

        A single request isn't an excess.
        """
        return self.admitted / max(1.0, self.entitled)

    @property
    def is_underserved(self):
        """Tell whether the group lacks at least a request of its minimum."""
        return self.minimum - self.admitted >= MIN_DEFICIT


class Request(typing.NamedTuple):
    """A request with its best placement option.

    ``first_ms`` is when the first event is predicted, ``None`` if no engine
    takes work; ``wait_ms`` is the part of it spent in the engine's queue, and
    ``is_in_time`` tells that placement expects it in time, ``slack_ms`` how
    much longer it may wait then. ``left_ms`` is the time to the target,
    ``deadline_ms`` that to the deadline, ``room_ms`` when room is expected.
    ``is_return`` tells that the caller returns after a refusal as advised,
    ``is_repeat`` that it returns earlier. ``is_large_underserved`` marks one
    of the largest prompts if too few of them were served.
    """

    first_ms: float | None
    wait_ms: float
    is_in_time: bool
    left_ms: float
    deadline_ms: float
    room_ms: float
    priority: int
    standing: Standing
    slack_ms: float = 0.0
    is_return: bool = False
    is_repeat: bool = False
    is_large_underserved: bool = False


class Load(typing.NamedTuple):
    """How loaded the service is.

    ``pressure`` is the fraction of recent requests for which there was no
    room in time, ``backlog`` the number of refusals per admission.
    """

    pressure: float = 0.0
    backlog: float = 0.0


class Decision(typing.NamedTuple):
    """What is done with a request, why, and when to retry if refused."""

    action: str
    reason: str
    retry_ms: int = 0


def decide(request, load, chance, spread):
    """Decide on a request.

    ``chance`` and ``spread`` are random numbers from 0 to 1: whether it is
    refused in favour of others, and where in its time span it may retry.
    """
    reason = _refusal_reason(request, load, chance)
    if reason is None:
        return Decision(SERVE, "in time")
    if reason == "no time":
        late = _late_reason(request, load)
        if late is not None:
            return Decision(SERVE_LATE, late)
    return refuse(request, load, reason, spread)


def refuse(request, load, reason, spread):
    """Return the decision to refuse a request."""
    return Decision(REFUSE, reason, _retry_ms(request, load, spread))


def _is_in_time(request):
    """Tell whether the answer is in time although others overtake it.

    Engines take prompts of higher priority first, also those that come later.
    """
    if not request.is_in_time:
        return False
    overtaken = min(MAX_OVERTAKEN, request.standing.overtaken)
    limit_ms = request.wait_ms + request.slack_ms
    return request.wait_ms / (1.0 - overtaken) <= limit_ms


def is_late_in_time(request, option):
    """Tell whether a late answer by this option precedes the deadline."""
    return option.first_ms <= request.deadline_ms * LATE_DEADLINE_FRACTION


def _refusal_reason(request, load, chance):
    """Return why a request isn't served in time, or ``None`` if it is."""
    if request.first_ms is None:
        return "no engine"
    if request.first_ms >= request.deadline_ms:
        return "deadline"
    strength = min(1.0, load.pressure / FULL_PRESSURE)
    if request.is_repeat and strength >= 1.0:
        if request.wait_ms > request.left_ms * REPEAT_WAIT_FRACTION:
            return "repeat"
    limit_ms = request.left_ms * RETURN_TARGET_FRACTION
    is_return_in_time = request.is_return and request.first_ms <= limit_ms
    if not _is_in_time(request) and not is_return_in_time:
        return "no time"
    if request.standing.is_underserved or request.is_large_underserved:
        return None
    if request.wait_ms <= request.left_ms * IDLE_WAIT_FRACTION:
        # An engine that is idle now serves nobody else any sooner.
        return None
    ratio = request.standing.ratio
    if request.is_return:
        ratio *= RETURN_RATIO_FACTOR
    if chance < strength * EXCESS_FACTOR * (ratio - 1.0):
        return "over share"
    return None


def _late_reason(request, load):
    """Return why a request is served late, or ``None`` if it isn't."""
    if request.is_repeat:
        return None
    if request.standing.is_underserved:
        return "underserved"
    if request.is_large_underserved:
        return "large"
    if load.pressure < MAX_LATE_PRESSURE and is_late_in_time(request, request):
        return "late"
    return None


def _retry_ms(request, load, spread):
    """Return when to retry: the most urgent first, spread over the backlog."""
    room_ms = max(MIN_RETRY_MS, request.room_ms)
    span_ms = room_ms * min(MAX_BACKLOG, load.backlog)
    level = min(LOWEST_PRIORITY, max(0, request.priority))
    begin = level / (LOWEST_PRIORITY + 1)
    part = begin + spread * (1.0 - begin)
    if request.is_return:
        part /= 2
    return int(min(MAX_RETRY_MS, room_ms + span_ms * part))


class Demand(typing.NamedTuple):
    """What one customer or caller asked for at one priority.

    ``asked`` excludes returns and repeats after a refusal, so that these don't
    raise an entitlement.
    """

    owner: str
    priority: int
    asked: float
    admitted: float


def standings(demands):
    """Return the :class:`Standing` of each group by owner and priority.

    What was admitted to all is split: first each group's minimum, then by
    priority, and within one priority evenly among owners, up to what each
    asked for.
    """
    room = sum(demand.admitted for demand in demands)
    asked = sum(demand.asked for demand in demands)
    asked_by_owner = {}
    for demand in demands:
        asked_by_owner.setdefault(demand.owner, 0.0)
        asked_by_owner[demand.owner] += demand.asked
    even = room / max(1, len(asked_by_owner))
    rate = min(1.0, room / asked) if asked else 1.0
    minimums = []
    for demand in demands:
        part = demand.asked / max(1e-9, asked_by_owner[demand.owner])
        minimum = max(
            MIN_EVEN_FRACTION * even * part,
            MIN_RATE_FRACTION * rate * demand.asked,
        )
        minimums.append(min(demand.asked, minimum))
    left = max(0.0, room - sum(minimums))
    found = {}
    higher = 0.0
    for priority in sorted({demand.priority for demand in demands}):
        group = [
            (demand, minimum)
            for demand, minimum in zip(demands, minimums, strict=True)
            if demand.priority == priority
        ]
        level = _level(group, left)
        for demand, minimum in group:
            entitled = max(minimum, min(demand.asked, level))
            left -= entitled - minimum
            found[demand.owner, priority] = Standing(
                demand.asked,
                demand.admitted,
                entitled,
                minimum,
                higher / room if room else 0.0,
            )
        higher += sum(demand.admitted for demand, _ in group)
        left = max(0.0, left)
    return found


def _level(group, left):
    """Return up to which number each of a group's demands is met.

    ``left`` is what there is beyond the minimums.
    """
    # Above its minimum, a group takes from the level up to what it asked for.
    steps = sorted(
        [(minimum, 1) for _, minimum in group]
        + [(demand.asked, -1) for demand, _ in group]
    )
    level = 0.0
    takers = 0
    for value, change in steps:
        needed = takers * (value - level)
        if needed > left:
            return level + left / takers
        left -= needed
        level = value
        takers += change
    return level
