"""How many engines to order in each data centre, as pure functions.

Designed for engines that are billed by the second, take seconds to start, and
of which the cheaper ones may all be taken back in a data centre at once.  A
load of two seconds is not followed: an engine that is ordered for it would
serve when it is over.
"""

import collections
import math
import statistics
import typing

# Engines work off this fraction of their time at the load that is planned
# for.  Queues grow fast beyond, and a burst comes before new engines do.
PREFILL_UTILISATION = 0.3
# Fraction of the slots that streams take at the load that is planned for.
# A full batch makes each token slower.
SLOT_UTILISATION = 0.22
# Engines of each stage, so that the loss of one leaves another.
MIN_PER_STAGE = 2
# Part of the engines that is left when all preemptible ones of a data centre
# are taken back.  It is above the planned utilisation, as their caches are
# lost too.
LEFT_AFTER_LOSS = 0.6
# On-demand engines in different data centres.
MIN_ON_DEMAND = 2
RISE_LASTING_MS = 5_000
FALL_LASTING_MS = 15_000
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
    lasting = _median(recent)
    if not before:
        return lasting
    earlier = _median(before)
    steps = boot_ms / RISE_LASTING_MS
    return lasting._replace(
        prompt_ms=_extrapolate(earlier.prompt_ms, lasting.prompt_ms, steps),
        streams=_extrapolate(earlier.streams, lasting.streams, steps),
    )


def _extrapolate(before, now, steps):
    return min(MAX_RISE_FACTOR * now, now + max(0.0, now - before) * steps)


def _median(loads):
    """Return the load that half of the time was not exceeded.

    A burst that is shorter doesn't change it.
    """
    return Load(
        loads[-1].at,
        statistics.median(x.prompt_ms for x in loads),
        statistics.median(x.streams for x in loads),
    )


def _peak(loads, now):
    """Return the highest load that lasted as long as a rise has to."""
    lasting = [x for x in loads if now - x.at <= FALL_LASTING_MS]
    medians = [
        _median([x for x in lasting if 0 <= end.at - x.at <= RISE_LASTING_MS])
        for end in lasting
        if end.at - lasting[0].at >= RISE_LASTING_MS or end is lasting[-1]
    ]
    return Load(
        loads[-1].at,
        max(x.prompt_ms for x in medians),
        max(x.streams for x in medians),
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
    kinds of which none was to be had lately.  Engines stay until those that
    replace them serve.
    """
    centres = sorted(
        range_.price_by_data_centre,
        key=lambda name: (range_.price_by_data_centre[name], name),
    )
    present = collections.Counter(
        Kind(e.data_centre, e.is_spot) for e in engines if e.is_serving
    )
    spot = _spot(wanted, centres, range_, present, missing)
    count = max(_least_on_demand(wanted, spot), wanted - sum(spot.values()))
    on_demand = _on_demand(count, centres, spot, present, range_, missing)
    target = spot | on_demand
    found = _held_back(target, present, wanted)
    found = _within_range(found, range_)
    why = "load" if found == target else "replacements don't serve yet"
    return Plan(wanted, found, why)


def _spot(wanted, centres, range_, present, missing):
    """Return the number of preemptible engines by kind, spread evenly."""
    if range_.spot_price is None:
        return {}
    kinds = [Kind(c, True) for c in centres]
    open_kinds = [kind for kind in kinds if kind not in missing]
    found = {kind: present[kind] for kind in kinds}
    left = wanted - sum(present[kind] for kind in kinds if kind in missing)
    on_demand = min(max(0, left), MIN_ON_DEMAND)
    while open_kinds and on_demand < left:
        largest = math.ceil((left - on_demand) / len(open_kinds))
        if wanted - largest >= wanted * LEFT_AFTER_LOSS:
            break
        on_demand += 1
    share, larger = divmod(max(0, left - on_demand), max(1, len(open_kinds)))
    for index, kind in enumerate(open_kinds):
        found[kind] = min(range_.most, share + (index < larger))
    return found


def _least_on_demand(wanted, spot):
    """Return the on-demand engines for the loss of a data centre's others."""
    largest = max(spot.values(), default=0)
    after_loss = wanted * LEFT_AFTER_LOSS - sum(spot.values()) + largest
    return max(min(wanted, MIN_ON_DEMAND), math.ceil(after_loss))


def _on_demand(count, centres, spot, present, range_, missing):
    """Return the on-demand engines by kind, ``count`` in all.

    Those that are there stay where they are as far as possible: replacing one
    by one elsewhere would cost its cache.  Others go where they are cheapest,
    the first ones to different data centres.
    """
    found = {}
    most = {}
    for c in centres:
        kind = Kind(c, False)
        room = range_.most - spot.get(Kind(c, True), 0)
        most[c] = min(room, present[kind]) if kind in missing else room
        least = range_.least - spot.get(Kind(c, True), 0)
        found[c] = max(0, min(least, room))
    spread = centres[:MIN_ON_DEMAND]
    while sum(found.values()) < count:
        open_centres = [c for c in centres if found[c] < most[c]]
        if not open_centres:
            break
        chosen = min(
            open_centres,
            key=lambda c: (
                found[c] >= present[Kind(c, False)],
                found[c] > 0 or c not in spread,
                range_.price_by_data_centre[c],
                c,
            ),
        )
        found[chosen] += 1
    return {Kind(c, False): found[c] for c in centres}


def _held_back(target, present, wanted):
    """Return the target with the engines that must not go yet.

    Those that stay serve the load, and only a part goes at a time.
    """
    found = dict(target)
    total = present.total()
    most_going = max(1, math.floor(total * MAX_FALL_FRACTION))
    least_staying = max(min(wanted, total), total - most_going)
    going = {k: present[k] - found[k] for k in found if present[k] > found[k]}
    staying = total - sum(going.values())
    for kind in sorted(going, key=lambda k: (k.is_spot, -going[k], k)):
        kept = max(0, min(going[kind], least_staying - staying))
        found[kind] += kept
        staying += kept
    return found


def _within_range(found, range_):
    """Put off new preemptible engines for which there is no room yet."""
    for kind in [kind for kind in found if kind.is_spot]:
        room = range_.most - found[Kind(kind.data_centre, False)]
        found[kind] = max(0, min(found[kind], room))
    return found
