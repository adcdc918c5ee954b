"""The planner's task: measures the demand and assigns roles.

It reads the reports of the engines of role ``auto``, turns the growth of
their counters into demand, asks the policy, and publishes at most one
assignment at a time as a change in the log.  The stewards carry it out.
"""

import secrets
import typing

import anyio
import httpx

from clementinewall import _http
from clementinewall import _schema
from clementinewall import clock
from clementinewall.endpoints import reports
from clementinewall import errors
from clementinewall import logs
from clementinewall.policy import roles
from clementinewall.records import control
from clementinewall.steward import scopes

_log = logs.PartLog("plan")

OUTCOMES_PATH = "/control/outcomes"
ROUND_MS = 2_000
REPORT_TIMEOUT_MS = 1_000
READ_BACK_MS = 3_000


class Counts(typing.NamedTuple):
    """An entry's counts of one model since it started."""

    offered: int
    good: int


class Planner:
    """Plans the roles while this process holds the planner's scope."""

    def __init__(self, node, lease_manager):
        """Use the node's configuration, its log and its leases."""
        self._node = node
        self._lease_manager = lease_manager
        self._http = _http.client(REPORT_TIMEOUT_MS)
        self._last_by_id = {}
        self._plan_by_model = {}
        self._outcomes_by_entry = {}
        self._at = None

    async def run(self):
        """Plan for ever."""
        while True:
            await anyio.sleep(clock.seconds(ROUND_MS))
            if self._lease_manager.holds(scopes.PLANNER):
                await self._round()
            else:
                self._last_by_id.clear()
                self._plan_by_model.clear()
                self._outcomes_by_entry.clear()
                self._at = None

    async def _round(self):
        names = [
            name
            for name, row in self._node.view.endpoints_by_id.items()
            if row.kind == "engine" and row.state == "serving"
        ]
        report_by_id = {}
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(self._fetch, name, report_by_id)
        now = self._node.clock.now()
        elapsed = 0 if self._at is None else now - self._at
        self._at = now
        outcomes = await self._new_outcomes()
        for model in self._models(names):
            await self._plan(model, report_by_id, elapsed, outcomes)
        self._last_by_id = report_by_id

    async def _new_outcomes(self):
        """Return ``(offered, good)`` by model since the last round.

        The entries that every node knows are asked: all of them in a small
        deployment, a sample in a large one.
        """
        rows = self._node.members.representatives("entry")
        counts = {}
        async with anyio.create_task_group() as group:
            for row in rows:
                group.start_soon(self._fetch_outcomes, row, counts)
        total = {}
        for boot, by_model in counts.items():
            before = self._outcomes_by_entry.get(boot, {})
            for model, (offered, good) in by_model.items():
                old = before.get(model, (0, 0))
                sums = total.get(model, (0, 0))
                total[model] = (
                    sums[0] + offered - old[0],
                    sums[1] + good - old[1],
                )
        self._outcomes_by_entry = counts
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
            _log.debug("no outcomes", entry=row.id, why=repr(exc))
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
            _log.debug("no report", endpoint=name, why=exc.message)
            return
        report_by_id[name] = report

    async def _plan(self, model, report_by_id, elapsed, outcomes):
        rows = self._node.view.endpoints_by_id
        mine = {
            name: report
            for name, report in report_by_id.items()
            if model in rows[name].serves
        }
        if not elapsed or not mine:
            return
        now = self._node.clock.now()
        plan = self._plan_by_model.setdefault(model, roles.ModelPlan(now))
        demand = demand_of(mine, self._last_by_id, elapsed)
        plan.record_demand(demand, *outcomes.get(model, (0, 0)), elapsed)
        proposal = plan.next_change(
            [self._view(name, report) for name, report in mine.items()],
            self._node.view.policy,
            now,
        )
        if proposal is not None:
            await self._publish(model, proposal)

    def _view(self, name, report):
        row = self._node.view.endpoints_by_id[name]
        given = self._node.view.assignments_by_id.get(name)
        is_pending = given is not None and given.role != report.role
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
                record.id, READ_BACK_MS
            )
        except errors.ClementinewallError as exc:
            _log.warning("an assignment is unsure", error=exc.message)
            return
        self._plan_by_model[model].record_change(self._node.clock.now())
        _log.info(
            "assigned a role" if outcome.valid else "lost an assignment",
            endpoint=proposal.engine,
            role=proposal.role,
            gain=f"{proposal.gain:.1f}",
            cost=f"{proposal.cost:.1f}",
            why=proposal.reason,
        )


def demand_of(report_by_id, last_by_id, elapsed_ms):
    """Return the demand seen between two rounds of reports.

    Work that still waits counts as if it had come in this round: an engine
    at its limit works off no more than it can, whatever is asked of it.
    """
    prefill = decode = answers = 0.0
    for name, report in report_by_id.items():
        last = last_by_id.get(name)
        if last is None or last.boot != report.boot:
            continue
        waiting = max(0, report.queued_tokens - last.queued_tokens)
        done = report.prefill_done - last.prefill_done
        prefill += (done + waiting) * report.prefill_us / 1_000
        tokens = report.decode_done - last.decode_done
        crowd = max(1.0, report.running / max(1, report.slots))
        decode += tokens * crowd * report.gap_ms / max(1, report.slots)
        answers += report.arrived - last.arrived
    return roles.Demand(
        prefill / elapsed_ms,
        decode / elapsed_ms,
        answers * 1_000 / elapsed_ms,
    )
