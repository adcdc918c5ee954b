"""The entry process: its tasks, listeners and shutdown."""

import anyio
from starlette import responses
from starlette import routing

from clementinewall import _schema
from clementinewall import _web
from clementinewall import clock
from clementinewall import containment
from clementinewall.entry import app
from clementinewall.entry import calls
from clementinewall.entry import crash_guard
from clementinewall.entry import loads
from clementinewall.entry import model_relay
from clementinewall.entry import shares
from clementinewall import errors
from clementinewall import lifecycle
from clementinewall import logs
from clementinewall import node
from clementinewall.steward import planner

_log = logs.PartLog("entry")

DRAIN_POLL_MS = 50


class Entry:
    """The entry program."""

    def __init__(self, life):
        """Build the parts; ``life`` is the life cycle of the process."""
        self.node = node.Node(life, "entry")
        self.loads = loads.Loads(self.node)
        guard = crash_guard.CrashGuard(self.node, self.loads)
        caller_shares = shares.Shares(self.node.clock.now)
        self.calls = calls.Calls(self.node, self.loads, guard)
        self.relay = model_relay.ModelRelay(
            self.node, self.loads, caller_shares, guard
        )
        self.callers = app.CallerApp(
            self.node, self.loads, self.relay, self.calls
        )
        self._owned_bookings = 0

    async def run(self):
        """Serve until stopped, then drain; return the final event."""
        listen = self.node.settings.listen
        control = _web.application(
            [
                *self.node.control_routes(),
                routing.Route(
                    calls.BOOKINGS_PATH, self._on_booking, methods=["POST"]
                ),
                routing.Route(planner.OUTCOMES_PATH, self._on_outcomes),
            ]
        )
        closed = self.node.closed
        async with anyio.create_task_group() as group:
            await self.node.run(group)
            for name, task in (
                ("load reports", self.loads.run),
                ("bookings", self.calls.run),
                ("the watchdog of streams", self.relay.watch),
            ):
                group.start_soon(containment.keep_running, _log, name, task)
            group.start_soon(_web.serve, control, listen.control, closed)
            group.start_soon(
                _web.serve, self.callers.application(), listen.callers, closed
            )
            _log.info("started", callers=listen.callers, boot=self.node.boot)
            self.node.lifecycle.handle_event(lifecycle.Event.STARTED)
            await self.node.stopping.wait()
            event = await self._drain()
            closed.set()
            await anyio.sleep(clock.seconds(DRAIN_POLL_MS) * 2)
            group.cancel_scope.cancel()
        return event

    async def _drain(self):
        """Announce the drain, then wait for the open requests.

        Return the event that ends the process.
        """
        limits = self.node.settings.limits
        now = self.node.clock.now_with_suspend
        deadline = self.node.drain_end = now() + limits.drain_ms
        await self.node.announce_draining()
        # Callers may keep an answer of /v1/addresses that names this entry
        # for this long, and still send new requests.
        await anyio.sleep(clock.seconds(limits.keep_addresses_ms))
        while self.callers.open_requests or self._owned_bookings:
            if now() > deadline:
                _log.warning(
                    "drain timed out; cutting open requests",
                    open=self.callers.open_requests,
                )
                return lifecycle.Event.OUT_OF_TIME
            await anyio.sleep(clock.seconds(DRAIN_POLL_MS))
        # A request read from now on would be cut when the process ends.
        self.node.drain_end = now()
        # Bookings answered just now may have outcomes yet to be committed.
        await self.calls.flush()
        _log.info("drained")
        return lifecycle.Event.DRAINED

    async def _on_outcomes(self, request):
        self.node.require_token(request)
        by_model = self.relay.outcomes.by_model
        return responses.JSONResponse(_schema.plain(by_model))

    async def _on_booking(self, request):
        self.node.require_token(request)
        body = await _web.read_json(request, self.node.settings.limits)
        call, mistakes = _schema.build(calls.Call, body)
        if mistakes:
            raise errors.BadRecord(str(mistakes[0]))
        if not self.node.is_ready():
            raise errors.NotReady("no configuration has been received yet")
        self.node.check_remaining_time(call.deadline_ms)
        self._owned_bookings += 1
        try:
            answer = await self.calls.run_as_owner(call)
        finally:
            self._owned_bookings -= 1
        return responses.JSONResponse(_schema.plain(answer))


async def run(life):
    """Run the entry until it is stopped; return the event that ends it."""
    return await Entry(life).run()


def main(options, inbox):
    """Load the settings and run, or only check them."""
    node.run_with_settings(options, inbox, _needs_callers, run)


def _needs_callers(checked):
    if checked.listen.callers is None:
        raise errors.SettingsError(
            "listen.callers: found nothing, allowed is IP:port"
        )
