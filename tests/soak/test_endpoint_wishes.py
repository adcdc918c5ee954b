"""The soak's checks of endpoints that ask for rest or leave."""

from bench.soak import bounds
from bench.soak import endpoint_wishes
from bench.soak import history as history_module
from tests.soak import base

AT = 1_000.0
GATEWAY = base.GATEWAY
OTHER_GATEWAY = "gateway-2"
REST_SECONDS = 3.0
# Within the time of rest, after its delay.
IN_REST = AT + 1.5


class WishCase(base.HistoryCase):
    """Requests that reached an endpoint."""

    def violations(self):
        """Return how many wishes were not heeded."""
        return len(list(endpoint_wishes.find_violations(self.history)))

    def record_arrivals(self, number, at, gateway=GATEWAY, endpoint="e"):
        """Record requests that were sent and reached an endpoint at once."""
        for each in range(number):
            attempt = f"{gateway} {endpoint} {at} {each}"
            self.record(
                base.sent(attempt, at=at, gateway=gateway),
                history_module.Arrival(attempt, endpoint, "app", at, False),
            )

    def disturb(self, what, start, end, target=GATEWAY):
        """Record an unplanned disturbance."""
        self.record(history_module.Disturbance(what, target, start, end))

    def stop(self, start, end):
        """Record a stop whose process ended at ``end``."""
        self.record(history_module.Stop(GATEWAY, start, end, True, 0))


class Rest(WishCase):
    """An endpoint that asked one gateway for rest."""

    def setUp(self):
        """Record the refusal that asks for rest."""
        super().setUp()
        self.record(base.sent("refused", at=AT, status=503))
        row = history_module.RestRequest("refused", "e", AT, REST_SECONDS)
        self.history.add(self.history.rest_requests, row)

    def test_two_requests_in_the_time_of_rest(self):
        self.record_arrivals(2, IN_REST)
        self.assertEqual(self.violations(), 0)

    def test_three_requests_in_the_time_of_rest(self):
        self.record_arrivals(3, IN_REST)
        self.assertEqual(self.violations(), 1)

    def test_requests_just_after_the_refusal_and_after_the_rest(self):
        delay = bounds.REST_DELAY_SECONDS
        self.record_arrivals(3, AT + delay - 0.01)
        self.record_arrivals(3, AT + REST_SECONDS + 0.01)
        self.assertEqual(self.violations(), 0)
        self.record_arrivals(3, AT + delay + 0.01)
        self.assertEqual(self.violations(), 1)

    def test_requests_of_others_and_to_others(self):
        self.record_arrivals(3, IN_REST, OTHER_GATEWAY)
        self.record_arrivals(3, IN_REST, endpoint="e2")
        self.assertEqual(self.violations(), 0)

    def test_prefills_retries_and_orders_count(self):
        self.record_arrivals(1, IN_REST)
        attempt = self.history.arrivals[0].attempt
        retry = history_module.Arrival(attempt, "e", "app", IN_REST, True)
        self.record(retry)
        self.assertEqual(self.violations(), 0)
        self.history.gateway_by_holder["127.0.0.1"] = GATEWAY
        order = history_module.Order("e", "127.0.0.1", 1, IN_REST)
        self.history.add(self.history.orders, order)
        self.assertEqual(self.violations(), 1)

    def test_a_restart_in_the_time_of_rest_excuses(self):
        self.record_arrivals(3, IN_REST)
        self.stop(AT - 2, AT + 1)
        self.assertEqual(self.violations(), 0)

    def test_a_drain_before_the_end_of_the_process_excuses_nothing(self):
        self.record_arrivals(3, IN_REST)
        self.history.record_disturbance("term", GATEWAY, 20, is_planned=True)
        self.stop(AT - 1, AT + REST_SECONDS + 1)
        self.assertEqual(self.violations(), 1)

    def test_unplanned_disturbances_of_gateway_or_endpoint_excuse(self):
        for target in (GATEWAY, "e"):
            with self.subTest(target):
                self.history.disturbances.clear()
                self.history.arrivals.clear()
                self.record_arrivals(3, IN_REST)
                self.assertEqual(self.violations(), 1)
                self.disturb("blackhole", AT + 1, AT + 2, target)
                self.assertEqual(self.violations(), 0)

    def test_a_disturbed_store_excuses_nothing(self):
        self.record_arrivals(3, IN_REST)
        self.disturb("silent", AT, AT + 9, None)
        self.assertEqual(self.violations(), 1)


class Leave(WishCase):
    """An endpoint whose answer, passed on by a gateway, says it leaves."""

    late = AT + bounds.DRAINING_SECONDS + 0.1

    def setUp(self):
        """Record the answer."""
        super().setUp()
        self.notify("noticed", AT)

    def notify(self, attempt, at, **more):
        """Record an answer that says that its endpoint leaves."""
        self.record(
            base.sent(attempt, at=at - 0.1, head_at=at)._replace(**more),
            base.run(attempt, "e", at - 0.1),
        )
        row = history_module.LeaveNotice(attempt, "e", at)
        self.history.add(self.history.leave_notices, row)

    def test_a_request_sent_within_the_bound(self):
        self.record_arrivals(3, self.late - 0.2)
        self.assertEqual(self.violations(), 0)

    def test_a_request_sent_later(self):
        self.record_arrivals(1, self.late)
        self.assertEqual(self.violations(), 1)

    def test_a_request_sent_in_time_that_arrives_later(self):
        self.record(base.sent("a", at=AT + 1))
        self.record(history_module.Arrival("a", "e", "app", self.late, False))
        self.assertEqual(self.violations(), 0)

    def test_requests_of_others_and_to_others(self):
        self.record_arrivals(1, self.late, OTHER_GATEWAY)
        self.record_arrivals(1, self.late, endpoint="e2")
        self.assertEqual(self.violations(), 0)

    def test_a_notice_that_did_not_reach_a_caller(self):
        self.history.sent[0] = self.history.sent[0]._replace(head_at=None)
        self.record_arrivals(1, self.late)
        self.assertEqual(self.violations(), 0)

    def test_a_notice_whose_answer_may_be_of_another_endpoint(self):
        self.record(base.run("noticed", "e2", AT))
        self.record_arrivals(1, self.late)
        self.assertEqual(self.violations(), 0)

    def test_a_stream_that_its_caller_left(self):
        self.history.sent.clear()
        self.notify(
            "abandoned",
            AT,
            status=None,
            failure=history_module.Failure.ABANDONED,
        )
        self.record_arrivals(1, self.late)
        self.assertEqual(self.violations(), 1)

    def test_a_restart_since_then_excuses(self):
        self.record_arrivals(1, self.late)
        self.stop(AT - 1, AT + 1)
        self.assertEqual(self.violations(), 0)

    def test_a_notice_after_the_restart(self):
        self.stop(AT - 1, AT + 1)
        self.notify("again", AT + 1.5)
        self.record_arrivals(1, self.late + 1.5)
        self.assertEqual(self.violations(), 1)

    def test_a_drain_before_the_end_of_the_process_excuses_nothing(self):
        self.record_arrivals(1, self.late)
        self.stop(AT - 1, self.late + 1)
        self.assertEqual(self.violations(), 1)

    def test_a_freeze_or_kill_since_then_excuses(self):
        for what in ("pause", "kill"):
            with self.subTest(what):
                self.history.disturbances.clear()
                self.history.arrivals.clear()
                self.record_arrivals(1, self.late)
                self.disturb(what, AT + 1, AT + 5)
                self.assertEqual(self.violations(), 0)

    def test_a_cut_gateway_or_store_excuses_nothing(self):
        self.record_arrivals(1, self.late)
        self.disturb("blackhole", AT, AT + 9)
        self.disturb("silent", AT, AT + 9, None)
        self.assertEqual(self.violations(), 1)
