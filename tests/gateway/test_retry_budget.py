"""The retry budget, alone and summed over gateways that come and go."""

import bisect
import typing
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import retry_budget

BOUNDS = domain.Bounds(retry_ratio=0.2, retry_slack=56, retry_window_ms=10_000)
WINDOW_MS = BOUNDS.retry_window_ms


def in_window(times, start):
    """Return how many of ``times`` lie in the window from ``start`` on."""
    end = bisect.bisect_left(times, start + WINDOW_MS)
    return end - bisect.bisect_left(times, start)


def excess(requests, extras):
    """Return by how much the worst window is over the deployment's bound."""
    worst = 0.0
    for start in set(extras):
        counted = max(
            in_window(requests, start - back)
            for back in (0, WINDOW_MS // 2, WINDOW_MS)
        )
        allowed = BOUNDS.retry_ratio * counted + BOUNDS.retry_slack
        worst = max(worst, in_window(extras, start) - allowed)
    return worst


class Step(typing.NamedTuple):
    """What happens to one gateway after a pause of all."""

    gap_ms: int
    gateway: int
    requests: int
    sends: int
    restarts: bool


STEPS = strategies.lists(
    strategies.builds(
        Step,
        gap_ms=strategies.sampled_from([0, 0, 10, 200, 3_000, 9_900]),
        gateway=strategies.integers(0, 60),
        requests=strategies.sampled_from([0, 1, 30, 400]),
        sends=strategies.sampled_from([0, 1, 60]),
        restarts=strategies.sampled_from([False, False, False, True]),
    ),
    min_size=5,
    max_size=60,
)


class Fleet:
    """Gateways that spend all that they may, whenever they are asked."""

    def __init__(self, gateways):
        """Start them all for the first time."""
        self.clock = clock.ManualClock(100_000)
        self.gateways = gateways
        self.started_at = [self.clock.now()] * gateways
        self.is_first = [True] * gateways
        self.budgets = [self.budget() for _ in range(gateways)]
        self.requests = []
        self.extras = []

    def budget(self):
        """Return the budget of a process that begins."""
        return retry_budget.Budget(BOUNDS, self.clock.now)

    def share(self, number):
        """Return what a gateway may spend of the fixed number."""
        age_ms = self.clock.now() - self.started_at[number]
        is_first = self.is_first[number]
        return retry_budget.slack_share(
            BOUNDS, self.gateways, age_ms, is_first
        )

    def play(self, step):
        """Let a step happen."""
        self.clock.advance(step.gap_ms)
        number = step.gateway % self.gateways
        if step.restarts:
            self.budgets[number] = self.budget()
            self.started_at[number] = self.clock.now()
            self.is_first[number] = False
        budget = self.budgets[number]
        for _ in range(step.requests):
            budget.count_request()
            self.requests.append(self.clock.now())
        for _ in range(step.sends):
            if budget.spend(self.share(number)):
                self.extras.append(self.clock.now())


class Sum(unittest.TestCase):
    """All gateways together, against the deployment's own window."""

    @hypothesis.given(STEPS, strategies.sampled_from([1, 2, 7, 61]))
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    def test_no_demand_and_no_restart_takes_the_sum_over_the_bound(
        self, steps, gateways
    ):
        fleet = Fleet(gateways)
        for step in steps:
            fleet.play(step)
        self.assertLessEqual(excess(fleet.requests, fleet.extras), 0)

    def test_restart_of_all_gateways_in_a_storm_of_failures(self):
        for gateways in (7, 61, 71, 350):
            with self.subTest(gateways=gateways):
                fleet = Fleet(gateways)
                for second in range(20):
                    for number in range(gateways):
                        step = Step(0, number, 18, 60, second == 15)
                        fleet.play(step)
                    fleet.clock.advance(1_000)
                self.assertLessEqual(excess(fleet.requests, fleet.extras), 0)

    def test_demand_that_ends_leaves_no_credit_for_the_next_window(self):
        fleet = Fleet(7)
        for number in range(7):
            fleet.play(Step(0, number, 400, 0, False))
        fleet.clock.advance(WINDOW_MS - 1)
        for number in range(7):
            fleet.play(Step(0, number, 400, 200, False))
        self.assertLessEqual(excess(fleet.requests, fleet.extras), 0)


class Budget(unittest.TestCase):
    """The budget of one gateway."""

    def setUp(self):
        """Start a process."""
        self.budget = retry_budget.Budget(
            BOUNDS, clock.ManualClock(100_000).now
        )

    def test_a_quiet_gateway_may_still_retry(self):
        self.assertTrue(
            self.budget.spend(retry_budget.slack_share(BOUNDS, 8, 0, True))
        )

    def test_a_restarted_gateway_has_its_share_after_a_window(self):
        early = retry_budget.slack_share(BOUNDS, 8, WINDOW_MS - 1, False)
        self.assertFalse(self.budget.spend(early))
        late = retry_budget.slack_share(BOUNDS, 8, WINDOW_MS, False)
        self.assertTrue(self.budget.spend(late))

    def test_nothing_is_shared_among_gateways_that_are_not_known(self):
        self.assertEqual(
            retry_budget.slack_share(BOUNDS, None, WINDOW_MS, True), 0
        )

    def test_sends_that_reached_nobody_are_free(self):
        for _ in range(10):
            self.budget.count_request()
        self.assertTrue(self.budget.spend(0))
        self.assertFalse(self.budget.spend(0))
        self.budget.refund(1)
        self.assertTrue(self.budget.spend(0))

    def test_giving_back_more_than_was_taken_earns_nothing(self):
        self.budget.refund(5)
        self.assertFalse(self.budget.spend(0))
