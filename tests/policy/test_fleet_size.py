"""How many engines are ordered, by the rules of the design page.

Numbers that may be tuned are taken from the module by their names.
"""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import fleet_size

NOW = 100_000
STEP_MS = 500
SLOTS = 16
CENTRES = ("a", "b", "c", "d")
# So many steps take any plan to where it stays.
MAX_STEPS = 80


def loads(*parts):
    """Return loads up to now, from pairs of a length in ms and streams."""
    values = [streams for ms, streams in parts for _ in range(ms // STEP_MS)]
    first = NOW - (len(values) - 1) * STEP_MS
    return [
        fleet_size.Load(first + index * STEP_MS, 20.0 * streams, streams)
        for index, streams in enumerate(values)
    ]


def range_of(centres=CENTRES[:3], least=0, most=200, spot=0.2, **more):
    """Return a range in which the first data centres are the cheapest."""
    price_by_name = {name: 1.0 + 0.1 * n for n, name in enumerate(centres)}
    return fleet_size.Range(least, most, price_by_name, spot, 4_000, **more)


def engines_of(count_by_kind):
    """Return engines that serve."""
    return [
        fleet_size.Engine(kind.data_centre, kind.is_spot, SLOTS)
        for kind, count in count_by_kind.items()
        for _ in range(count)
    ]


def totals(count_by_kind):
    """Return the number of engines by data centre."""
    found = collections.Counter()
    for kind, count in count_by_kind.items():
        found[kind.data_centre] += count
    return found


def on_demand(count_by_kind):
    """Return the number of on-demand engines."""
    return sum(n for kind, n in count_by_kind.items() if not kind.is_spot)


def settled(wanted, range_, missing=frozenset(), present=()):
    """Return the plan that stays once all that it names has come."""
    engines = list(present)
    for _ in range(MAX_STEPS):
        plan = fleet_size.plan(wanted, engines, range_, missing)
        engines = engines_of(plan.count_by_kind)
    return plan


@strategies.composite
def situations(draw):
    """Draw a range, engines within it and kinds that aren't to be had."""
    centres = CENTRES[: draw(strategies.integers(1, len(CENTRES)))]
    least = draw(strategies.integers(0, 3))
    most = draw(strategies.integers(max(1, least), 12))
    spot = draw(strategies.sampled_from((None, 0.2)))
    kinds = [
        fleet_size.Kind(name, is_spot)
        for name in centres
        for is_spot in (False, True)
        if spot is not None or not is_spot
    ]
    engines = []
    for name in centres:
        own = [kind for kind in kinds if kind.data_centre == name]
        chosen = draw(
            strategies.lists(strategies.sampled_from(own), max_size=most)
        )
        engines += [
            fleet_size.Engine(*kind, SLOTS, draw(strategies.booleans()))
            for kind in chosen
        ]
    missing = draw(strategies.sets(strategies.sampled_from(kinds)))
    range_ = range_of(centres, least, most, spot)
    return range_, engines, missing


class Bounds(unittest.TestCase):
    """The ranges of operators hold whatever the load."""

    @hypothesis.given(strategies.integers(0, 80), situations())
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
    def test_each_data_centre_stays_within_its_range(self, wanted, situation):
        # Guards against orders above what was paid for, and against a data
        # centre that is emptied.
        range_, engines, missing = situation
        plan = fleet_size.plan(wanted, engines, range_, missing)
        found = totals(plan.count_by_kind)
        for name in range_.price_by_data_centre:
            self.assertGreaterEqual(found[name], range_.least, plan)
            self.assertLessEqual(found[name], range_.most, plan)
        self.assertGreaterEqual(min(plan.count_by_kind.values()), 0)

    @hypothesis.given(
        strategies.integers(0, 30),
        strategies.integers(0, 30),
        strategies.integers(0, 500),
    )
    @hypothesis.settings(derandomize=True)
    def test_the_number_needed_stays_within_the_own_bounds(
        self, least, more, streams
    ):
        # Guards against an operator whose pin of the number has no effect.
        range_ = range_of(total_least=least, total_most=least + more)
        found = fleet_size.needed(
            loads((12_000, streams + 1)), SLOTS, range_, NOW
        )
        self.assertGreaterEqual(found, least)
        self.assertLessEqual(found, least + more)

    @hypothesis.given(
        strategies.integers(2, 40), strategies.integers(1, len(CENTRES))
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_a_pinned_number_is_the_number_ordered(self, count, centres):
        # Guards against more engines than an operator's upper bound, since
        # each data centre gets the same number of preemptible ones.
        plan = settled(count, range_of(CENTRES[:centres], total_most=count))
        self.assertEqual(sum(plan.count_by_kind.values()), count)


class Needed(unittest.TestCase):
    """The number that a load needs."""

    def needed(self, *parts):
        """Return the number for loads of some lengths."""
        return fleet_size.needed(loads(*parts), SLOTS, range_of(), NOW)

    def test_nothing_is_known_without_a_recent_load(self):
        # Guards against a fleet that is given up when no samples come.
        old = [x._replace(at=x.at - 60_000) for x in loads((9_000, 50))]
        self.assertIsNone(fleet_size.needed([], SLOTS, range_of(), NOW))
        self.assertIsNone(fleet_size.needed(old, SLOTS, range_of(), NOW))
        self.assertIsNone(self.needed((9_000, 0)))

    def test_a_burst_of_two_seconds_orders_nothing(self):
        # Guards against engines that are paid for and serve when the burst
        # is over.
        before = self.needed((14_000, 40))
        self.assertEqual(self.needed((12_000, 40), (2_000, 80)), before)

    def test_a_rise_that_stays_is_followed(self):
        # Guards against callers that are late for as long as the load lasts.
        before = self.needed((14_000, 40))
        found = self.needed((12_000, 40), (5_000, 80))
        self.assertGreaterEqual(found, 1.8 * before)

    def test_a_load_that_goes_on_rising_is_met_ahead(self):
        # Guards against engines that come when the load has grown further.
        steady = self.needed((12_000, 60))
        rising = self.needed(
            (5_000, 30), (2_000, 36), (2_000, 44), (2_000, 52), (2_000, 60)
        )
        mean = self.needed((12_000, 56))
        self.assertGreater(rising, min(mean, steady))

    def test_a_fall_is_followed_once_it_has_lasted(self):
        # Guards against engines that are given up and ordered again.
        before = self.needed((14_000, 80))
        short = (12_000, 80), (fleet_size.FALL_LASTING_MS // 2, 40)
        self.assertEqual(self.needed(*short), before)
        long = (12_000, 80), (fleet_size.FALL_LASTING_MS + 4_000, 40)
        self.assertLess(self.needed(*long), before)

    def test_two_engines_of_each_stage_at_least(self):
        # Guards against a crash that leaves no engine of a stage.
        self.assertGreaterEqual(self.needed((9_000, 1)), 4)

    def test_a_load_known_for_a_short_time_does_not_shrink(self):
        # Guards against a new holder that gives up engines at once.
        self.assertFalse(fleet_size.may_fall(loads((2_000, 9)), NOW))
        self.assertFalse(fleet_size.may_fall([], NOW))
        long = loads((fleet_size.FALL_LASTING_MS + 1_000, 9))
        self.assertTrue(fleet_size.may_fall(long, NOW))


class Kinds(unittest.TestCase):
    """Which kinds of engines there are, and where."""

    @hypothesis.given(strategies.integers(4, 40), strategies.integers(2, 4))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_engines_stay_until_preemptible_ones_serve(self, wanted, centres):
        # Guards against a replacement that leaves too few engines while the
        # new ones start.
        range_ = range_of(CENTRES[:centres])
        engines = engines_of({fleet_size.Kind("a", False): wanted})
        for _ in range(MAX_STEPS):
            plan = fleet_size.plan(wanted, engines, range_)
            serving = collections.Counter(
                fleet_size.Kind(e.data_centre, e.is_spot) for e in engines
            )
            left = sum(
                min(count, serving[kind])
                for kind, count in plan.count_by_kind.items()
            )
            self.assertGreaterEqual(left, wanted)
            engines = engines_of(plan.count_by_kind)
        self.assertLess(on_demand(plan.count_by_kind), wanted)

    def test_engines_on_their_way_replace_nothing(self):
        # Guards against counting what was ordered as what serves.
        range_ = range_of()
        held = engines_of({fleet_size.Kind("a", False): 12})
        coming = [
            fleet_size.Engine(name, True, SLOTS, is_serving=False)
            for name in CENTRES[:3]
            for _ in range(4)
        ]
        plan = fleet_size.plan(12, held + coming, range_)
        self.assertEqual(on_demand(plan.count_by_kind), 12)

    @hypothesis.given(strategies.integers(4, 60), strategies.integers(2, 4))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_the_loss_of_one_data_centre_leaves_room(self, wanted, centres):
        # Guards against a service that is down when all preemptible engines
        # of a data centre are taken back: the load still fits at full use.
        self.check_loss(wanted, centres)

    def test_the_loss_of_the_only_data_centre_leaves_room(self):
        # Guards against a service in one data centre that is left with the
        # fewest on-demand engines, whatever its load.
        for wanted in (7, 40):
            self.check_loss(wanted, 1)

    def check_loss(self, wanted, centres):
        """Check what is left without one data centre's preemptible ones."""
        count_by_kind = settled(
            wanted, range_of(CENTRES[:centres])
        ).count_by_kind
        utilisation = max(
            fleet_size.PREFILL_UTILISATION, fleet_size.SLOT_UTILISATION
        )
        total = sum(count_by_kind.values())
        for kind, count in count_by_kind.items():
            if kind.is_spot:
                self.assertGreaterEqual(total - count, wanted * utilisation)

    @hypothesis.given(strategies.integers(4, 60), strategies.integers(1, 4))
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_preemptible_engines_are_spread_evenly(self, wanted, centres):
        # Guards against one data centre that takes most of them with it.
        plan = settled(wanted, range_of(CENTRES[:centres]))
        found = [n for kind, n in plan.count_by_kind.items() if kind.is_spot]
        self.assertLessEqual(max(found) - min(found), 1)

    @hypothesis.given(strategies.integers(4, 40), situations())
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    def test_the_load_is_met_within_the_range(self, wanted, situation):
        # Guards against a plan that is short of engines although the range
        # has room for them.
        range_, _, _ = situation
        plan = settled(wanted, range_)
        room = range_.most * len(range_.price_by_data_centre)
        self.assertGreaterEqual(
            sum(plan.count_by_kind.values()), min(wanted, room)
        )

    @hypothesis.given(
        strategies.integers(4, 40),
        strategies.sets(strategies.sampled_from(CENTRES[:3])),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_unavailable_preemptible_engines_are_replaced(self, wanted, names):
        # Guards against a shortage in one data centre that leaves the load
        # without engines.
        missing = {fleet_size.Kind(name, True) for name in names}
        plan = settled(wanted, range_of(), missing)
        self.assertGreaterEqual(sum(plan.count_by_kind.values()), wanted)
        for kind in missing:
            self.assertEqual(plan.count_by_kind[kind], 0)

    def test_unavailable_on_demand_engines_are_replaced(self):
        # Guards against a data centre without engines that is asked for them
        # again and again, while the others have some.
        missing = {fleet_size.Kind("a", False)}
        plan = settled(12, range_of(spot=None), missing)
        self.assertEqual(plan.count_by_kind[fleet_size.Kind("a", False)], 0)
        self.assertGreaterEqual(sum(plan.count_by_kind.values()), 12)

    def test_at_most_a_part_is_given_up_at_a_time(self):
        # Guards against a fleet that shrinks at once on a short fall.
        held = 16
        engines = engines_of({fleet_size.Kind("a", False): held})
        plan = fleet_size.plan(4, engines, range_of(spot=None))
        self.assertGreaterEqual(
            sum(plan.count_by_kind.values()),
            held - max(1, held * fleet_size.MAX_FALL_FRACTION),
        )
