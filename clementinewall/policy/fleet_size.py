"""How many engines to order in each data centre, as pure functions.

Designed for engines that are billed by the second, take seconds to start, and
of which the cheaper ones may all be taken back in a data centre at once.  A
load of two seconds is not followed: an engine that is ordered for it would
serve when it is over.
"""

import collections
import math
import typing

# Engines work off this fraction of their time at the load that is planned
# for.  Queues grow fast beyond, and a burst comes before new engines do.
PREFILL_UTILISATION = 0.4
# Fraction of the slots that streams take at the load that is planned for.
# A full batch makes each token slower.
SLOT_UTILISATION = 0.3
# Engines of each stage, so that the loss of one leaves another.
MIN_PER_STAGE = 2
# At the loss of a data centre's preemptible engines the others work at most
# this much more than planned.
LOSS_FACTOR = 1.6
# On-demand engines in different data centres.
MIN_ON_DEMAND = 2
RISE_LASTING_MS = 3_000
FALL_LASTING_MS = 10_000
# A load that rises is expected to go on rising, up to this factor.
MAX_RISE_FACTOR = 1.25
# Part of the engines that may be given up at a time.
MAX_FALL_FRACTION = 0.25


class Load(typing.NamedTuple):
    """The work of all gateways for a service at one time.

    ``prompt_ms`` is how many ms of an engine's time the prompts of a second
    take, ``streams`` how many answers are being generated.
    """

    at: int
    prompt_ms: float
    streams: float


class Engine(typing.NamedTuple):
    """An engine that serves, or that is still to come (``is_serving``)."""

    data_centre: str
    is_spot: bool
    slots: int
    is_serving: bool = True


class Range(typing.NamedTuple):
    """What limits the numbers.

    ``least`` and ``most`` hold in each data centre, ``total_least`` and
    ``total_most`` for all together.  ``price_by_data_centre`` names the data
    centres; ``spot_price`` is ``None`` if there are no preemptible engines.
    """

    least: int
    most: int
    price_by_data_centre: dict[str, float]
    spot_price: float | None
    boot_ms: int
    total_least: int = 0
    total_most: int = 1_000_000


class Kind(typing.NamedTuple):
    """One kind of engine in one data centre."""

    data_centre: str
    is_spot: bool


class Plan(typing.NamedTuple):
    """The number of engines of each kind, and how many are needed in all."""

    needed: int
    count_by_kind: dict[Kind, int]
    why: str


def needed(loads, slots, range_, now):
    """Return how many engines the load needs, ``None`` if it isn't known.

    ``loads`` are the latest, oldest first.  A rise counts once it has lasted,
    and as far ahead as an engine takes to start; a fall counts later.
    """
    recent = [x for x in loads if now - x.at <= RISE_LASTING_MS]
    if not recent or not any(x.prompt_ms or x.streams for x in loads):
        return None
    wanted = max(
        _engines(_ahead(loads, recent, range_.boot_ms, now), slots),
        _engines(_peak(loads, now), slots),
    )
    return _bounded(wanted, range_)


def _bounded(wanted, range_):
    return min(range_.total_most, max(range_.total_least, wanted))


def may_fall(loads, now):
    """Return whether the load has been known for long enough to shrink."""
    first = next((x for x in loads if x.prompt_ms or x.streams), None)
    return first is not None and now - first.at >= FALL_LASTING_MS


def _ahead(loads, recent, boot_ms, now):
    """Return the load that is expected when an engine ordered now serves."""
    before = [
        x for x in loads if RISE_LASTING_MS < now - x.at <= 2 * RISE_LASTING_MS
    ]
    mean = _mean(recent)
    if not before:
        return mean
    earlier = _mean(before)
    steps = boot_ms / RISE_LASTING_MS
    return mean._replace(
        prompt_ms=_extrapolate(earlier.prompt_ms, mean.prompt_ms, steps),
        streams=_extrapolate(earlier.streams, mean.streams, steps),
    )


def _extrapolate(before, now, steps):
    return min(MAX_RISE_FACTOR * now, now + max(0.0, now - before) * steps)


def _mean(loads):
    return Load(
        loads[-1].at,
        sum(x.prompt_ms for x in loads) / len(loads),
        sum(x.streams for x in loads) / len(loads),
    )


def _peak(loads, now):
    """Return the highest load that lasted as long as a rise has to."""
    lasting = [x for x in loads if now - x.at <= FALL_LASTING_MS]
    means = [
        _mean([x for x in lasting if 0 <= end.at - x.at <= RISE_LASTING_MS])
        for end in lasting
        if end.at - lasting[0].at >= RISE_LASTING_MS or end is lasting[-1]
    ]
    return Load(
        loads[-1].at,
        max(x.prompt_ms for x in means),
        max(x.streams for x in means),
    )


def _engines(load, slots):
    prefill = load.prompt_ms / (1_000 * PREFILL_UTILISATION)
    decode = load.streams / (slots * SLOT_UTILISATION)
    return max(MIN_PER_STAGE, math.ceil(prefill)) + max(
        MIN_PER_STAGE, math.ceil(decode)
    )


def plan(wanted, engines, range_, missing=frozenset()):
    """Return how many engines of each kind to have for ``wanted`` in all.

    ``engines`` are those that exist and don't leave; ``missing`` are the
    kinds of which none was to be had lately.  On-demand engines stay until
    preemptible ones serve in their place.
    """
    centres = sorted(
        range_.price_by_data_centre,
        key=lambda name: (range_.price_by_data_centre[name], name),
    )
    if not centres:
        return Plan(wanted, {}, "no data centre has a price")
    present = collections.Counter(
        Kind(e.data_centre, e.is_spot) for e in engines if e.is_serving
    )
    spot_centres = [c for c in centres if Kind(c, True) not in missing]
    if range_.spot_price is None:
        spot_centres = []
    base = min(wanted, MIN_ON_DEMAND)
    per_centre = _spot_per_centre(wanted, base, len(spot_centres), range_)
    found = {
        Kind(c, True): per_centre if c in spot_centres else present[c, True]
        for c in centres
        if range_.spot_price is not None
    }
    planned_spot = sum(found.values())
    serving_spot = sum(min(found[kind], present[kind]) for kind in found)
    held = sum(n for kind, n in present.items() if not kind.is_spot)
    # Those that are there stay until the preemptible ones that are on their
    # way serve; further ones would come no sooner than these.
    kept = min(held, wanted - serving_spot)
    on_demand = max(base, wanted - planned_spot, kept)
    fall = max(1, math.floor(present.total() * MAX_FALL_FRACTION))
    on_demand = max(on_demand, held - fall)
    found |= _on_demand(on_demand, centres, found, present, range_)
    why = "load" if on_demand <= max(base, held) else "too few preemptible"
    return Plan(wanted, found, why)


def _spot_per_centre(wanted, base, centres, range_):
    """Return the preemptible engines in each of some data centres.

    With those of one of them lost, the others still serve the load.
    """
    if not centres:
        return 0
    for_load = (wanted - base) / centres
    after_loss = 0.0
    if centres > 1:
        after_loss = (wanted / LOSS_FACTOR - base) / (centres - 1)
    most = range_.most - (1 if base else 0)
    return max(0, min(most, math.ceil(max(for_load, after_loss))))


def _on_demand(count, centres, spot_by_kind, present, range_):
    """Return the on-demand engines of each data centre, ``count`` in all.

    Those that are there stay where they are as far as possible: replacing one
    by one elsewhere would cost its cache.  Others go where they are cheapest,
    the first ones to different data centres.
    """
    room = {
        c: max(0, range_.most - spot_by_kind.get(Kind(c, True), 0))
        for c in centres
    }
    floor = {
        c: max(0, range_.least - spot_by_kind.get(Kind(c, True), 0))
        for c in centres
    }
    found = {c: min(floor[c], room[c]) for c in centres}
    spread = centres[:MIN_ON_DEMAND]
    while sum(found.values()) < count:
        open_centres = [c for c in centres if found[c] < room[c]]
        if not open_centres:
            break
        chosen = min(
            open_centres,
            key=lambda c: (
                found[c] > 0 or c not in spread,
                found[c] >= present[Kind(c, False)],
                range_.price_by_data_centre[c],
                c,
            ),
        )
        found[chosen] += 1
    return {Kind(c, False): found[c] for c in centres}
