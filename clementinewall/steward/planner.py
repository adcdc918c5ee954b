"""The planner task: measures demand and assigns roles to engines.

It fetches the reports of the serving engines, derives the demand on each
model from the growth of their counters, asks the policy for a proposal, and
publishes at most one assignment per model and pass as a change in the log.
The stewards that hold the engines' scopes carry it out.
"""

import secrets
import typing

import anyio
import httpx

from clementinewall import _http
from clementinewall import _schema
from clementinewall import clock
from clementinewall import containment
from clementinewall.endpoints import reports
from clementinewall import errors
from clementinewall import logs
from clementinewall.policy import roles
from clementinewall.records import control
from clementinewall.steward import scopes

_log = logs.PartLog("plan")

OUTCOMES_PATH = "/control/outcomes"
PLAN_INTERVAL_MS = 2_000
REPORT_TIMEOUT_MS = 1_000
READ_BACK_TIMEOUT_MS = 3_000


class Counts(typing.NamedTuple):
    """An entry's counts of requests for one model since it started."""

    offered: int
    good: int


class Planner:
    """Plans the roles while this process holds the planner's scope."""

    def __init__(self, node, lease_manager):
        """Use the node's configuration, its log and its leases."""
        self._node = node
        self._lease_manager = lease_manager
        self._http = _http.client(REPORT_TIMEOUT_MS)
        self._last_report_by_id = {}
        self._plan_by_model = {}
        self._counts_by_boot = {}
        self._last_round_at = None

    async def run(self):
        """Plan at a fixed interval until cancelled."""
        while True:
            await anyio.sleep(clock.seconds(PLAN_INTERVAL_MS))
            if self._lease_manager.holds(scopes.PLANNER):
                await self._plan_all()
            else:
                self._last_report_by_id.clear()
                self._plan_by_model.clear()
                self._counts_by_boot.clear()
                self._last_round_at = None

    async def _plan_all(self):
        names = [
            name
            for name, row in self._node.view.endpoints_by_id.items()
            if row.kind == "engine" and row.state == "serving"
        ]
        report_by_id = {}
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(
                    containment.run_once,
                    _log,
                    "a report",
                    self._fetch,
                    name,
                    report_by_id,
                )
        now = self._node.clock.now()
        elapsed = (
            0 if self._last_round_at is None else now - self._last_round_at
        )
        self._last_round_at = now
        outcomes = await self._new_outcomes()
        for model in self._models(names):
            with containment.contained(_log, "a plan", model=model):
                await self._plan(model, report_by_id, elapsed, outcomes)
        self._last_report_by_id = report_by_id

    async def _new_outcomes(self):
        """Return ``(offered, good)`` by model since the previous pass.

        Only the representative entries are asked: all entries of a small
        deployment, a sample of a large one.
        """
        rows = self._node.members.representatives("entry")
        counts = {}
        async with anyio.create_task_group() as group:
            for row in rows:
                group.start_soon(
                    containment.run_once,
                    _log,
                    "counts of an entry",
                    self._fetch_outcomes,
                    row,
                    counts,
                )
        total = {}
        for boot, by_model in counts.items():
            previous_counts = self._counts_by_boot.get(boot, {})
            for model, (offered, good) in by_model.items():
                old = previous_counts.get(model, (0, 0))
                sums = total.get(model, (0, 0))
                total[model] = (
                    sums[0] + offered - old[0],
                    sums[1] + good - old[1],
                )
        self._counts_by_boot = counts
        return total

    async def _fetch_outcomes(self, row, counts):
        token = self._node.settings.security.control_token
        try:
            answer = await self._http.get(
                f"http://{row.control}{OUTCOMES_PATH}",
                headers={"Authorization": f"Bearer {token}"},
            )
            data = answer.json()
        except (httpx.HTTPError, ValueError) as exc:
            _log.debug(
                "the entry gave no outcome counts", entry=row.id, why=repr(exc)
            )
            return
        value, mistakes = _schema.build(dict[str, Counts], data)
        if not mistakes:
            counts[row.boot] = value

    def _models(self, names):
        rows = self._node.view.endpoints_by_id
        return sorted({model for name in names for model in rows[name].serves})

    async def _fetch(self, name, report_by_id):
        address = self._node.view.endpoints_by_id[name].address
        try:
            report = await reports.fetch(self._http, name, address)
        except errors.EndpointFailed as exc:
            _log.debug(
                "the endpoint gave no report", endpoint=name, why=exc.message
            )
            return
        report_by_id[name] = report

    async def _plan(self, model, report_by_id, elapsed, outcomes):
        rows = self._node.view.endpoints_by_id
        reports_of_model = {
            name: report
            for name, report in report_by_id.items()
            if model in rows[name].serves
        }
        if not elapsed or not reports_of_model:
            return
        now = self._node.clock.now()
        plan = self._plan_by_model.setdefault(model, roles.ModelPlan(now))
        demand = demand_of(reports_of_model, self._last_report_by_id, elapsed)
        plan.record_demand(demand, *outcomes.get(model, (0, 0)), elapsed)
        proposal = plan.next_change(
            [
                self._engine_view(name, report)
                for name, report in reports_of_model.items()
            ],
            self._node.view.policy,
            now,
        )
        if proposal is not None:
            await self._publish(model, proposal)

    def _engine_view(self, name, report):
        row = self._node.view.endpoints_by_id[name]
        assignment = self._node.view.assignments_by_id.get(name)
        is_pending = assignment is not None and assignment.role != report.role
        return roles.EngineView(
            name,
            report.role,
            is_unavailable=report.quiesced or report.changing or is_pending,
            may_change=row.role == "auto",
            running=report.running,
        )

    async def _publish(self, model, proposal):
        key = f"assignment/{proposal.engine}"
        state = self._node.tail.state
        current = state.offset_by_key.get(key, control.NO_OFFSET)
        record = control.Change(
            secrets.token_hex(8),
            self._node.id,
            {key: current},
            {key: {"role": proposal.role, "why": proposal.reason}},
        )
        try:
            await self._node.log.append(control.STREAM, record)
            outcome = await self._node.tail.wait_outcome(
                record.id, READ_BACK_TIMEOUT_MS
            )
        except errors.ClementinewallError as exc:
            _log.warning(
                "assignment not confirmed; planning again in the next pass",
                error=exc.message,
            )
            return
        self._plan_by_model[model].record_change(self._node.clock.now())
        _log.info(
            "assigned a role"
            if outcome.valid
            else "assignment rejected by the log",
            endpoint=proposal.engine,
            role=proposal.role,
            gain=f"{proposal.gain:.1f}",
            cost=f"{proposal.cost:.1f}",
            why=proposal.reason,
        )


def demand_of(report_by_id, previous_by_id, elapsed_ms):
    """Return the demand between two passes over the reports.

    Growth of the queue counts as demand too: the work that a saturated
    engine completes shows its capacity, not what was asked of it.
    """
    prefill = decode = answers = 0.0
    for name, report in report_by_id.items():
        previous = previous_by_id.get(name)
        if previous is None or previous.boot != report.boot:
            continue
        waiting = max(0, report.queued_tokens - previous.queued_tokens)
        done = report.prefill_done - previous.prefill_done
        prefill += (done + waiting) * report.prefill_us / 1_000
        tokens = report.decode_done - previous.decode_done
        slot_load = max(1.0, report.running / max(1, report.slots))
        decode += tokens * slot_load * report.gap_ms / max(1, report.slots)
        answers += report.arrived - previous.arrived
    return roles.Demand(
        prefill / elapsed_ms,
        decode / elapsed_ms,
        answers * 1_000 / elapsed_ms,
    )
