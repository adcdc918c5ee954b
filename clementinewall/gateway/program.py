"""The gateway process: its tasks, its listeners and its end."""

import gc

import anyio

from clementinewall import clock
from clementinewall.gateway import budgets
from clementinewall.gateway import cache_sync
from clementinewall.gateway import callers
from clementinewall.gateway import cell_membership
from clementinewall.gateway import crash_guard
from clementinewall.gateway import draining
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import info_server
from clementinewall.gateway import peers
from clementinewall.gateway import placing
from clementinewall.gateway import plain_relay
from clementinewall.gateway import stage_manager
from clementinewall.gateway import stream_relay
from clementinewall.gateway import topic_followers
from clementinewall.http1 import stream as tcp
from clementinewall import lifecycle
from clementinewall import logs

_log = logs.PartLog("gateway")

SWEEP_MS = 250
# Of the time between SIGTERM and SIGKILL: up to here new connections are
# still accepted, since callers kept the address.
ACCEPT_PART = 0.6
# What is open is cut so long before SIGKILL, to tell callers and to exit.
LAST_MS = 400
POLL_MS = 20
# What is cut is told to its caller in this time.
CUT_MS = 100


class Gateway:
    """All parts of the process."""

    def __init__(self, life, group, log_writer):
        """Put the parts together; ``group`` runs the tasks."""
        self._life = life
        self._log_writer = log_writer
        settings = life.settings
        ticker = clock.Clock()
        now = ticker.now
        self._settings = settings
        self._stopping = life.leaving
        self._now = now
        self._now_with_suspend = ticker.now_with_suspend
        self._group = group
        self._fleet_view = fleet_view.FleetView(now)
        self._endpoints = endpoints.Endpoints(self._fleet_view, now)
        self._crash_guard = crash_guard.CrashGuard(now)
        self._cell_membership = cell_membership.CellMembership(
            settings, self._fleet_view
        )
        self._peers = peers.Peers(
            settings,
            now,
            self.is_ready,
            self._endpoints,
            self._crash_guard,
            self._cell_membership,
        )
        # What was earned before the machine was suspended is too old then.
        self._budgets = budgets.Budgets(
            settings, self._peers, ticker.now_with_suspend
        )
        drain = draining.Drain(ticker)
        self._plain = plain_relay.PlainRelay(
            settings, self._endpoints, self._budgets, self._crash_guard, now
        )
        self._streams = stream_relay.StreamRelay(
            self._endpoints,
            placing.Placer(
                settings,
                self._endpoints,
                self._peers,
                self._cell_membership,
                now,
            ),
            self._peers.tell_prompt,
            self._budgets,
            self._crash_guard,
            drain,
            group,
            now,
        )
        self._stage_manager = stage_manager.StageManager(
            settings,
            self._fleet_view,
            self._endpoints,
            self._peers,
            self.is_ready,
            ticker,
        )
        self._cache_sync = cache_sync.CacheSync(
            settings,
            self._fleet_view,
            self._endpoints,
            self._peers,
            self._cell_membership,
            group,
            now,
        )
        self._callers = callers.Callers(
            self._fleet_view,
            self._budgets,
            self._crash_guard,
            self._plain,
            self._streams,
            drain,
            now,
        )
        self._info_handlers = info_server.InfoHandlers(
            settings, self._peers, self.is_ready
        )

    def is_ready(self):
        """Tell whether callers should come here."""
        return self._fleet_view.is_ready and not self._stopping.is_set()

    async def run(self):
        """Serve until SIGTERM; return the event that ended what was open."""
        settings = self._settings
        start = self._group.start_soon
        for follower in (
            topic_followers.configuration_follower(*self._known()),
            topic_followers.fleet_follower(*self._known()),
        ):
            follower.share_updates(self._peers)
            start(follower.run)
        start(self._meet_peers)
        start(self._peers.run)
        start(self._stage_manager.run)
        start(self._cache_sync.run)
        start(self._sweep)
        front = await tcp.listen(
            settings.callers, self._callers.serve, self._group
        )
        others = [
            await info_server.serve(address, handle, self._group)
            for address, handle in self._info_handlers.handlers()
        ]
        _log.info(
            "started",
            callers=settings.callers,
            data_centre=settings.data_centre,
            store=settings.store,
        )
        self._life.note(lifecycle.Event.STARTED)
        await self._stopping.wait()
        await self._drain(front, others)
        if self._callers.open_requests:
            return lifecycle.Event.OUT_OF_TIME
        return lifecycle.Event.DRAINED

    async def _meet_peers(self):
        """Register, then learn who else did.

        In this order, of two gateways that start at once one at least finds
        the other, who learns of it by its first datagram.
        """
        await self._peers.register()
        await topic_followers.peers_follower(
            self._settings, self._now, self._peers.take, self._met
        ).run()

    def _met(self):
        self._peers.table.is_whole = True

    def _known(self):
        return self._settings, self._now, self._fleet_view

    async def _drain(self, front, others):
        """Leave the callers' answers, then end what is open.

        ``front`` is the callers' listener, ``others`` are those for questions.
        """
        grace_ms = self._settings.bounds.grace_ms
        started = self._now_with_suspend()
        left_ms = max(grace_ms * ACCEPT_PART, grace_ms - LAST_MS)
        self._callers.drain(left_ms)
        # Callers keep the address for a while and come in good faith.
        await self._until(started + grace_ms * ACCEPT_PART)
        front.close()
        _log.info("listener closed", open=self._callers.open_requests)
        await self._until(
            started + left_ms + CUT_MS,
            lambda: not self._callers.is_busy,
        )
        # A connection that is accepted once the tasks have ended has nobody
        # to serve it.
        for listener in others:
            listener.close()
        # Requests that were read in part, or whole but not looked at yet, get
        # an answer before their connections end.
        self._callers.stop_reading()
        await anyio.sleep(clock.seconds(POLL_MS))
        await self._until(
            self._now_with_suspend() + CUT_MS,
            lambda: not self._callers.is_connected,
        )
        _log.info("stopped", open=self._callers.open_requests)

    async def _until(self, end, is_over=lambda: False):
        while self._now_with_suspend() < end and not is_over():
            await anyio.sleep(clock.seconds(POLL_MS))

    async def _sweep(self):
        gc.freeze()
        while True:
            self._log_writer.flush()
            self._fleet_view.expire()
            self._cell_membership.update(self._peers.table.members())
            self._endpoints.sweep()
            await anyio.sleep(clock.seconds(SWEEP_MS))


async def run(log_writer, life):
    """Run a gateway until it is stopped; return the event that ends it."""
    async with anyio.create_task_group() as group:
        end = await Gateway(life, group, log_writer).run()
        group.cancel_scope.cancel()
    return end
