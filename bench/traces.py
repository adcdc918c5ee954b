"""Traces of requests, made from a seed.

A trace file is JSON lines, one request a line: ``at`` (ms), ``class``,
``prompt`` and ``output`` (tokens), ``prefix`` (a name or null),
``prefix_tokens`` and ``caller``.  ``Plan`` adds what happens to the fleet.
"""

import json
import math
import random
import typing


class Request(typing.NamedTuple):
    """One request of a trace."""

    at: float
    work_class: str
    prompt: int
    output: int
    prefix: str | None
    prefix_tokens: int
    caller: str


class Plan(typing.NamedTuple):
    """A trace with what happens to the fleet meanwhile.

    ``drained`` is ``(engine index, from, to)``, ``slow`` is ``(engine index,
    factor)``, ``silent`` is the span in which no load report arrives.
    """

    requests: tuple[Request, ...]
    length: float
    drained: tuple[int, float, float] | None = None
    slow: tuple[int, float] | None = None
    silent: tuple[float, float] | None = None


LENGTH = 600_000.0
LONG = (3_000, 50)
SHORT = (200, 250)
CATALOGUE_TOKENS = 2_500
CALLERS = 40


def _share_by_name(name):
    """Return the share of long prompts as a function of time."""

    def periodic(seconds):
        period = seconds * 1_000
        return lambda t: 0.5 + 0.45 * math.sin(2 * math.pi * t / period)

    shares = {
        "slow_swing": periodic(600),
        "swing_240": periodic(240),
        "swing_120": periodic(120),
        "swing_20": periodic(20),
        "step": lambda t: 0.1 if t < 240_000 else 0.9,
        "steady_long": lambda t: 0.85,
        "catalogue": lambda t: 0.9 if t < 300_000 else 0.1,
    }
    return shares.get(name, lambda t: 0.5)


NAMES = (
    "slow_swing",
    "step",
    "swing_240",
    "swing_120",
    "swing_20",
    "steady_long",
    "catalogue",
    "drained",
    "half_speed",
    "flooding",
    "overload",
    "silent",
)


def make(name, seed, engines, load=0.8):
    """Return the plan of the trace ``name`` for a number of engines.

    ``load`` is the part of the mixed fleet's time that the mix would take
    if it were half long and half short.
    """
    rng = random.Random(f"{name}/{seed}")
    share = _share_by_name(name)
    if name == "overload":
        load *= 2.5
    requests = []
    at = 0.0
    while at < LENGTH:
        part = share(at)
        rate = _rate(part, engines, load)
        at += rng.expovariate(rate)
        requests.append(_request(rng, name, at, part))
    if name == "flooding":
        requests.extend(_flood(rng, engines, load))
        requests.sort()
    extra = {}
    if name == "drained":
        extra["drained"] = (0, 200_000.0, 400_000.0)
    if name == "half_speed":
        extra["slow"] = (0, 2.0)
    if name == "silent":
        extra["silent"] = (200_000.0, 260_000.0)
    return Plan(tuple(requests), LENGTH, **extra)


def _rate(part, engines, load):
    """Return arrivals a millisecond that take ``load`` of the engines."""
    return load * engines / (part * _cost(LONG) + (1 - part) * _cost(SHORT))


def _cost(kind):
    prompt, output = kind
    return prompt * 0.2 + output * 20.0 / 16


def _request(rng, name, at, part):
    is_long = rng.random() < part
    prompt, output = LONG if is_long else SHORT
    prompt = max(20, int(rng.gauss(prompt, prompt / 4)))
    output = max(4, int(rng.gauss(output, output / 4)))
    prefix, prefix_tokens = None, 0
    if name == "catalogue" and is_long:
        prefix, prefix_tokens = (
            f"catalogue-{rng.randrange(6)}",
            CATALOGUE_TOKENS,
        )
        prompt += CATALOGUE_TOKENS - 1_000
    work_class = "summary" if is_long else "reply"
    caller = f"caller-{rng.randrange(CALLERS)}"
    return Request(
        at, work_class, prompt, output, prefix, prefix_tokens, caller
    )


def _flood(rng, engines, load):
    """Yield the requests of one caller who sends as much as all others."""
    at = 150_000.0
    while at < 450_000.0:
        at += rng.expovariate(_rate(0.5, engines, load))
        request = _request(rng, "flooding", at, 0.5)
        yield request._replace(caller="flooder")


def write(plan, path):
    """Write the requests of a plan as JSON lines."""
    with open(path, "w") as file:
        for request in plan.requests:
            file.write(json.dumps(request._asdict()) + "\n")


def read(path):
    """Return the plan of a trace file."""
    with open(path) as file:
        rows = [Request(**json.loads(line)) for line in file]
    rows.sort()
    return Plan(tuple(rows), rows[-1].at if rows else 0.0)
