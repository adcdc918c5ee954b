"""The rules of admission control, with random loads."""

import itertools
import random
import unittest

from clementinewall.policy import room

# Random cases per property.
CASES = 300
EVEN_STANDING = room.Standing(10.0, 5.0, 5.0, 3.0)
EXCESS_STANDING = room.Standing(100.0, 20.0, 5.0, 3.0)
OVERLOAD = room.Load(0.5, 1.0)


def request(**more):
    """Return a request that would be served in time."""
    fields = {
        "first_ms": 200.0,
        "wait_ms": 100.0,
        "is_in_time": True,
        "left_ms": 400.0,
        "deadline_ms": 4_000.0,
        "room_ms": 100.0,
        "priority": 0,
        "standing": EVEN_STANDING,
        "slack_ms": 140.0,
    }
    return room.Request(**{**fields, **more})


def late(**more):
    """Return a request that would miss its target."""
    return request(first_ms=600.0, wait_ms=500.0, is_in_time=False, **more)


def random_demands(generator):
    """Return demands of some owners at some priorities."""
    keys = itertools.product(range(generator.randint(1, 12)), range(3))
    found = []
    for owner, priority in keys:
        if generator.random() < 0.7:
            asked = generator.expovariate(0.1)
            admitted = asked * generator.random()
            found.append(room.Demand(str(owner), priority, asked, admitted))
    return found


class Decisions(unittest.TestCase):
    """What is decided on one request."""

    def action(self, wanted, load=OVERLOAD, chance=0.5):
        """Return what is done."""
        return room.decide(wanted, load, chance, 0.5).action

    def test_an_idle_engine_serves_also_beyond_a_share(self):
        # Load: half lacked room a moment ago.  Guards against refusals of a
        # large customer while engines are idle again.
        idle = request(wait_ms=0.0, standing=EXCESS_STANDING)
        for chance in (0.0, 0.5, 0.99):
            self.assertEqual(self.action(idle, chance=chance), room.SERVE)
        busy = idle._replace(wait_ms=100.0)
        self.assertEqual(self.action(busy), room.REFUSE)

    def test_a_request_in_time_is_served_within_its_share(self):
        # Load: half lacks room.  Guards against refusals without a reason.
        for chance in (0.0, 0.5, 0.99):
            self.assertEqual(self.action(request(), chance=chance), room.SERVE)

    def test_excess_is_refused_under_pressure_only(self):
        # Load: a customer at four times its share.  Guards against refusing
        # work that idle engines could do.
        wanted = request(standing=EXCESS_STANDING)
        self.assertEqual(self.action(wanted), room.REFUSE)
        self.assertEqual(self.action(wanted, room.Load()), room.SERVE)

    def test_late_before_refused_unless_others_get_late(self):
        # Load: none and half without room.  Guards against refusals that
        # help nobody, and against late answers that displace others.
        self.assertEqual(self.action(late(), room.Load()), room.SERVE_LATE)
        self.assertEqual(self.action(late()), room.REFUSE)

    def test_what_misses_its_deadline_is_refused(self):
        # Load: each.  Guards against engine time for answers nobody awaits.
        generator = random.Random(1)
        for _ in range(CASES):
            deadline_ms = generator.uniform(10, 1_000)
            wanted = request(
                first_ms=deadline_ms + generator.uniform(0, 1_000),
                deadline_ms=deadline_ms,
                is_in_time=generator.random() < 0.5,
                is_large_underserved=generator.random() < 0.5,
                is_return=generator.random() < 0.5,
            )
            load = room.Load(generator.random(), 1.0)
            self.assertEqual(self.action(wanted, load), room.REFUSE)

    def test_the_underserved_are_served_late(self):
        # Load: half lacks room, and a customer gets less than its minimum.
        # Guards against one that is refused each time.
        standing = room.Standing(10.0, 0.0, 3.0, 3.0)
        wanted = late(standing=standing)
        self.assertEqual(self.action(wanted), room.SERVE_LATE)
        wanted = late(is_large_underserved=True)
        self.assertEqual(self.action(wanted), room.SERVE_LATE)

    def test_a_return_goes_before_a_new_request(self):
        # Load: half lacks room.  Guards against callers that are refused
        # each time they come.
        wanted = request(first_ms=355.0, wait_ms=255.0, is_in_time=False)
        self.assertEqual(self.action(wanted), room.REFUSE)
        wanted = wanted._replace(is_return=True)
        self.assertEqual(self.action(wanted), room.SERVE)

    def test_an_immediate_repeat_gains_nothing(self):
        # Load: half lacks room.  Guards against callers that get more by
        # sending more often.
        wanted = request(is_repeat=True)
        self.assertEqual(self.action(wanted), room.REFUSE)
        self.assertEqual(self.action(wanted, room.Load()), room.SERVE)

    def test_low_priorities_count_those_that_overtake(self):
        # Load: 60% is of a higher priority.  Guards against admitting work
        # that the engines then put off beyond its target.
        standing = EVEN_STANDING._replace(overtaken=0.6)
        self.assertEqual(self.action(request(standing=standing)), room.REFUSE)
        wanted = request(standing=standing, wait_ms=20.0)
        self.assertEqual(self.action(wanted), room.SERVE)

    def test_retries_are_spread_and_the_urgent_come_first(self):
        # Load: as many refused as served.  Guards against callers that all
        # return at once, or later than others of lower priority.
        times = []
        for priority in range(4):
            decisions = [
                room.decide(late(priority=priority), OVERLOAD, 0.5, k / 100)
                for k in range(100)
            ]
            times.append([found.retry_ms for found in decisions])
        for first, second in itertools.pairwise(times):
            self.assertLess(sum(first), sum(second))
        self.assertGreater(len(set(times[0])), 50)
        for each in times:
            self.assertGreaterEqual(min(each), room.MIN_RETRY_MS)
            self.assertLessEqual(max(each), room.MAX_RETRY_MS)


class Entitlements(unittest.TestCase):
    """How what is admitted is split."""

    def test_no_more_is_split_than_there_is(self):
        # Load: random.  Guards against entitlements that hold nobody back.
        generator = random.Random(2)
        for _ in range(CASES):
            demands = random_demands(generator)
            found = room.standings(demands)
            total = sum(standing.entitled for standing in found.values())
            admitted = sum(demand.admitted for demand in demands)
            self.assertLessEqual(total, admitted * 1.001 + 1e-6)

    def test_each_owner_gets_a_quarter_of_an_even_split(self):
        # Load: random.  Guards against starved customers.
        generator = random.Random(3)
        for _ in range(CASES):
            demands = random_demands(generator)
            found = room.standings(demands)
            owners = {demand.owner for demand in demands}
            admitted = sum(demand.admitted for demand in demands)
            for owner in owners:
                asked = sum(d.asked for d in demands if d.owner == owner)
                entitled = sum(
                    standing.entitled
                    for key, standing in found.items()
                    if key[0] == owner
                )
                least = min(asked, admitted / len(owners) / 4)
                self.assertGreaterEqual(entitled, least - 1e-6)

    def test_each_group_gets_half_the_rate_of_all(self):
        # Load: random.  Guards against customers and priorities that are
        # served less than half as often as all.
        generator = random.Random(4)
        for _ in range(CASES):
            demands = random_demands(generator)
            asked = sum(demand.asked for demand in demands)
            admitted = sum(demand.admitted for demand in demands)
            for standing in room.standings(demands).values():
                least = standing.asked * admitted / asked / 2
                self.assertGreaterEqual(standing.entitled, least - 1e-6)

    def test_higher_priorities_come_first_above_the_minimum(self):
        # Load: twice what there is.  Guards against priorities without
        # effect.
        demands = [room.Demand(str(p), p, 30.0, 15.0) for p in range(3)]
        found = room.standings(demands)
        entitled = [found[str(p), p].entitled for p in range(3)]
        self.assertGreater(entitled[0], 2 * entitled[1])
        self.assertAlmostEqual(entitled[1], 9.0)
        self.assertAlmostEqual(entitled[2], 9.0)

    def test_one_with_ten_times_the_demand_takes_from_nobody(self):
        # Load: one customer asks for ten times as much as each of twenty.
        # Guards against splitting by demand alone.
        demands = [room.Demand("large", 0, 100.0, 50.0)] + [
            room.Demand(str(number), 0, 10.0, 5.0) for number in range(20)
        ]
        found = room.standings(demands)
        self.assertLess(found["large", 0].entitled, 31.0)
        self.assertGreater(found["3", 0].entitled, 5.9)
