"""The task that brings the endpoints of the held scopes to what is wanted.

Each round reads an endpoint's report and sends at most one order.  What is
wanted comes from the configuration in force and, for engines of role
``auto``, from the planner's assignments.
"""

import anyio

from clementinewall import _http
from clementinewall import clock
from clementinewall.endpoints import reports
from clementinewall import errors
from clementinewall import logs
from clementinewall.policy import reconcile
from clementinewall.steward import scopes

_log = logs.PartLog("fleet")

REPORT_TIMEOUT_MS = 1_000


class Fleet:
    """Reconciles the engines of the scopes that this process holds."""

    def __init__(self, node, lease_manager, sender):
        """Use the node's configuration and the leases of the lease manager."""
        self._node = node
        self._lease_manager = lease_manager
        self._sender = sender
        self._http = _http.client(REPORT_TIMEOUT_MS)
        self._said_by_id = {}
        self.report_by_id = {}

    async def run(self):
        """Reconcile for ever."""
        while True:
            async with anyio.create_task_group() as group:
                for name, endpoint in self._mine():
                    if endpoint.kind == "engine":
                        group.start_soon(self._reconcile, name, endpoint)
            await anyio.sleep(
                clock.seconds(self._node.settings.polls.fleet_ms)
            )

    def changes_wanted(self):
        """Return the models of which an engine waits for a change."""
        models = set()
        for name, endpoint in self._mine():
            report = self.report_by_id.get(name)
            if report is None or endpoint.kind != "engine":
                continue
            wanted = self._wanted(name, endpoint)
            if reconcile.needs_change(wanted, report) or (
                wanted.state == "serving"
                and (report.quiesced or report.changing)
            ):
                models.update(endpoint.serves)
        return models

    def _mine(self):
        view = self._node.view
        shards = view.policy.shards
        for name, endpoint in view.endpoints_by_id.items():
            scope = scopes.scope_of(name, endpoint.data_centre, shards)
            if self._lease_manager.holds(scope):
                yield name, endpoint

    def _wanted(self, name, endpoint):
        role = endpoint.role
        if role == "auto":
            given = self._node.view.assignments_by_id.get(name)
            role = given.role if given else ""
        return reconcile.DesiredState(endpoint.state, role, endpoint.version)

    async def _reconcile(self, name, endpoint):
        try:
            report = await reports.fetch(self._http, name, endpoint.address)
        except errors.EndpointFailed as exc:
            self._say(name, "gave no report", exc.message)
            return
        self.report_by_id[name] = report
        wanted = self._wanted(name, endpoint)
        step = reconcile.next_step(
            wanted, report, self._may_change(name, endpoint)
        )
        self._say(name, step.order or "no order", step.reason)
        if not step.order:
            return
        shards = self._node.view.policy.shards
        scope = scopes.scope_of(name, endpoint.data_centre, shards)
        try:
            await self._sender.send(scope, name, step.order, step.value)
        except errors.ClementinewallError as exc:
            _log.warning(
                "an order failed",
                endpoint=name,
                order=step.order,
                verdict=exc.verdict.value,
                error=exc.message,
            )

    def _may_change(self, name, endpoint):
        """Tell whether this engine may be taken away from work now.

        The right is a scope of its own for each model, so that the holders
        of two data centres cannot both take away the last engines.  Within
        the process the lowest id goes first.
        """
        for model in endpoint.serves:
            if not self._lease_manager.holds(scopes.change_scope(model)):
                return False
        for other, row in self._mine():
            report = self.report_by_id.get(other)
            if report is None or other == name or row.kind != "engine":
                continue
            if not set(row.serves) & set(endpoint.serves):
                continue
            is_away = report.quiesced or report.changing
            if is_away and row.state == "serving":
                return False
            wanted = self._wanted(other, row)
            own = self.report_by_id[name]
            if reconcile.needs_change(wanted, report) and other < name:
                return own.quiesced
        return self._leaves_one(name, endpoint)

    def _leaves_one(self, name, endpoint):
        """Tell whether every model keeps another serving engine."""
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

    def _say(self, name, what, why):
        if self._said_by_id.get(name) != (what, why):
            self._said_by_id[name] = (what, why)
            _log.info(what, endpoint=name, why=why)
