"""Broken time limits, stops and needless work are found."""

from bench.soak import bounds
from bench.soak import ledger as ledger_module
from tests.soak import base

NOW = 100.0
ALLOWED = bounds.AFTER_LIMIT_SECONDS + bounds.SLACK_SECONDS


def run_end(endpoint, at):
    """Return the end of a run."""
    return ledger_module.RunEnd("a", endpoint, at, True)


def stop(was_ready=True, exit_code=0):
    """Return a stop that took its grace."""
    end = NOW + bounds.GRACE_SECONDS
    return ledger_module.Stop(base.GATEWAY, NOW, end, was_ready, exit_code)


class TimeLimits(base.LedgerCase):
    """Answers and work that come too late."""

    def test_an_answer_long_after_the_limit(self):
        late = NOW + 0.8 + ALLOWED + 0.1
        answer = base.sent("a", "slow", at=NOW, ended=late, limit=0.8)
        self.see(answer)
        self.assertEqual(self.broken(), 1)

    def test_an_answer_at_the_limit(self):
        self.see(base.sent("a", "slow", at=NOW, ended=NOW + 0.9, limit=0.8))
        self.assertEqual(self.broken(), 0)

    def test_a_late_answer_of_a_paused_gateway(self):
        self.see(base.sent("a", "slow", at=NOW, ended=NOW + 9, limit=0.8))
        self.see(ledger_module.Trouble("pause", base.GATEWAY, NOW, NOW + 1))
        self.assertEqual(self.broken(), 0)

    def leave(self, work_seconds):
        """Leave an engine at work for so long after its caller."""
        left = base.sent("a", "leaving", None, False, at=NOW, ended=NOW + 0.2)
        self.see(
            left._replace(failure=ledger_module.Failure.ABANDONED),
            base.run("a", "engine-1", NOW),
            run_end("engine-1", NOW + 0.2 + work_seconds),
        )

    def test_work_for_a_caller_that_left(self):
        self.leave(ALLOWED + 0.1)
        self.assertEqual(self.broken(), 1)

    def test_work_that_ends_with_its_caller(self):
        self.leave(0.1)
        self.assertEqual(self.broken(), 0)


class Repeats(base.LedgerCase):
    """More work than one request may cause."""

    def resume(self, overlap):
        """Let two engines work on one stream for so long."""
        self.see(
            base.sent("a", "long", at=NOW, ended=NOW + 3, numbers=(1, 2)),
            base.run("a", "engine-1", NOW),
            base.run("a", "engine-2", NOW + 1),
            run_end("engine-1", NOW + 1 + overlap),
            run_end("engine-2", NOW + 3),
        )

    def test_two_engines_at_one_stream(self):
        self.resume(bounds.TWO_ENGINES_SECONDS + bounds.SLACK_SECONDS + 0.1)
        self.assertEqual(self.broken(), 1)

    def test_a_stream_that_was_resumed(self):
        self.resume(0.1)
        self.assertEqual(self.broken(), 0)

    def test_more_endpoints_than_attempts(self):
        self.see(base.sent("a", "safe"))
        for number in range(bounds.MAX_ATTEMPTS):
            self.see(base.run("a", f"app-{number}", NOW))
        self.assertEqual(self.broken(), 0)
        self.see(base.run("a", "app-9", NOW))
        self.assertEqual(self.broken(), 1)

    def test_a_crashed_endpoint_costs_no_attempt(self):
        self.see(base.sent("a", "safe"))
        for number in range(bounds.MAX_ATTEMPTS + 1):
            self.see(base.run("a", f"app-{number}", NOW))
        self.ledger.troubles.append(
            ledger_module.Trouble("crash", "app-0", NOW, NOW)
        )
        self.assertEqual(self.broken(), 0)


class Stops(base.LedgerCase):
    """How gateways end."""

    def ready(self, after):
        """Note that the gateway says that it is ready."""
        self.see(ledger_module.Readiness(base.GATEWAY, NOW + after, True))

    def test_readiness_in_a_drain(self):
        self.see(stop())
        self.ready(bounds.UNREADY_SECONDS + 0.1)
        self.assertEqual(self.broken(), 1)

    def test_readiness_before_a_drain_and_after_the_restart(self):
        self.see(stop())
        self.ready(0.1)
        self.ready(bounds.GRACE_SECONDS + 0.1)
        self.assertEqual(self.broken(), 0)

    def test_a_gateway_that_a_signal_ends(self):
        self.see(stop(exit_code=-1))
        self.assertEqual(self.broken(), 1)

    def test_a_gateway_that_does_not_end(self):
        self.see(stop(exit_code=None))
        self.assertEqual(self.broken(), 1)

    def test_a_gateway_that_had_not_started(self):
        self.see(stop(was_ready=False, exit_code=-15))
        self.assertEqual(self.broken(), 0)
