"""The soak's check of the loss of all gateways."""

from bench.soak import bounds
from bench.soak import history as history_module
from bench.soak import restarts
from tests.soak import base

LOST_AT = 1_000.0
BACK_AT = LOST_AT + 2
JUDGED_AT = BACK_AT + bounds.RESTART_SECONDS + 1


class RestartsTest(base.HistoryCase):
    """All gateways are lost once."""

    def setUp(self):
        """Record the loss, and that callers were served before."""
        super().setUp()
        self.history.add(
            self.history.restarts,
            history_module.Restart(LOST_AT, BACK_AT, JUDGED_AT + 3),
        )
        self.record_requests(LOST_AT - 2, 10, 0)

    def record_requests(self, at, served, failed, **more):
        """Record requests that were sent at a time."""
        for number in range(served + failed):
            status = 200 if number < served else 503
            attempt = f"{at} {number} {more}"
            self.record(
                base.sent(attempt, status=status, at=at, ended=at, **more)
            )

    def violations(self):
        """Return how many losses were not made up for."""
        return len(list(restarts.find_violations(self.history)))

    def test_service_that_does_not_return_is_found(self):
        self.record_requests(JUDGED_AT, 2, 8)
        self.assertEqual(self.violations(), 1)

    def test_a_quarter_is_enough(self):
        self.record_requests(JUDGED_AT, 5, 15)
        self.assertEqual(self.violations(), 0)

    def test_what_is_sent_before_the_bound_does_not_count(self):
        self.record_requests(JUDGED_AT - 2, 0, 20)
        self.record_requests(JUDGED_AT, 10, 0)
        self.assertEqual(self.violations(), 0)

    def test_wrong_answers_are_no_service(self):
        self.record_requests(JUDGED_AT, 10, 0, is_correct=False)
        self.assertEqual(self.violations(), 1)

    def test_service_that_was_missing_before_is_not_judged(self):
        self.history.sent.clear()
        self.record_requests(LOST_AT - 2, 1, 9)
        self.record_requests(JUDGED_AT, 0, 10)
        self.assertEqual(self.violations(), 0)
