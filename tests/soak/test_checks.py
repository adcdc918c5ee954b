"""The soak's checks find what is broken, and only that."""

import time

from bench.soak import bounds
from bench.soak import ledger as ledger_module
from tests.soak import base

GATEWAY = base.GATEWAY
run = base.run
sent = base.sent


class Checks(base.LedgerCase):
    """One broken promise each."""

    def test_a_sound_run(self):
        self.see(sent("a"), run("a"))
        self.assertEqual(self.broken(), 0)

    def test_an_unsafe_request_that_ran_twice(self):
        self.see(sent("a"), run("a"), run("a", "app-2"))
        self.assertEqual(self.broken(), 1)

    def test_a_safe_request_may_run_twice(self):
        self.see(sent("a", "safe"), run("a"), run("a", "app-2"))
        self.assertEqual(self.broken(), 0)

    def test_a_refusal_of_what_ran(self):
        self.see(sent("a", status=503), run("a"))
        self.assertEqual(self.broken(), 1)

    def test_an_answer_of_somebody_else(self):
        self.see(sent("a", right=False), run("a"))
        self.assertEqual(self.broken(), 1)

    def test_events_out_of_order_in_an_answer_that_broke_off(self):
        self.see(sent("a", "stream", None, False, numbers=(1, 3)), run("a"))
        self.assertEqual(self.broken(), 1)

    def test_a_run_that_nobody_asked_for(self):
        self.ledger.add(self.ledger.runs, run("a"))
        self.assertEqual(self.broken(), 1)

    def test_work_at_an_endpoint_that_left(self):
        left = time.monotonic()
        self.ledger.left_by_endpoint["app-1"] = left
        late = left + bounds.LEAVING_SECONDS + bounds.SLACK_SECONDS + 0.1
        self.see(sent("a"), run("a", at=late))
        self.assertEqual(self.broken(), 1)
        # A gateway that was paused meanwhile could not know.
        self.ledger.trouble("pause", GATEWAY, 1)
        self.assertEqual(self.broken(), 0)

    def test_a_route_that_is_not_in_force_in_time(self):
        now = time.monotonic()
        self.ledger.versions.append((1, now - 10))
        probe = sent("a", "probe", 404, False, path="/new1/x")
        self.ledger.probes.append(probe)
        self.assertEqual(self.broken(), 1)
        self.ledger.versions[0] = (1, now - 1)
        self.assertEqual(self.broken(), 0)

    def test_orders_of_two_holders(self):
        for holder, token, at in (("a", 1, 0), ("a", 1, 1), ("b", 2, 2)):
            order = ledger_module.Order("engine-1", holder, token, at)
            self.ledger.add(self.ledger.orders, order)
        self.assertEqual(self.broken(), 1)
