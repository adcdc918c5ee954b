"""The strategies that replays compare, and what the engines could do."""

import typing

from clementinewall.policy import routing


class Strategy(typing.NamedTuple):
    """How a replay decides; ``roles`` are those of the start."""

    name: str
    roles: tuple[str, ...] = ()
    router: str = "policy"
    planner: str = "none"
    admits: bool = True
    affinity: bool = True


def capacity_bound(plan, count):
    """Return the fraction of the offered work that the engines could do.

    Every engine works all the time at the cost of its best role.
    """
    work = sum(
        r.prompt * 0.2 * routing.PREFILL_FACTOR["prefill"]
        + r.output * 20.0 / 16 * routing.DECODE_FACTOR["decode"]
        for r in plan.requests
    )
    return min(1.0, count * plan.length / work)


def strategies(count):
    """Return the strategies that are compared for ``count`` engines."""
    mixed = ("mixed",) * count
    fixed = [
        Strategy(
            f"static {prefill}p{count - prefill}d",
            ("prefill",) * prefill + ("decode",) * (count - prefill),
        )
        for prefill in range(1, count)
    ]
    half = ("prefill",) * (count // 2) + ("decode",) * (count - count // 2)
    return [
        Strategy("policy", mixed, planner="policy"),
        Strategy("no changes", mixed),
        *fixed,
        Strategy("threshold", half, planner="threshold"),
        Strategy("random", mixed, router="random", admits=False),
        Strategy("least open", mixed, router="least", admits=False),
        Strategy("no affinity", mixed, planner="policy", affinity=False),
    ]
