"""The checks find lost accepted requests and no others."""

from bench.soak import bounds
from bench.soak import history as history_module
from tests.soak import base

NOW = 100.0


def closed(seconds=0.4, **more):
    """Return a request whose connection closed after ``seconds``."""
    row = base.sent("a", "long", None, False, at=NOW, ended=NOW + seconds)
    return row._replace(failure=history_module.Failure.CLOSED)._replace(**more)


def arrival(endpoint="engine-1"):
    """Return the arrival of the request at an endpoint."""
    return history_module.Arrival("a", endpoint, "model", NOW, False)


def stop(before):
    """Return a stop with SIGTERM ``before`` seconds before the request."""
    at = NOW - before
    return history_module.Stop(
        base.GATEWAY, at, at + bounds.GRACE_SECONDS, True, 0
    )


def disturbance(what, target, is_planned=False):
    """Return a disturbance of a target while the request was open."""
    return history_module.Disturbance(what, target, NOW, NOW + 1, is_planned)


class Losses(base.HistoryCase):
    """Connections that closed without a complete answer."""

    def test_a_request_that_reached_an_endpoint_is_lost(self):
        self.record(closed(), arrival())
        self.assertEqual(self.violations(), 1)

    def test_a_request_sent_while_the_gateway_closed_is_not_lost(self):
        self.record(closed(bounds.CLOSE_RACE_SECONDS))
        self.assertEqual(self.violations(), 0)

    def test_a_request_that_was_held_and_sent_nowhere_is_lost(self):
        held = bounds.CLOSE_RACE_SECONDS + bounds.SLACK_SECONDS + 0.1
        self.record(closed(held))
        self.assertEqual(self.violations(), 1)

    def test_a_connection_that_was_refused_loses_nothing(self):
        for failure in (
            history_module.Failure.NOT_CONNECTED,
            history_module.Failure.NOT_SENT,
            history_module.Failure.ABANDONED,
        ):
            self.record(closed(failure=failure))
        self.assertEqual(self.violations(), 0)

    def test_planned_work_excuses_no_loss(self):
        self.record(
            closed(), arrival(), disturbance("term", base.GATEWAY, True)
        )
        self.assertEqual(self.violations(), 1)

    def test_a_killed_gateway_excuses_a_loss(self):
        self.record(closed(), arrival(), disturbance("kill", base.GATEWAY))
        self.assertEqual(self.violations(), 0)

    def test_a_kill_of_another_gateway_excuses_no_loss(self):
        self.record(closed(), arrival(), disturbance("kill", "gateway-2"))
        self.assertEqual(self.violations(), 1)

    def test_a_crashed_endpoint_excuses_a_loss(self):
        self.record(closed(), arrival(), disturbance("crash", "engine-1"))
        self.assertEqual(self.violations(), 0)

    def test_a_busy_store_excuses_a_loss(self):
        self.record(closed(), arrival(), disturbance("busy", None))
        self.assertEqual(self.violations(), 0)

    def test_a_request_at_its_limit_is_not_lost(self):
        self.record(closed(3.0), arrival())
        self.assertEqual(self.violations(), 0)

    def test_work_that_outlasts_the_grace_is_excused_if_sent_early(self):
        early = bounds.EARLY_IN_DRAIN_SECONDS
        self.record(closed(2.5, limit=5.0), arrival(), stop(early))
        self.assertEqual(self.violations(), 0)

    def test_work_that_outlasts_the_grace_is_lost_if_sent_late(self):
        late = bounds.EARLY_IN_DRAIN_SECONDS + 0.1
        self.record(closed(1.6, limit=5.0), arrival(), stop(late))
        self.assertEqual(self.violations(), 1)

    def test_the_stop_of_an_earlier_process_excuses_nothing(self):
        earlier = stop(1.0)._replace(ended=NOW - 0.1)
        self.record(closed(1.8, limit=5.0), arrival(), earlier)
        self.assertEqual(self.violations(), 1)

    def test_an_early_request_that_was_cut_long_before_the_end_is_lost(self):
        end = history_module.RunEnd("a", "engine-1", NOW + 2.8, False)
        self.record(closed(0.6), arrival(), stop(0.1), end)
        self.assertEqual(self.violations(), 1)

    def test_an_engine_that_was_done_before_the_end_excuses_nothing(self):
        done = NOW + bounds.END_OF_DRAIN_SECONDS - 1
        end = history_module.RunEnd("a", "engine-1", done, True)
        self.record(closed(2.6, limit=5.0), arrival(), stop(0.1), end)
        self.assertEqual(self.violations(), 1)
