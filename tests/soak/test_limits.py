"""The checks find broken time limits, bad stops and unneeded work."""

from bench.soak import bounds
from bench.soak import history as history_module
from tests.soak import base

NOW = 100.0
ALLOWED = bounds.AFTER_LIMIT_SECONDS + bounds.SLACK_SECONDS


def run_end(endpoint, at):
    """Return the end of a run."""
    return history_module.RunEnd("a", endpoint, at, True)


def stop(was_ready=True, exit_code=0):
    """Return a stop that took the whole grace."""
    end = NOW + bounds.GRACE_SECONDS
    return history_module.Stop(base.GATEWAY, NOW, end, was_ready, exit_code)


class TimeLimits(base.HistoryCase):
    """Answers that arrive and work that ends too late."""

    def test_an_answer_long_after_the_limit(self):
        late = NOW + 0.8 + ALLOWED + 0.1
        answer = base.sent("a", "slow", at=NOW, ended=late, limit=0.8)
        self.record(answer)
        self.assertEqual(self.violations(), 1)

    def test_an_answer_at_the_limit(self):
        self.record(base.sent("a", "slow", at=NOW, ended=NOW + 0.9, limit=0.8))
        self.assertEqual(self.violations(), 0)

    def test_a_late_answer_of_a_paused_gateway(self):
        self.record(base.sent("a", "slow", at=NOW, ended=NOW + 9, limit=0.8))
        self.record(
            history_module.Disturbance("pause", base.GATEWAY, NOW, NOW + 1)
        )
        self.assertEqual(self.violations(), 0)

    def abandon(self, work_seconds):
        """Let an engine work for ``work_seconds`` after its caller left."""
        left = base.sent("a", "leaving", None, False, at=NOW, ended=NOW + 0.2)
        self.record(
            left._replace(failure=history_module.Failure.ABANDONED),
            base.run("a", "engine-1", NOW),
            run_end("engine-1", NOW + 0.2 + work_seconds),
        )

    def test_work_for_a_caller_that_left(self):
        self.abandon(ALLOWED + 0.1)
        self.assertEqual(self.violations(), 1)

    def test_work_that_ends_with_its_caller(self):
        self.abandon(0.1)
        self.assertEqual(self.violations(), 0)


class Repeats(base.HistoryCase):
    """Repeated work for one request."""

    def resume(self, overlap):
        """Let two engines work on one stream for ``overlap`` seconds."""
        self.record(
            base.sent("a", "long", at=NOW, ended=NOW + 3, numbers=(1, 2)),
            base.run("a", "engine-1", NOW),
            base.run("a", "engine-2", NOW + 1),
            run_end("engine-1", NOW + 1 + overlap),
            run_end("engine-2", NOW + 3),
        )

    def test_two_engines_that_work_on_one_stream(self):
        self.resume(bounds.ENGINE_OVERLAP_SECONDS + bounds.SLACK_SECONDS + 0.1)
        self.assertEqual(self.violations(), 1)

    def test_a_stream_that_was_resumed(self):
        self.resume(0.1)
        self.assertEqual(self.violations(), 0)

    def test_more_endpoints_than_attempts(self):
        self.record(base.sent("a", "safe"))
        for number in range(bounds.MAX_ATTEMPTS):
            self.record(base.run("a", f"app-{number}", NOW))
        self.assertEqual(self.violations(), 0)
        self.record(base.run("a", "app-9", NOW))
        self.assertEqual(self.violations(), 1)

    def test_a_run_at_a_crashed_endpoint_is_not_an_attempt(self):
        self.record(base.sent("a", "safe"))
        for number in range(bounds.MAX_ATTEMPTS + 1):
            self.record(base.run("a", f"app-{number}", NOW))
        self.history.disturbances.append(
            history_module.Disturbance("crash", "app-0", NOW, NOW)
        )
        self.assertEqual(self.violations(), 0)


class Stops(base.HistoryCase):
    """Stops of gateways."""

    def ready(self, after):
        """Record that the gateway reports itself ready."""
        self.record(history_module.Readiness(base.GATEWAY, NOW + after, True))

    def test_readiness_while_draining(self):
        self.record(stop())
        self.ready(bounds.UNREADY_SECONDS + 0.1)
        self.assertEqual(self.violations(), 1)

    def test_readiness_before_a_drain_and_after_the_restart(self):
        self.record(stop())
        self.ready(0.1)
        self.ready(bounds.GRACE_SECONDS + 0.1)
        self.assertEqual(self.violations(), 0)

    def test_a_gateway_that_a_signal_ends(self):
        self.record(stop(exit_code=-1))
        self.assertEqual(self.violations(), 1)

    def test_a_gateway_that_does_not_end(self):
        self.record(stop(exit_code=None))
        self.assertEqual(self.violations(), 1)

    def test_a_gateway_that_had_not_started(self):
        self.record(stop(was_ready=False, exit_code=-15))
        self.assertEqual(self.violations(), 0)
