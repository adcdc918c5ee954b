"""Who is served where the engines can do half of what is asked."""

import unittest

from clementinewall.policy import engine_time
from tests.admission import overload

SECONDS = 15
# The decoding engine prefills, too, at half speed.
DECODER_ENGINES = 0.5
# Loads for three gateways and for several cells.
SCALES = ((3, 4, SECONDS), (64, 8, 6))


def rate(engines, times):
    """Return a multiple of what the engines can prefill per second."""
    prompts_per_ms = 1 / engine_time.prefill_ms(6_000, 0)
    return times * 1_000 * (engines + DECODER_ENGINES) * prompts_per_ms


def run(sources, gateways, engines, seconds, **more):
    """Return the outcomes of a run."""
    wanted = overload.Overload(sources, gateways, engines, **more)
    return wanted.run(seconds, warm_up_seconds=3)


class Overload(unittest.TestCase):
    """Three and 64 gateways, twice the load that the engines can serve."""

    def test_ten_times_its_share_takes_from_nobody(self):
        # Load: one customer asks for ten times as much as each of twenty.
        # Guards against one that displaces the others.
        for scale in SCALES:
            with self.subTest(gateways=scale[0]):
                unit = rate(scale[1], 2) / 30
                sources = [overload.Source("large", 10 * unit)]
                sources += [
                    overload.Source(f"c{number}", unit) for number in range(20)
                ]
                outcomes = run(sources, *scale)
                by_name = overload.served_by_name(outcomes)
                served = overload.served(outcomes)
                large = by_name.pop("large")
                self.assertGreaterEqual(min(by_name.values()), served / 2)
                mean = sum(by_name.values()) / len(by_name)
                self.assertLess(large, 0.8 * mean)
                self.assertGreaterEqual(large * 10, mean / 4)

    def test_repeating_at_once_gains_nothing(self):
        # Load: 5 of 20 customers repeat 10 ms after a refusal.  Guards
        # against callers that get more by sending more often.
        for scale in SCALES:
            with self.subTest(gateways=scale[0]):
                unit = rate(scale[1], 2) / 20
                sources = [
                    overload.Source(
                        f"c{number}",
                        unit,
                        repeat_ms=10 if number < 5 else None,
                    )
                    for number in range(20)
                ]
                outcomes = run(sources, *scale)
                repeating = overload.served(
                    o for o in outcomes if o.source.repeat_ms is not None
                )
                others = overload.served(
                    o for o in outcomes if o.source.repeat_ms is None
                )
                self.assertLessEqual(repeating, others * 1.1)

    def test_priorities_count_and_none_starves(self):
        # Load: three priorities, each of a third.  Guards against priorities
        # without effect, and against a lowest one that gets nothing.
        for scale in SCALES:
            with self.subTest(gateways=scale[0]):
                unit = rate(scale[1], 2) / 21
                sources = [
                    overload.Source(f"c{number}", unit, priority=number % 3)
                    for number in range(21)
                ]
                outcomes = run(sources, *scale)
                served = [
                    overload.served(
                        o for o in outcomes if o.source.priority == priority
                    )
                    for priority in range(3)
                ]
                self.assertGreater(served[0], 0.8)
                self.assertGreater(served[0], 2 * max(served[1:]))
                even = overload.served(outcomes)
                self.assertGreater(min(served), even / 4)

    def test_the_largest_tenth_is_served_half_as_often(self):
        # Load: 20 sizes of up to 20,000 tokens.  Guards against large
        # prompts that are refused each time.
        sizes = tuple(1_000 * number for number in range(1, 21))
        unit = rate(4, 2) / 20
        sources = [
            overload.Source(f"c{number}", unit, sizes) for number in range(20)
        ]
        outcomes = run(sources, 3, 4, SECONDS)
        large = overload.served(o for o in outcomes if o.tokens > 18_000)
        self.assertGreaterEqual(large, overload.served(outcomes) / 2)

    def test_nearly_all_are_served_without_overload(self):
        # Load: 80% of what the engines can do.  Guards against refusals for
        # the sake of fairness while there is room.
        unit = rate(4, 0.8) / 30
        sources = [overload.Source("large", 10 * unit)]
        sources += [
            overload.Source(f"c{number}", unit) for number in range(20)
        ]
        outcomes = run(sources, 3, 4, SECONDS)
        self.assertGreater(overload.value(outcomes), 0.97)

    def test_reports_are_bounded(self):
        # Load: 100 customers.  Guards against datagrams that grow with the
        # number of customers.
        unit = rate(4, 2) / 100
        sources = [
            overload.Source(f"c{number}", unit) for number in range(100)
        ]
        wanted = overload.Overload(sources, 3, 4)
        wanted.run(5)
        self.assertLessEqual(wanted.largest_report, 40)
        self.assertGreater(wanted.largest_report, 20)
