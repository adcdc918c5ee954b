"""Which engine should change its role, as a pure function.

The work of a model is a demand for prompt work and for decoding, both in
engines kept busy by it.  A split of the engines over the roles serves a
part of that demand.  A change is proposed only where the answers gained over
the horizon outweigh those lost while the engine is away and the published
price of a change, under both the short and the long view of the demand: a
swing that is over before a change pays shows in the short view only.
"""

import typing

ROLES = ("mixed", "prefill", "decode")
SPECIAL_COST = 0.8
FOREIGN_COST = 3.0
# On a mixed engine prompt work holds up the tokens of the other streams by
# this part, for as long as there is any.
MIXED_SLOWDOWN = 0.5
POOL_LOSS = 0.3
# A gain must beat its cost by this factor, and be this part of the answers
# at least, or noise in the demand would turn engines back and forth.
CLEAR_GAIN = 2.0
LEAST_GAIN = 0.03
# After a change, its effect must show in the long view before the next.
SETTLE_CHANGES = 4
BISECTIONS = 24


class EngineView(typing.NamedTuple):
    """An engine as the planner sees it."""

    id: str
    role: str
    is_away: bool = False
    may_change: bool = True
    running: int = 0


class Demand(typing.NamedTuple):
    """Work per second in engines kept busy, and answers per second."""

    prefill: float
    decode: float
    answers: float


class Proposal(typing.NamedTuple):
    """A change of role, with the expected answers gained and lost."""

    engine: str
    role: str
    gain: float
    cost: float
    reason: str


def served(counts, demand):
    """Return the part of the demand that a split of engines serves.

    ``counts`` is a map from role to the number of engines.
    """
    low, high = 0.0, 1.0
    if _fits(counts, demand, 1.0):
        return 1.0
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _fits(counts, demand, middle):
            low = middle
        else:
            high = middle
    return low


def propose(engines, short, long, policy, since_change_ms):
    """Return the change that is worth most, or ``None``.

    ``short`` and ``long`` are the demand over a short and a long while.
    """
    if any(engine.is_away for engine in engines):
        # One change at a time: the demand on the others shows the effect
        # of a change only after it.
        return None
    if since_change_ms < policy.change_ms * SETTLE_CHANGES:
        return None
    best = None
    for engine, role in _moves(engines, policy):
        proposal = _weigh(engines, engine, role, short, long, policy)
        if proposal is not None and _is_better(proposal, best):
            best = proposal
    return best


def count_roles(engines):
    """Return the number of engines by role."""
    counts = dict.fromkeys(ROLES, 0)
    for engine in engines:
        counts[engine.role] += 1
    return counts


def _fits(counts, demand, part):
    """Tell whether a split of engines serves ``part`` of the demand."""
    prefill = demand.prefill * part * SPECIAL_COST
    decode = demand.decode * part * SPECIAL_COST
    prefill_left = _usable(counts["prefill"]) - prefill
    decode_left = _usable(counts["decode"]) - decode
    rest_prefill = max(0.0, -prefill_left) / SPECIAL_COST
    rest_decode = max(0.0, -decode_left) / SPECIAL_COST
    mixed = _usable(counts["mixed"])
    busy = min(1.0, rest_prefill / mixed) if mixed else 1.0
    rest = rest_prefill + rest_decode * (1 + MIXED_SLOWDOWN * busy)
    idle = max(0.0, prefill_left) + max(0.0, decode_left)
    return rest - mixed <= idle / FOREIGN_COST


def _usable(count):
    """Return how many engines' time a pool can use and answer in time.

    Work comes in at random, so that a pool of one must idle more than a
    pool of many to keep its queue short.  This is what speaks against
    cutting a small fleet into roles.
    """
    return count - POOL_LOSS * count**0.5


def _moves(engines, policy):
    """Yield the changes that keep the floors, an idle engine first."""
    seen = set()
    for engine in sorted(engines, key=lambda e: (e.running, e.id)):
        for role in ROLES:
            move = (engine.role, role)
            if role == engine.role or move in seen or not engine.may_change:
                continue
            counts = count_roles(engines)
            counts[engine.role] -= 1
            counts[role] += 1
            if _keeps_floors(counts, policy):
                seen.add(move)
                yield engine, role


def _keeps_floors(counts, policy):
    prefill = counts["prefill"] + counts["mixed"]
    decode = counts["decode"] + counts["mixed"]
    return prefill >= policy.min_prefill and decode >= policy.min_decode


def _weigh(engines, engine, role, short, long, policy):
    now = count_roles(engines)
    without = {**now, engine.role: now[engine.role] - 1}
    then = {**without, role: without[role] + 1}
    if served(then, short) < served(now, short):
        return None
    better = served(then, long) - served(now, long)
    change_s = policy.change_ms / 1_000
    stays_s = max(0.0, policy.horizon_ms / 1_000 - change_s)
    gain = better * long.answers * stays_s
    away = served(now, short) - served(without, short)
    cost = away * short.answers * change_s + policy.change_price * change_s
    if better < LEAST_GAIN or gain <= cost * CLEAR_GAIN:
        return None
    reason = f"serves {served(then, long):.2f} not {served(now, long):.2f}"
    return Proposal(engine.id, role, gain, cost, reason)


def _is_better(proposal, best):
    if best is None:
        return True
    return proposal.gain - proposal.cost > best.gain - best.cost


class Forecast:
    """Smooths measured demand into the short and the long view."""

    SHORT_MS = 10_000
    LONG_MS = 60_000

    def __init__(self):
        """Begin without any demand seen."""
        self.short = None
        self.long = None

    def add(self, demand, elapsed_ms):
        """Take in the demand measured over the last ``elapsed_ms``."""
        self.short = _blend(self.short, demand, elapsed_ms / self.SHORT_MS)
        self.long = _blend(self.long, demand, elapsed_ms / self.LONG_MS)


def _blend(old, new, part):
    if old is None:
        return new
    part = min(1.0, part)
    return Demand(
        *(before + part * (now - before) for before, now in zip(old, new))
    )
