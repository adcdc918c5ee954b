"""Which engine should change its role, as a pure function.

The load of a model is a demand for prefill and for decode, both in engines
kept busy by it.  A split of the engines over the roles serves a fraction of
that demand.  A change is proposed only if the answers gained over the horizon
outweigh those lost while the engine is unavailable and the published price of
a change, under both the short and the long average of the demand: a swing that
ends before a change pays shows in the short average only.
"""

import typing

ROLES = ("mixed", "prefill", "decode")
SPECIALIZED_COST = 0.8
OFF_ROLE_COST = 3.0
# On a mixed engine prefill slows the decode of other streams by this fraction,
# while there is any.
MIXED_SLOWDOWN = 0.5
POOL_LOSS = 0.3
# A gain must exceed its cost by this factor, and be at least this fraction of
# the answers, or noise in the demand would change engines back and forth.
MIN_GAIN_PER_COST = 2.0
MIN_GAIN_FRACTION = 0.03
# Wait after a change, in times of a change: its effect must show in the long
# average before the next one.
SETTLE_CHANGES = 4
# Approximate time until the streams of a quiesced engine have ended.
DRAIN_S = 6.0
FULL_SEARCH_ENGINES = 12
NEAR_SEARCH_CHANGES = 2
MAX_BACKOFF = 16.0
SHORT_WINDOW_MS = 10_000
LONG_WINDOW_MS = 60_000
SHORTFALL_WINDOW_MS = 20_000
MIN_MIX_CHANGE = 0.15
MAX_HORIZON_MS = 1_800_000
MIN_SERVED_FRACTION = 0.2
BISECTIONS = 24


class EngineView(typing.NamedTuple):
    """An engine as the planner sees it."""

    id: str
    role: str
    is_unavailable: bool = False
    may_change: bool = True
    running: int = 0


class Demand(typing.NamedTuple):
    """Prefill and decode in engines kept busy, and answers per second."""

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
    """Return the fraction of the demand that a split of engines serves.

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
    """Return the change with the largest net gain, or ``None``.

    ``short`` and ``long`` are short and long averages of the demand,
    ``shortfall`` the fraction of recent requests that missed their target: no
    change can gain more than that, whatever the estimate says.  The gain is
    counted over ``horizon_ms``.
    """
    if any(engine.is_unavailable for engine in engines):
        # One change at a time: its effect shows in the demand on the other
        # engines only after it.
        return None
    best = None
    for then in _targets(engines, policy):
        proposal = _evaluate(
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


def _fits(counts, demand, fraction):
    """Tell whether a split of engines serves this fraction of the demand."""
    prefill = demand.prefill * fraction * SPECIALIZED_COST
    decode = demand.decode * fraction * SPECIALIZED_COST
    prefill_left = _usable(counts["prefill"]) - prefill
    decode_left = _usable(counts["decode"]) - decode
    mixed_prefill = max(0.0, -prefill_left) / SPECIALIZED_COST
    mixed_decode = max(0.0, -decode_left) / SPECIALIZED_COST
    mixed = _usable(counts["mixed"])
    busy = min(1.0, mixed_prefill / mixed) if mixed else 1.0
    mixed_work = mixed_prefill + mixed_decode * (1 + MIXED_SLOWDOWN * busy)
    idle = max(0.0, prefill_left) + max(0.0, decode_left)
    return mixed_work - mixed <= idle / OFF_ROLE_COST


def _usable(count):
    """Return how many engines' time a pool can use and answer in time.

    Work arrives at random, so that a pool of one must idle more than a pool
    of many to keep its queue short.  This makes splitting a small fleet into
    roles expensive.
    """
    return count - POOL_LOSS * count**0.5


def _targets(engines, policy):
    """Yield the splits to evaluate, as maps from role to number of engines.

    A good split may be several changes away with none of the first ones
    worth it alone.  In a large pool only splits a few changes away are
    evaluated; more follow when those are done.
    """
    now = count_roles(engines)
    total = len(engines)
    reach = total if total <= FULL_SEARCH_ENGINES else NEAR_SEARCH_CHANGES
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


def _evaluate(engines, then, short, long, policy, shortfall, horizon_ms):
    """Return the first change towards ``then`` if all of them pay."""
    now = count_roles(engines)
    move = _first_move(engines, now, then)
    if move is None or served(then, short) < served(now, short):
        return None
    engine, role = move
    steps = sum(max(0, then[name] - now[name]) for name in ROLES)
    # What the present split serves is known from its misses; only that of the
    # other split is an estimate.
    gained_fraction = served(then, long) - max(
        served(now, long), 1 - shortfall
    )
    change_s = policy.change_ms / 1_000
    away_s = steps * (change_s + DRAIN_S)
    stays_s = max(0.0, horizon_ms / 1_000 - away_s)
    gain = gained_fraction * long.answers * stays_s
    without = {**now, engine.role: now[engine.role] - 1}
    lost = served(now, short) - served(without, short)
    price = policy.change_price * change_s * steps
    cost = lost * short.answers * away_s + price
    if gained_fraction < MIN_GAIN_FRACTION or gain <= cost * MIN_GAIN_PER_COST:
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
    """The state of one model's role planning between passes.

    Beside the averaged demand it keeps the effect of the last change.  A
    change that didn't reduce the shortfall doubles the delay before the next
    one: where the mix swings faster than changes pay, changes soon stop.
    """

    def __init__(self, now):
        """Begin at ``now`` without demand."""
        self.short = None
        self.long = None
        self.shortfall = 0.0
        self._changed_at = now
        self._before = None
        self._backoff = 1.0
        self._mix = None
        self._mix_since = now

    def record_demand(self, demand, offered, good, elapsed_ms):
        """Record the demand and outcomes of the last ``elapsed_ms``."""
        self.short = _blend(self.short, demand, elapsed_ms / SHORT_WINDOW_MS)
        self.long = _blend(self.long, demand, elapsed_ms / LONG_WINDOW_MS)
        if offered:
            missed = max(0.0, 1 - good / offered)
            fraction = min(1.0, elapsed_ms / SHORTFALL_WINDOW_MS)
            self.shortfall += fraction * (missed - self.shortfall)

    def next_change(self, engines, policy, now):
        """Return the change to make now, or ``None``."""
        wait = policy.change_ms * SETTLE_CHANGES * self._backoff
        if self.long is None or now - self._changed_at < wait:
            return None
        self._judge_last_change()
        # Refused requests leave no work to be measured.  Without this
        # correction an overloaded fleet looks as if another split could serve
        # everything.
        share = max(MIN_SERVED_FRACTION, 1 - self.shortfall)
        return propose(
            engines,
            _scaled(self.short, 1 / share),
            _scaled(self.long, 1 / share),
            policy,
            self.shortfall,
            self._horizon(policy, now),
        )

    def record_change(self, now):
        """Record that a change was begun."""
        self._changed_at = now
        self._before = self.shortfall

    def _horizon(self, policy, now):
        """Return how long in ms a change is expected to be of use.

        A mix is expected to last as long again as it has lasted.
        """
        mix = _mix(self.short)
        if self._mix is None or abs(mix - self._mix) > MIN_MIX_CHANGE:
            self._mix = mix
            self._mix_since = now
        lasted_ms = min(MAX_HORIZON_MS, now - self._mix_since)
        return max(policy.horizon_ms, lasted_ms)

    def _judge_last_change(self):
        if self._before is None:
            return
        if self._before - self.shortfall < MIN_GAIN_FRACTION / 2:
            self._backoff = min(MAX_BACKOFF, self._backoff * 2)
        else:
            self._backoff = max(1.0, self._backoff / 2)
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


def _blend(old, new, fraction):
    if old is None:
        return new
    fraction = min(1.0, fraction)
    return Demand(
        *(before + fraction * (now - before) for before, now in zip(old, new))
    )
