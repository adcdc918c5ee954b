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
# Streams that end before an engine is empty take about this long.
DRAIN_S = 6.0
WHOLE_SEARCH = 12
NEAR_SEARCH = 2
LONGEST_PATIENCE = 16.0
SHORT_MS = 10_000
LONG_MS = 60_000
SHORTFALL_MS = 20_000
MIX_MOVED = 0.15
LONGEST_HORIZON_MS = 1_800_000
LEAST_SERVED = 0.2
BISECTIONS = 24


class EngineView(typing.NamedTuple):
    """An engine as the planner sees it."""

    id: str
    role: str
    is_unavailable: bool = False
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


def propose(engines, short, long, policy, shortfall, horizon_ms):
    """Return the change that is worth most, or ``None``.

    ``short`` and ``long`` are the demand over a short and a long while,
    ``shortfall`` the part of the requests that lately missed their target:
    no change can gain more than that, whatever the estimate says.  The gain
    counts over ``horizon_ms``.
    """
    if any(engine.is_unavailable for engine in engines):
        # One change at a time: the demand on the others shows the effect
        # of a change only after it.
        return None
    best = None
    for then in _targets(engines, policy):
        proposal = _weigh(
            engines, then, short, long, policy, shortfall, horizon_ms
        )
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


def _targets(engines, policy):
    """Yield the splits to weigh, as maps from role to number of engines.

    A good split may be several changes away with none of the first ones
    worth it alone.  In a large pool only splits a few changes away are
    weighed; more follow when those are done.
    """
    now = count_roles(engines)
    total = len(engines)
    reach = total if total <= WHOLE_SEARCH else NEAR_SEARCH
    for prefill in _near(now["prefill"], reach, total):
        for decode in _near(now["decode"], reach, total):
            mixed = total - prefill - decode
            then = {"mixed": mixed, "prefill": prefill, "decode": decode}
            if mixed >= 0 and then != now and _keeps_floors(then, policy):
                yield then


def _near(count, reach, total):
    return range(max(0, count - reach), min(total, count + reach) + 1)


def _keeps_floors(counts, policy):
    prefill = counts["prefill"] + counts["mixed"]
    decode = counts["decode"] + counts["mixed"]
    return prefill >= policy.min_prefill and decode >= policy.min_decode


def _weigh(engines, then, short, long, policy, shortfall, horizon_ms):
    """Return the first change towards ``then`` if all of them pay."""
    now = count_roles(engines)
    move = _first_move(engines, now, then)
    if move is None or served(then, short) < served(now, short):
        return None
    engine, role = move
    steps = sum(max(0, then[name] - now[name]) for name in ROLES)
    # What the present split serves is known from its misses; only the
    # other split's part is an estimate.
    better = served(then, long) - max(served(now, long), 1 - shortfall)
    change_s = policy.change_ms / 1_000
    away_s = steps * (change_s + DRAIN_S)
    stays_s = max(0.0, horizon_ms / 1_000 - away_s)
    gain = better * long.answers * stays_s
    without = {**now, engine.role: now[engine.role] - 1}
    lost = served(now, short) - served(without, short)
    price = policy.change_price * change_s * steps
    cost = lost * short.answers * away_s + price
    if better < LEAST_GAIN or gain <= cost * CLEAR_GAIN:
        return None
    reason = (
        f"{then['prefill']}p{then['mixed']}m{then['decode']}d serves "
        f"{served(then, long):.2f}, now missed {shortfall:.2f}"
    )
    return Proposal(engine.id, role, gain, cost, reason)


def _first_move(engines, now, then):
    """Return the engine to change first and its role, an idle one first."""
    surplus = {r: now[r] - then[r] for r in ROLES}
    new = min(ROLES, key=lambda r: surplus[r])
    able = [e for e in engines if surplus[e.role] > 0 and e.may_change]
    if not able:
        return None
    able.sort(key=lambda e: (-surplus[e.role], e.running, e.id))
    return able[0], new


def _is_better(proposal, best):
    if best is None:
        return True
    return proposal.gain - proposal.cost > best.gain - best.cost


class ModelPlan:
    """The planning of one model's roles, from round to round.

    Beside the smoothed demand it keeps how well the last change did.  A
    change that left the shortfall where it was doubles the wait before the
    next one: where the mix swings faster than changes pay, the system soon
    leaves the roles alone.
    """

    def __init__(self, now):
        """Begin at ``now`` without any demand seen."""
        self.short = None
        self.long = None
        self.shortfall = 0.0
        self._changed_at = now
        self._before = None
        self._patience = 1.0
        self._mix = None
        self._mix_since = now

    def record_demand(self, demand, offered, good, elapsed_ms):
        """Take in what the last ``elapsed_ms`` brought."""
        self.short = _blend(self.short, demand, elapsed_ms / SHORT_MS)
        self.long = _blend(self.long, demand, elapsed_ms / LONG_MS)
        if offered:
            missed = max(0.0, 1 - good / offered)
            part = min(1.0, elapsed_ms / SHORTFALL_MS)
            self.shortfall += part * (missed - self.shortfall)

    def next_change(self, engines, policy, now):
        """Return the change to make now, or ``None``."""
        wait = policy.change_ms * SETTLE_CHANGES * self._patience
        if self.long is None or now - self._changed_at < wait:
            return None
        self._judge_last_change()
        # What was refused left no work behind to be measured.  Without this
        # an overloaded fleet looks as if another split could serve it all.
        share = max(LEAST_SERVED, 1 - self.shortfall)
        return propose(
            engines,
            _scaled(self.short, 1 / share),
            _scaled(self.long, 1 / share),
            policy,
            self.shortfall,
            self._horizon(policy, now),
        )

    def record_change(self, now):
        """Note that a change was begun."""
        self._changed_at = now
        self._before = self.shortfall

    def _horizon(self, policy, now):
        """Return how long a change may be expected to be of use.

        A mix that has stood for long is expected to stand as long again.
        """
        mix = _mix(self.short)
        if self._mix is None or abs(mix - self._mix) > MIX_MOVED:
            self._mix = mix
            self._mix_since = now
        stood = min(LONGEST_HORIZON_MS, now - self._mix_since)
        return max(policy.horizon_ms, stood)

    def _judge_last_change(self):
        if self._before is None:
            return
        if self._before - self.shortfall < LEAST_GAIN / 2:
            self._patience = min(LONGEST_PATIENCE, self._patience * 2)
        else:
            self._patience = max(1.0, self._patience / 2)
        self._before = None


def _scaled(demand, factor):
    return Demand(
        demand.prefill * factor,
        demand.decode * factor,
        demand.answers * factor,
    )


def _mix(demand):
    total = demand.prefill + demand.decode
    return demand.prefill / total if total else 0.0


def _blend(old, new, part):
    if old is None:
        return new
    part = min(1.0, part)
    return Demand(
        *(before + part * (now - before) for before, now in zip(old, new))
    )
