"""Random arrivals of a lab run, from a deployment and a seed."""

import itertools
import math
import random
import typing

from clementinewall import domain


class Arrival(typing.NamedTuple):
    """A caller's request and when it arrives."""

    at_ms: float
    work_class: str
    prompt: domain.Prompt


def draw(deployment, seconds, seed):
    """Return the arrivals of a run, ordered by time."""
    rng = random.Random(seed)
    serial = itertools.count()
    arrivals = []
    for name, row in deployment.classes.items():
        prompts = _PromptSource(name, row, rng, serial)
        for at_s in _arrival_times(deployment, name, row, seconds, rng):
            prompt = prompts.draw()
            arrivals.append(Arrival(at_s * 1_000, name, prompt))
    return sorted(arrivals, key=lambda arrival: arrival.at_ms)


def _arrival_times(deployment, name, row, seconds, rng):
    """Yield the arrival times of a class in seconds.

    Batches follow a Poisson process at the rate of the largest burst, which
    is thinned to the rate in effect.
    """
    bursts = [b for b in deployment.bursts if b.work_class == name]
    max_factor = math.prod([1.0, *(max(1.0, b.factor) for b in bursts)])
    clumps_per_s = row.per_s * max_factor / deployment.clump
    at = rng.expovariate(clumps_per_s)
    while at < seconds:
        if rng.random() < _factor(bursts, at) / max_factor:
            for _ in range(_clump_size(deployment.clump, rng)):
                yield at
        at += rng.expovariate(clumps_per_s)


def _factor(bursts, at):
    now = (b.factor for b in bursts if b.at_s <= at < b.at_s + b.for_s)
    return math.prod(now)


def _clump_size(mean, rng):
    """Return the size of a batch, geometric with the ``mean``."""
    size = 1
    while rng.random() > 1 / mean:
        size += 1
    return size


class _PromptSource:
    """Draws the prompts of one class; shared parts keep their size."""

    def __init__(self, name, row, rng, serial):
        self._name = name
        self._row = row
        self._rng = rng
        self._serial = serial
        self._size_by_part_id = {}
        self._weights = [
            list(
                itertools.accumulate(
                    (n + 1) ** -part.skew for n in range(part.things)
                )
            )
            for part in row.shared
        ]

    def draw(self):
        """Return a prompt of shared parts and one unshared part."""
        row = self._row
        parts = [
            self._shared(depth, part) for depth, part in enumerate(row.shared)
        ]
        own = _size(row.tokens_in, row.spread_in, row.most_in, self._rng)
        parts.append(domain.PromptPart(f"o{next(self._serial):x}", own))
        tokens_out = _size(
            row.tokens_out, row.spread_out, row.most_out, self._rng
        )
        total = sum(part.tokens for part in parts)
        return domain.Prompt("m", total, tokens_out, tuple(parts))

    def _shared(self, depth, part):
        weights = self._weights[depth]
        number = self._rng.choices(range(part.things), cum_weights=weights)[0]
        name = f"{self._name}-{depth}-{number}"
        if name not in self._size_by_part_id:
            self._size_by_part_id[name] = _size(
                part.tokens, part.spread, part.most, self._rng
            )
        return domain.PromptPart(name, self._size_by_part_id[name])


def _size(mean, spread, most, rng):
    """Return a size of at least 1 from a log-normal distribution.

    ``mean`` is the mean before sizes are cut at ``most``.
    """
    if not spread:
        return max(1, round(mean))
    log_median = math.log(mean) - spread * spread / 2
    return max(1, round(min(most, rng.lognormvariate(log_median, spread))))
