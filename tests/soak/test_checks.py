"""The soak's checks find broken guarantees and nothing else."""

import time

from bench.soak import bounds
from bench.soak import history as history_module
from tests.soak import base

GATEWAY = base.GATEWAY
run = base.run
sent = base.sent


class Checks(base.HistoryCase):
    """Histories in which at most one guarantee is broken."""

    def test_a_request_that_ran_once(self):
        self.record(sent("a"), run("a"))
        self.assertEqual(self.violations(), 0)

    def test_an_unsafe_request_that_ran_twice(self):
        self.record(sent("a"), run("a"), run("a", "app-2"))
        self.assertEqual(self.violations(), 1)

    def test_a_safe_request_may_run_twice(self):
        self.record(sent("a", "safe"), run("a"), run("a", "app-2"))
        self.assertEqual(self.violations(), 0)

    def test_an_unsafe_request_refused_after_it_ran(self):
        self.record(sent("a", status=503), run("a"))
        self.assertEqual(self.violations(), 1)

    def test_an_answer_to_another_request(self):
        self.record(sent("a", is_correct=False), run("a"))
        self.assertEqual(self.violations(), 1)

    def test_missing_events_in_a_truncated_stream(self):
        self.record(sent("a", "stream", None, False, numbers=(1, 3)), run("a"))
        self.assertEqual(self.violations(), 1)

    def test_a_run_of_a_request_that_was_never_sent(self):
        self.history.add(self.history.runs, run("a"))
        self.assertEqual(self.violations(), 1)

    def test_a_run_at_a_drained_endpoint(self):
        left = time.monotonic()
        self.history.drained_at_by_endpoint["app-1"] = left
        late = left + bounds.DRAINING_SECONDS + bounds.SLACK_SECONDS + 0.1
        self.record(sent("a"), run("a", at=late))
        self.assertEqual(self.violations(), 1)
        # A gateway that was paused meanwhile can't have received the update.
        self.history.record_disturbance("pause", GATEWAY, 1)
        self.assertEqual(self.violations(), 0)

    def test_a_route_that_is_not_active_in_time(self):
        now = time.monotonic()
        self.history.versions.append((1, now - 10))
        probe = sent("a", "probe", 404, False, path="/new1/x")
        self.history.probes.append(probe)
        self.assertEqual(self.violations(), 1)
        self.history.versions[0] = (1, now - 1)
        self.assertEqual(self.violations(), 0)

    def test_orders_of_two_lease_holders_within_the_interval(self):
        for holder, token, at in (("a", 1, 0), ("a", 1, 1), ("b", 2, 2)):
            order = history_module.Order("engine-1", holder, token, at)
            self.history.add(self.history.orders, order)
        self.assertEqual(self.violations(), 1)
