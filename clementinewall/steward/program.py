"""The steward process: its tasks, its listener and its shutdown."""

import anyio

from clementinewall import _web
from clementinewall import clock
from clementinewall import containment
from clementinewall import lifecycle
from clementinewall import logs
from clementinewall import node
from clementinewall.steward import fleet
from clementinewall.steward import lease_manager
from clementinewall.steward import orders
from clementinewall.steward import planner
from clementinewall.steward import scopes
from clementinewall.steward import snapshots

_log = logs.PartLog("steward")

SCOPES_INTERVAL_MS = 500


class Steward:
    """The steward program."""

    def __init__(self, life):
        """Create the tasks for the process with life cycle ``life``."""
        self.node = node.Node(life, "steward")
        self.lease_manager = lease_manager.LeaseManager(self.node)
        self.sender = orders.OrderSender(self.node, self.lease_manager)
        self.fleet = fleet.FleetReconciler(
            self.node, self.lease_manager, self.sender
        )
        self.planner = planner.Planner(self.node, self.lease_manager)
        self.snapshots = snapshots.SnapshotWriter(
            self.node, self.lease_manager
        )

    async def run(self):
        """Serve until asked to stop, then release the scopes."""
        control = _web.application(
            [*self.node.control_routes(), *self.sender.routes()]
        )
        address = self.node.settings.listen.control
        async with anyio.create_task_group() as group:
            await self.node.run(group)
            group.start_soon(_web.serve, control, address, self.node.closed)
            for name, task in (
                ("the scopes", self._update_scopes),
                ("the leases", self.lease_manager.run),
                ("the fleet", self.fleet.run),
                ("the planner", self.planner.run),
                ("snapshots", self.snapshots.run),
            ):
                group.start_soon(containment.keep_running, _log, name, task)
            _log.info("started", control=address, boot=self.node.boot)
            self.node.lifecycle.handle_event(lifecycle.Event.STARTED)
            await self.node.stopping.wait()
            await self.node.announce_draining()
            await self.lease_manager.release_all()
            _log.info("drained")
            self.node.closed.set()
            await anyio.sleep(clock.seconds(100))
            group.cancel_scope.cancel()
        return lifecycle.Event.DRAINED

    async def _update_scopes(self):
        """Keep the lease manager informed of the scopes to hold."""
        while not self.node.stopping.is_set():
            if self.node.is_ready():
                self.lease_manager.set_scopes(self._claim_delays())
            await anyio.sleep(clock.seconds(SCOPES_INTERVAL_MS))

    def _claim_delays(self):
        table = self.node.members
        data_centre_by_scope = dict(scopes.endpoint_scopes(self.node.view))
        data_centre_by_scope[scopes.PLANNER] = ""
        data_centre_by_scope[scopes.SNAPSHOTS] = ""
        delay_by_scope = {
            scope: scopes.claim_delay(scope, data_centre, table)
            for scope, data_centre in data_centre_by_scope.items()
        }
        for model in self.fleet.models_awaiting_change():
            delay_by_scope[scopes.change_scope(model)] = 0
        held = self.lease_manager.table.own_scopes()
        return {
            scope: wait
            for scope, wait in delay_by_scope.items()
            if wait is not None or scope in held
        } | {s: 0 for s in held if s in data_centre_by_scope}


async def run(life):
    """Run the steward until it is stopped; return the event that ends it."""
    return await Steward(life).run()


def main(options, inbox):
    """Read the settings and run, or only check them."""
    node.run_with_settings(options, inbox, lambda _: None, run)
