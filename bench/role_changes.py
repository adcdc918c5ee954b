"""Role changes within a replay: planned, carried out and counted."""

import collections

from clementinewall.policy import roles
from clementinewall.steward import planner

PLAN_INTERVAL_MS = 2_000.0
THRESHOLD_QUEUE_MS = 1_500.0
THRESHOLD_CROWD = 1.2


class RoleChanges:
    """Changes the roles of engines as the strategy's planner says.

    ``window`` counts the requests offered and answered well since the last
    plan; ``changes`` and ``lost_ms`` are what the changes cost.
    """

    def __init__(self, clock, engines, policy, strategy):
        """Start with no change under way."""
        self._clock = clock
        self._engines = engines
        self._policy = policy
        self._planner = strategy.planner
        self._pending = {}
        self._model_plan = roles.ModelPlan(0.0)
        self._last_reports = {}
        self.window = collections.Counter()
        self.changes = 0
        self.lost_ms = 0.0

    def plan(self, drained):
        """Continue changes under way, then plan for undrained engines."""
        now = self._clock.now
        self._continue_changes()
        reports = {}
        for name, engine in self._engines.items():
            engine.advance(now)
            if name not in drained:
                reports[name] = engine.report()
        if self._planner == "policy":
            self._propose(reports)
        elif self._planner == "threshold":
            self._react(reports)
        self._last_reports = reports

    def _propose(self, reports):
        if not self._last_reports:
            return
        demand = planner.demand_of(
            reports, self._last_reports, PLAN_INTERVAL_MS
        )
        seen, self.window = self.window, collections.Counter()
        self._model_plan.record_demand(
            demand, seen["offered"], seen["good"], PLAN_INTERVAL_MS
        )
        views = [
            roles.EngineView(
                name,
                report.role,
                is_unavailable=name in self._pending,
                running=report.running,
            )
            for name, report in reports.items()
        ]
        proposal = self._model_plan.next_change(
            views, self._policy, self._clock.now
        )
        if proposal is not None:
            self._begin_change(proposal.engine, proposal.role)
            self._model_plan.record_change(self._clock.now)

    def _react(self, reports):
        """Change a role when one kind of work queues up (the baseline)."""
        if self._pending:
            return
        counts = collections.Counter(r.role for r in reports.values())
        queue = max(
            r.queued_tokens * r.prefill_us / 1e3 for r in reports.values()
        )
        crowd = max(r.running / r.slots for r in reports.values())
        if queue > THRESHOLD_QUEUE_MS and counts["decode"] > 1:
            self._begin_first("decode", "prefill", reports)
        elif crowd > THRESHOLD_CROWD and counts["prefill"] > 1:
            self._begin_first("prefill", "decode", reports)

    def _begin_first(self, old, new, reports):
        names = [n for n, report in reports.items() if report.role == old]
        self._begin_change(min(names, key=lambda n: reports[n].running), new)

    def _begin_change(self, name, role):
        self._engines[name].is_quiesced = True
        self._pending[name] = (role, self._clock.now)

    def _continue_changes(self):
        now = self._clock.now
        for name, (role, since) in list(self._pending.items()):
            engine = self._engines[name]
            if engine.role != role:
                if engine.running == 0:
                    engine.role = role
                    engine.unavailable_until = now + self._policy.change_ms
                    self.changes += 1
            elif now >= engine.unavailable_until:
                engine.is_quiesced = False
                self.lost_ms += now - since
                self._model_plan.record_change(now)
                del self._pending[name]
