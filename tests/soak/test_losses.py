"""Accepted requests that were lost are found, and no others."""

from bench.soak import bounds
from bench.soak import ledger as ledger_module
from tests.soak import base

NOW = 100.0


def closed(seconds=0.4, **more):
    """Return a request whose connection closed after so many seconds."""
    row = base.sent("a", "long", None, False, at=NOW, ended=NOW + seconds)
    return row._replace(failure=ledger_module.Failure.CLOSED)._replace(**more)


def arrival(endpoint="engine-1"):
    """Return the arrival of the request at an endpoint."""
    return ledger_module.Arrival("a", endpoint, "model", NOW, False)


def stop(before):
    """Return a SIGTERM so many seconds before the request."""
    at = NOW - before
    return ledger_module.Stop(
        base.GATEWAY, at, at + bounds.GRACE_SECONDS, True, 0
    )


def trouble(what, target, is_planned=False):
    """Return what was done to a target while the request was open."""
    return ledger_module.Trouble(what, target, NOW, NOW + 1, is_planned)


class Losses(base.LedgerCase):
    """A connection that closed without a whole answer."""

    def test_a_request_that_reached_an_endpoint_is_lost(self):
        self.see(closed(), arrival())
        self.assertEqual(self.broken(), 1)

    def test_a_request_that_crossed_the_close_is_not(self):
        self.see(closed(bounds.LOSS_SLACK_SECONDS))
        self.assertEqual(self.broken(), 0)

    def test_a_request_that_was_held_and_sent_nowhere_is_lost(self):
        held = bounds.LOSS_SLACK_SECONDS + bounds.SLACK_SECONDS + 0.1
        self.see(closed(held))
        self.assertEqual(self.broken(), 1)

    def test_a_connection_that_was_refused_loses_nothing(self):
        for failure in (
            ledger_module.Failure.NOT_CONNECTED,
            ledger_module.Failure.NOT_SENT,
            ledger_module.Failure.ABANDONED,
        ):
            self.see(closed(failure=failure))
        self.assertEqual(self.broken(), 0)

    def test_planned_work_excuses_nothing(self):
        self.see(closed(), arrival(), trouble("term", base.GATEWAY, True))
        self.assertEqual(self.broken(), 1)

    def test_unplanned_trouble_at_the_gateway_excuses(self):
        self.see(closed(), arrival(), trouble("kill", base.GATEWAY))
        self.assertEqual(self.broken(), 0)

    def test_trouble_at_another_gateway_does_not(self):
        self.see(closed(), arrival(), trouble("kill", "gateway-2"))
        self.assertEqual(self.broken(), 1)

    def test_an_endpoint_that_crashed_excuses(self):
        self.see(closed(), arrival(), trouble("crash", "engine-1"))
        self.assertEqual(self.broken(), 0)

    def test_trouble_at_the_store_excuses(self):
        self.see(closed(), arrival(), trouble("busy", None))
        self.assertEqual(self.broken(), 0)

    def test_a_request_at_its_limit_is_not_lost(self):
        self.see(closed(3.0), arrival())
        self.assertEqual(self.broken(), 0)

    def test_work_that_outlasts_the_grace_is_excused_if_sent_early(self):
        early = bounds.EARLY_IN_DRAIN_SECONDS
        self.see(closed(2.5, limit=5.0), arrival(), stop(early))
        self.assertEqual(self.broken(), 0)

    def test_work_that_outlasts_the_grace_is_lost_if_sent_late(self):
        late = bounds.EARLY_IN_DRAIN_SECONDS + 0.1
        self.see(closed(1.6, limit=5.0), arrival(), stop(late))
        self.assertEqual(self.broken(), 1)

    def test_the_stop_of_an_earlier_process_excuses_nothing(self):
        earlier = stop(1.0)._replace(ended=NOW - 0.1)
        self.see(closed(1.8, limit=5.0), arrival(), earlier)
        self.assertEqual(self.broken(), 1)

    def test_an_early_request_that_was_cut_long_before_the_end_is_lost(self):
        end = ledger_module.RunEnd("a", "engine-1", NOW + 2.8, False)
        self.see(closed(0.6), arrival(), stop(0.1), end)
        self.assertEqual(self.broken(), 1)

    def test_an_engine_that_was_done_before_the_end_excuses_nothing(self):
        done = NOW + bounds.END_OF_DRAIN_SECONDS - 1
        end = ledger_module.RunEnd("a", "engine-1", done, True)
        self.see(closed(2.6, limit=5.0), arrival(), stop(0.1), end)
        self.assertEqual(self.broken(), 1)
