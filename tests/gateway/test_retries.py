"""The retry budget of one gateway."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import retries

BOUNDS = domain.Bounds(retry_ratio=0.2, retry_slack=56, retry_window_ms=10_000)


class Budget(unittest.TestCase):
    """Any order of requests and retries, in any windows."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 400),
                strategies.integers(0, 3),
                strategies.integers(1, 2),
            ),
            max_size=150,
        ),
        strategies.integers(1, 60),
    )
    @hypothesis.settings(derandomize=True, max_examples=150)
    def test_no_window_goes_over_the_share(self, steps, gateways):
        ticker = clock.ManualClock(100_000)
        budget = retries.Budget(BOUNDS, ticker.now)
        requests = []
        sends = []
        for gap_ms, arriving, wanted in steps:
            ticker.advance(gap_ms)
            for _ in range(arriving):
                budget.count_request()
                requests.append(ticker.now())
            if budget.spend(gateways, wanted):
                sends.extend([ticker.now()] * wanted)
            start = ticker.now() - BOUNDS.retry_window_ms
            allowed = BOUNDS.retry_ratio * sum(t >= start for t in requests)
            allowed += BOUNDS.retry_slack / gateways
            self.assertLessEqual(sum(t >= start for t in sends), allowed)

    def test_a_quiet_gateway_may_still_retry(self):
        budget = retries.Budget(BOUNDS, clock.ManualClock(0).now)
        self.assertTrue(budget.spend(8))
