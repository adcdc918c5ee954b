"""The retry budget of one gateway, and summed over restarting gateways."""

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
    """Return how many of ``times`` lie in the window after ``start``."""
    end = bisect.bisect_left(times, start + WINDOW_MS)
    return end - bisect.bisect_left(times, start)


def excess(requests, extras):
    """Return by how many sends the worst window exceeds the bound."""
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
    """An action of one gateway after ``gap_ms`` without any action."""

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
    """Gateways that spend as much of their budgets as a step asks."""

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
        """Return the budget of a new process."""
        return retry_budget.Budget(BOUNDS, self.clock.now)

    def share(self, number):
        """Return what a gateway may spend of the slack."""
        age_ms = self.clock.now() - self.started_at[number]
        is_first = self.is_first[number]
        return retry_budget.slack_share(
            BOUNDS, self.gateways, age_ms, is_first
        )

    def apply(self, step):
        """Apply one step."""
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


class DeploymentBound(unittest.TestCase):
    """Sends of all gateways stay within the deployment's bound."""

    @hypothesis.given(STEPS, strategies.sampled_from([1, 2, 7, 61]))
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    def test_sum_stays_within_the_bound_under_any_load_and_restarts(
        self, steps, gateways
    ):
        fleet = Fleet(gateways)
        for step in steps:
            fleet.apply(step)
        self.assertLessEqual(excess(fleet.requests, fleet.extras), 0)

    def test_sum_stays_within_the_bound_when_all_restart_amid_failures(self):
        for gateways in (7, 61, 71, 350):
            with self.subTest(gateways=gateways):
                fleet = Fleet(gateways)
                for second in range(20):
                    for number in range(gateways):
                        step = Step(0, number, 18, 60, second == 15)
                        fleet.apply(step)
                    fleet.clock.advance(1_000)
                self.assertLessEqual(excess(fleet.requests, fleet.extras), 0)

    def test_credit_of_one_window_does_not_exceed_the_bound_of_the_next(self):
        fleet = Fleet(7)
        for number in range(7):
            fleet.apply(Step(0, number, 400, 0, False))
        fleet.clock.advance(WINDOW_MS - 1)
        for number in range(7):
            fleet.apply(Step(0, number, 400, 200, False))
        self.assertLessEqual(excess(fleet.requests, fleet.extras), 0)


class Budget(unittest.TestCase):
    """The budget of one gateway."""

    def setUp(self):
        """Create the budget of a new process."""
        self.budget = retry_budget.Budget(
            BOUNDS, clock.ManualClock(100_000).now
        )

    def test_gateway_without_requests_may_spend_its_share(self):
        self.assertTrue(
            self.budget.spend(retry_budget.slack_share(BOUNDS, 8, 0, True))
        )

    def test_restarted_gateway_gets_its_share_after_a_window(self):
        early = retry_budget.slack_share(BOUNDS, 8, WINDOW_MS - 1, False)
        self.assertFalse(self.budget.spend(early))
        late = retry_budget.slack_share(BOUNDS, 8, WINDOW_MS, False)
        self.assertTrue(self.budget.spend(late))

    def test_share_is_zero_if_the_number_of_gateways_is_unknown(self):
        self.assertEqual(
            retry_budget.slack_share(BOUNDS, None, WINDOW_MS, True), 0
        )

    def test_refunded_sends_can_be_spent_again(self):
        for _ in range(10):
            self.budget.count_request()
        self.assertTrue(self.budget.spend(0))
        self.assertFalse(self.budget.spend(0))
        self.budget.refund(1)
        self.assertTrue(self.budget.spend(0))

    def test_refund_of_more_than_was_spent_adds_no_credit(self):
        self.budget.refund(5)
        self.assertFalse(self.budget.spend(0))
