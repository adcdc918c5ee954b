"""The soak's check of endpoints that name a request limit."""

from bench.soak import bounds
from bench.soak import history as history_module
from bench.soak import request_limits
from tests.soak import base

AT = 1_000.0
PER_SECOND = 2.0
ALLOWED = 17
# In a window that counts.
COUNTED = AT + bounds.LIMIT_DELAY_SECONDS + 0.1
GATEWAYS = (base.GATEWAY, "gateway-2")


class LimitCase(base.HistoryCase):
    """An endpoint that told two gateways of its limit."""

    def setUp(self):
        """Record the answers that name it."""
        super().setUp()
        span = history_module.LimitSpan("e", PER_SECOND, AT, AT + 20)
        self.history.add(self.history.limit_spans, span)
        for gateway in GATEWAYS:
            name = f"told {gateway}"
            self.record(base.sent(name, at=AT, gateway=gateway))
            self.history.add(
                self.history.limit_notices,
                history_module.LimitNotice(name, "e", AT),
            )

    def violations(self):
        """Return how many limits were not kept."""
        return len(list(request_limits.find_violations(self.history)))

    def record_arrivals(self, number, at=COUNTED, gateway=base.GATEWAY):
        """Record requests that were sent and reached the endpoint."""
        for each in range(number):
            attempt = f"{gateway} {at} {each}"
            self.record(
                base.sent(attempt, at=at, gateway=gateway),
                history_module.Arrival(attempt, "e", "app", at, False),
            )

    def test_as_many_as_are_allowed(self):
        self.record_arrivals(ALLOWED)
        self.assertEqual(self.violations(), 0)

    def test_the_sum_over_gateways_counts(self):
        self.record_arrivals(ALLOWED // 2 + 1)
        self.record_arrivals(ALLOWED // 2 + 1, gateway=GATEWAYS[1])
        self.assertEqual(self.violations(), 1)

    def test_windows_slide(self):
        self.record_arrivals(ALLOWED, COUNTED + 2)
        self.record_arrivals(1, COUNTED + 5)
        self.assertEqual(self.violations(), 1)
        self.history.arrivals.pop()
        self.record_arrivals(1, COUNTED + 7)
        self.assertEqual(self.violations(), 0)

    def test_before_the_limit_has_to_hold(self):
        self.record_arrivals(ALLOWED + 1, COUNTED - 0.2)
        self.assertEqual(self.violations(), 0)

    def test_gateways_that_were_not_told(self):
        self.record_arrivals(ALLOWED + 1, gateway="gateway-3")
        self.assertEqual(self.violations(), 0)

    def test_a_disturbed_gateway_is_excused(self):
        self.record_arrivals(ALLOWED + 1)
        self.record(
            history_module.Disturbance("pause", base.GATEWAY, AT + 1, AT + 2)
        )
        self.assertEqual(self.violations(), 0)
