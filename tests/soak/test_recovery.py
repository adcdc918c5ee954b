"""The soak's check of gateways that are cut off from all endpoints."""

from bench.soak import bounds
from bench.soak import history as history_module
from bench.soak import recovery
from tests.soak import base

AT = 1_000.0
JUDGED_AT = AT + bounds.STABLE_SECONDS + 0.5
OTHER = "gateway-2"


class RecoveryTest(base.HistoryCase):
    """One of two gateways is cut off."""

    def setUp(self):
        """Record the cut."""
        super().setUp()
        self.history.add(
            self.history.cuts,
            history_module.Cut((base.GATEWAY,), AT, AT + 8),
        )
        self.disturb(history_module.CUT, base.GATEWAY)

    def disturb(self, what, gateway):
        """Record a disturbance of a gateway throughout."""
        self.record(history_module.Disturbance(what, gateway, AT, AT + 12))

    def record_requests(self, gateway, served, failed, **more):
        """Record requests of a gateway's callers."""
        more = {"at": JUDGED_AT, "ended": JUDGED_AT + 1, **more}
        for number in range(served + failed):
            status = 200 if number < served else 503
            attempt = f"{gateway} {number} {more}"
            self.record(
                base.sent(attempt, status=status, gateway=gateway, **more)
            )

    def violations(self):
        """Return how many cuts were not made up for."""
        return len(list(recovery.find_violations(self.history)))

    def test_gateways_that_serve_far_less_are_found(self):
        self.record_requests(base.GATEWAY, 10, 20)
        self.record_requests(OTHER, 30, 0)
        self.assertEqual(self.violations(), 1)

    def test_two_thirds_of_the_others_share_are_enough(self):
        self.record_requests(base.GATEWAY, 20, 20)
        self.record_requests(OTHER, 30, 10)
        self.assertEqual(self.violations(), 0)

    def test_a_few_failures_are_allowed(self):
        self.record_requests(base.GATEWAY, 0, 10)
        self.record_requests(OTHER, 30, 0)
        self.assertEqual(self.violations(), 0)

    def test_services_are_compared_with_themselves(self):
        # Guards against blaming a cut for which service callers asked for.
        self.record_requests(base.GATEWAY, 0, 20)
        self.record_requests(base.GATEWAY, 6, 4, path="/chat/x")
        self.record_requests(OTHER, 0, 5)
        self.record_requests(OTHER, 30, 20, path="/chat/x")
        self.assertEqual(self.violations(), 0)

    def test_one_service_that_is_served_far_less_is_found(self):
        self.record_requests(base.GATEWAY, 10, 0)
        self.record_requests(base.GATEWAY, 4, 26, path="/chat/x")
        self.record_requests(OTHER, 10, 0)
        self.record_requests(OTHER, 30, 0, path="/chat/x")
        self.assertEqual(self.violations(), 1)

    def test_the_first_seconds_do_not_count(self):
        self.record_requests(base.GATEWAY, 0, 30, at=AT + 2)
        self.record_requests(OTHER, 30, 0)
        self.assertEqual(self.violations(), 0)

    def test_a_wrong_answer_is_not_served(self):
        self.record_requests(base.GATEWAY, 30, 0, is_correct=False)
        self.record_requests(OTHER, 30, 0)
        self.assertEqual(self.violations(), 1)

    def test_gateways_that_are_disturbed_otherwise_do_not_count(self):
        self.record_requests(base.GATEWAY, 0, 30)
        self.record_requests(OTHER, 30, 0)
        self.disturb("pause", base.GATEWAY)
        self.assertEqual(self.violations(), 0)

    def test_seconds_without_a_measure_do_not_count(self):
        # Endpoints may refuse everybody while no other gateway is judged.
        self.record_requests(base.GATEWAY, 10, 0)
        self.record_requests(OTHER, 10, 0)
        self.record_requests(base.GATEWAY, 0, 30, at=JUDGED_AT + 2)
        self.assertEqual(self.violations(), 0)

    def test_a_bad_second_is_not_made_up_for_by_good_ones_of_others(self):
        # Guards against a measure that the others' other requests raise.
        self.record_requests(base.GATEWAY, 0, 30)
        self.record_requests(OTHER, 10, 0)
        self.record_requests(base.GATEWAY, 10, 0, at=JUDGED_AT + 2)
        self.record_requests(OTHER, 0, 90, at=JUDGED_AT + 2)
        self.assertEqual(self.violations(), 1)

    def test_gateways_in_another_cut_are_no_measure(self):
        self.record_requests(base.GATEWAY, 0, 30)
        self.record_requests(OTHER, 0, 30)
        self.record_requests("gateway-3", 30, 0)
        self.disturb(history_module.CUT, OTHER)
        self.assertEqual(self.violations(), 1)
