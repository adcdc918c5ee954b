"""The task that reconciles engines with their desired state.

Each pass fetches the report of every engine in the held scopes and sends it
at most one order.  The desired state comes from the active configuration
and, for engines of role ``auto``, from the planner's assignments.
"""

import anyio

from clementinewall import _http
from clementinewall import clock
from clementinewall import containment
from clementinewall.endpoints import reports
from clementinewall import errors
from clementinewall import logs
from clementinewall.policy import reconcile
from clementinewall.steward import scopes

_log = logs.PartLog("fleet")

REPORT_TIMEOUT_MS = 1_000


class FleetReconciler:
    """Reconciles the engines of the scopes that this process holds."""

    def __init__(self, node, lease_manager, sender):
        """Use the node's configuration; orders go out through ``sender``."""
        self._node = node
        self._lease_manager = lease_manager
        self._sender = sender
        self._http = _http.client(REPORT_TIMEOUT_MS)
        self._last_logged_by_id = {}
        self.report_by_id = {}

    async def run(self):
        """Reconcile at a fixed interval until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                for name, endpoint in self._held_endpoints():
                    if endpoint.kind == "engine":
                        group.start_soon(
                            containment.run_once,
                            _log,
                            "an engine's state",
                            self._reconcile,
                            name,
                            endpoint,
                        )
            await anyio.sleep(
                clock.seconds(self._node.settings.polls.fleet_ms)
            )

    def models_awaiting_change(self):
        """Return the models that have an engine waiting for a change."""
        models = set()
        for name, endpoint in self._held_endpoints():
            report = self.report_by_id.get(name)
            if report is None or endpoint.kind != "engine":
                continue
            wanted = self._desired(name, endpoint)
            if reconcile.needs_change(wanted, report) or (
                wanted.state == "serving"
                and (report.quiesced or report.changing)
            ):
                models.update(endpoint.serves)
        return models

    def _held_endpoints(self):
        view = self._node.view
        shards = view.policy.shards
        for name, endpoint in view.endpoints_by_id.items():
            scope = scopes.scope_of(name, endpoint.data_centre, shards)
            if self._lease_manager.holds(scope):
                yield name, endpoint

    def _desired(self, name, endpoint):
        role = endpoint.role
        if role == "auto":
            assignment = self._node.view.assignments_by_id.get(name)
            role = assignment.role if assignment else ""
        return reconcile.DesiredState(endpoint.state, role, endpoint.version)

    async def _reconcile(self, name, endpoint):
        try:
            report = await reports.fetch(self._http, name, endpoint.address)
        except errors.EndpointFailed as exc:
            self._log_change(name, "the endpoint gave no report", exc.message)
            return
        self.report_by_id[name] = report
        wanted = self._desired(name, endpoint)
        step = reconcile.next_step(
            wanted, report, self._may_change(name, endpoint)
        )
        self._log_change(name, step.order or "no order needed", step.reason)
        if not step.order:
            return
        shards = self._node.view.policy.shards
        scope = scopes.scope_of(name, endpoint.data_centre, shards)
        try:
            await self._sender.send(scope, name, step.order, step.value)
        except errors.ClementinewallError as exc:
            _log.warning(
                "an order failed; retrying in the next pass",
                endpoint=name,
                order=step.order,
                verdict=exc.verdict.value,
                error=exc.message,
            )

    def _may_change(self, name, endpoint):
        """Tell whether this engine may stop serving for a change now.

        Each model has a change scope of its own, so that the stewards of two
        data centres cannot both take its last engines out of service.
        Within one process the engine with the lowest id changes first.
        """
        for model in endpoint.serves:
            if not self._lease_manager.holds(scopes.change_scope(model)):
                return False
        for other, row in self._held_endpoints():
            report = self.report_by_id.get(other)
            if report is None or other == name or row.kind != "engine":
                continue
            if not set(row.serves) & set(endpoint.serves):
                continue
            is_unavailable = report.quiesced or report.changing
            if is_unavailable and row.state == "serving":
                return False
            wanted = self._desired(other, row)
            own = self.report_by_id[name]
            if reconcile.needs_change(wanted, report) and other < name:
                return own.quiesced
        return self._keeps_another_engine(name, endpoint)

    def _keeps_another_engine(self, name, endpoint):
        """Tell whether each of its models has another serving engine."""
        rows = self._node.view.endpoints_by_id.items()
        return all(
            any(
                other != name
                and row.state == "serving"
                and model in row.serves
                for other, row in rows
            )
            for model in endpoint.serves
        )

    def _log_change(self, name, message, why):
        if self._last_logged_by_id.get(name) != (message, why):
            self._last_logged_by_id[name] = (message, why)
            _log.info(message, endpoint=name, why=why)
