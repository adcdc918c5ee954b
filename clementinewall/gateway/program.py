"""The gateway process: its tasks, its listeners and its shutdown."""

import gc
import importlib
import importlib.util
import os
import time

import anyio

from clementinewall.access import freshness
from clementinewall.admission import controller
from clementinewall.backpressure import holdings
from clementinewall import clock
from clementinewall import containment
from clementinewall.gateway import budgets
from clementinewall.gateway import cache_sync
from clementinewall.gateway import callers
from clementinewall.gateway import cell_membership
from clementinewall.gateway import crash_guard
from clementinewall.gateway import draining
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import info_server
from clementinewall.gateway import listening
from clementinewall.gateway import peers
from clementinewall.gateway import placing
from clementinewall.gateway import plain_relay
from clementinewall.gateway import registration
from clementinewall.gateway import relay_server
from clementinewall.gateway import relays
from clementinewall.gateway import stage_manager
from clementinewall.gateway import stream_origins
from clementinewall.gateway import stream_relay
from clementinewall.gateway import topic_followers
from clementinewall.http1 import stream as tcp
from clementinewall import lifecycle
from clementinewall import logs
from clementinewall.origins import origin_log
from clementinewall.origins import version_record

_log = logs.PartLog("gateway")

SWEEP_MS = 250
# Fraction of the time between SIGTERM and SIGKILL during which new connections
# are still accepted, since callers have the address cached.
ACCEPT_FRACTION = 0.6
# Open requests are aborted this long before SIGKILL, which leaves time to
# notify their callers and to exit.
ABORT_BEFORE_KILL_MS = 400
POLL_MS = 20
# Time to notify the callers of requests that are aborted.
ABORT_NOTICE_MS = 100


class Gateway:
    """All components of the gateway process."""

    def __init__(self, life, group, log_writer):
        """Create the components; ``group`` runs the tasks."""
        self._life = life
        self._log_writer = log_writer
        settings = life.settings
        ticker = clock.Clock()
        now = ticker.now
        self._settings = settings
        self._created_at = now()
        self._is_ready_logged = False
        self._stopping = life.draining
        self._ticker = ticker
        self._now = now
        self._now_with_suspend = ticker.now_with_suspend
        self._group = group
        self._fleet_view = fleet_view.FleetView(
            now, settings.bounds, ticker.time_of_day
        )
        self._freshness = freshness.Freshness(settings.bounds, ticker)
        self._relays = relays.Relays(settings, group, now)
        self._endpoints = endpoints.Endpoints(
            self._fleet_view, now, self._relays
        )
        self._relay_server = relay_server.RelayServer(self._endpoints)
        self._crash_guard = crash_guard.CrashGuard(now)
        self._cell_membership = cell_membership.CellMembership(
            settings, self._fleet_view, now
        )
        self._peers = peers.Peers(
            settings,
            now,
            self.is_ready,
            self._endpoints,
            self._crash_guard,
            self._cell_membership,
            ticker.time_of_day_seconds(),
        )
        self._relays.table = self._peers.table
        self._peers.news_source_by_key[relays.MESSAGE_KEY] = (
            self._relays.message
        )
        self._peers.listeners.append(self._relays.take)
        self._fleet_follower = topic_followers.fleet_follower(
            *self._follower_arguments()
        )
        self._version_record = version_record.VersionRecord(
            settings, self._fleet_view, self._peers.table.group_rank, now
        )
        self._origin_log = origin_log.OriginLog(
            settings, self._known_count, now, self._add_origin
        )
        self._origins = stream_origins.StreamOrigins(
            self._fleet_view,
            self._peers.table,
            self._peers.send_to,
            now,
            self._version_record,
            self._origin_log,
            self._fleet_follower.read_anew,
        )
        self._peers.listeners.append(self._origins.take)
        self._endpoints.request_limits.share_with(
            settings.ip, self._limit_group
        )
        # Retry credit earned before the machine was suspended has expired.
        self._budgets = budgets.Budgets(
            settings, self._peers, ticker.now_with_suspend
        )
        drain = draining.Drain(ticker)
        admission = controller.Admission(now)
        self._peers.source_by_key[controller.MESSAGE_KEY] = admission.message
        self._peers.listeners.append(admission.take)
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
                admission,
            ),
            self._peers.announce_prompt,
            self._budgets,
            self._crash_guard,
            self._origins,
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
        self._holdings = holdings.Holdings(settings.memory_mb, now)
        self._request_bodies = holdings.RequestBodies(settings.memory_mb, now)
        self._callers = callers.Callers(
            self._fleet_view,
            self._freshness,
            self._budgets,
            self._plain,
            self._streams,
            drain,
            now,
            self._holdings,
            self._request_bodies,
        )
        self._duties = None
        if settings.duty_service is not None:
            # Other deployments don't need it, and loading it delays the start.
            assembly = importlib.import_module(
                "clementinewall.duties.assembly"
            )
            self._duties = assembly.Duties(
                settings,
                self._peers,
                self._fleet_view,
                self._endpoints,
                self.is_ready,
                ticker,
            )
            self._callers.count_begun = self._duties.count_begun
        self._info_handlers = info_server.InfoHandlers(
            settings, self._peers, self.is_ready
        )

    def _known_count(self):
        """Return how many gateways may call the store, unheard ones too."""
        return 1 + len(self._peers.table.ips)

    def _add_origin(self, attempt, service, version, lifetime_ms):
        self._origins.add_logged(attempt, service, version, lifetime_ms)

    def _limit_group(self, endpoint):
        return self._cell_membership.limit_group(
            endpoint, self._peers.table.ips
        )

    def is_ready(self):
        """Return whether callers should use this gateway."""
        if not self._fleet_view.is_ready or self._stopping.is_set():
            return False
        return self._freshness.is_current or not self._has_customers()

    def _has_customers(self):
        configuration = self._fleet_view.configuration
        if configuration is None:
            return False
        return configuration.customer_by_key is not None

    async def run(self):
        """Serve until SIGTERM; return the event that ended the draining."""
        settings = self._settings
        start = self._start
        configuration_follower = topic_followers.configuration_follower(
            *self._follower_arguments()
        )
        configuration_follower.confirmation = self._confirmation()
        needed = configuration_follower, self._fleet_follower
        for follower in needed:
            follower.share_updates(self._peers.updates)
            follower.on_read = self._log_ready
        gc.freeze()
        gc.enable()
        start("the configuration's follower", configuration_follower.run)
        start("the endpoints' follower", self._fleet_follower.run)
        start("registration", lambda: self._join_peers(needed))
        start("the exchange with peers", self._peers.run)
        start("the stage manager", self._stage_manager.run)
        start("the synchronisation of caches", self._cache_sync.run)
        start("the record of versions", self._version_record.run)
        start("the log of origins", self._origin_log.run)
        start("sweeps", self._sweep)
        if self._duties is not None:
            self._duties.start(start)
        caller_listener = await self._open(
            tcp.listen, settings.callers, self._callers.serve
        )
        # Tunnels are opened until the end, and refused while it drains.
        await self._open(
            tcp.listen,
            f"{settings.ip}:{settings.peer_port}",
            self._relay_server.serve,
        )
        info_listeners = [
            await self._open(info_server.serve, address, handle)
            for address, handle in self._info_handlers.handlers()
        ]
        _log.info(
            "started",
            callers=settings.callers,
            data_centre=settings.data_centre,
            store=settings.store,
            after_ms=self._now() - self._created_at,
            cpu_ms=_cpu_ms(),
        )
        if not _has_bytecode():
            _log.warning(
                "modules have no bytecode; each start compiles them, see build"
                " in deploy/system.toml",
                module=__file__,
            )
        self._life.handle_event(lifecycle.Event.STARTED)
        await self._stopping.wait()
        await self._drain(caller_listener, info_listeners)
        if self._callers.open_requests:
            return lifecycle.Event.OUT_OF_TIME
        return lifecycle.Event.DRAINED

    def _start(self, name, function):
        """Start a background task, which an unexpected fault doesn't end."""
        self._group.start_soon(containment.keep_running, _log, name, function)

    def _confirmation(self):
        """Return what confirms the configuration, ``None`` if none needs it.

        Only deployments that bound how long removed keys live need it.
        """
        if not self._freshness.is_bounded:
            return None
        # Other deployments don't need it, and loading it delays the start.
        confirmation = importlib.import_module(
            "clementinewall.access.confirmation"
        )
        peer_clocks = importlib.import_module(
            "clementinewall.access.peer_clocks"
        )
        clocks = peer_clocks.PeerClocks(
            self._settings.ip, self._ticker, self._peers.send_to
        )
        self._peers.listeners.append(clocks.take)
        return confirmation.Confirmation(
            self._freshness, clocks, self._ticker, self._has_customers
        )

    async def _open(self, listen, address, serve):
        return await listening.open_when_available(
            lambda: listen(address, serve, self._group), self._now
        )

    def _log_ready(self):
        """Log, once, that this gateway can serve callers."""
        if self._is_ready_logged or not self._fleet_view.is_ready:
            return
        self._is_ready_logged = True
        _log.info(
            "ready to serve callers",
            after_ms=self._now() - self._created_at,
            cpu_ms=_cpu_ms(),
        )
        self._log_writer.flush()

    async def _join_peers(self, needed):
        """Register, then follow the registrations of other gateways.

        First the followers ``needed`` to serve callers have read, since a busy
        store answers fewer calls sooner.  As a gateway registers before it
        follows, at least one of two that start at the same time finds the
        other, which learns of it by the first datagram.
        """
        for follower in needed:
            await follower.first_read.wait()
        registrar = registration.Registrar(self._settings, self._now)
        found = await registrar.read()
        self._peers.is_first_process = found.is_first_process
        follower = topic_followers.peers_follower(
            self._settings, self._now, self._peers.take
        )
        follower.share_updates(self._peers.updates)
        follower.on_read = self._record_peers_read
        # A store that is late with the registration delays no other gateway.
        follower.start_from(found.known)
        await registrar.register(found)
        self._start("the gateways' follower", follower.run)

    def _record_peers_read(self):
        """Record that all gateways that registered before are known."""
        self._peers.table.is_complete = True

    def _follower_arguments(self):
        return self._settings, self._now, self._fleet_view

    async def _drain(self, caller_listener, info_listeners):
        """Stop accepting callers, then end the open requests.

        ``caller_listener`` takes callers; ``info_listeners`` answer readiness,
        directory and metrics requests.
        """
        grace_ms = self._settings.bounds.grace_ms
        started = self._now_with_suspend()
        left_ms = max(
            grace_ms * ACCEPT_FRACTION, grace_ms - ABORT_BEFORE_KILL_MS
        )
        self._callers.drain(left_ms)
        self._relay_server.drain()
        # Callers with a cached address may still connect for a while.
        await self._wait_until(started + grace_ms * ACCEPT_FRACTION)
        caller_listener.close()
        _log.info(
            "listener closed, no new connections",
            open=self._callers.open_requests,
        )
        await self._wait_until(
            started + left_ms + ABORT_NOTICE_MS,
            lambda: not (self._callers.is_busy or self._relay_server.is_busy),
        )
        # A connection accepted after the tasks have ended would not be served.
        for listener in info_listeners:
            listener.close()
        # Requests that were read partly, or fully but not yet handled, get an
        # answer before their connections are closed.
        self._callers.stop_reading()
        # Their own limits do not run while the machine is suspended.
        self._callers.end_open_requests()
        await anyio.sleep(clock.seconds(POLL_MS))
        await self._wait_until(
            self._now_with_suspend() + ABORT_NOTICE_MS,
            lambda: not self._callers.is_connected,
        )
        if self._duties is not None:
            self._duties.finish()
        _log.info("stopped", open=self._callers.open_requests)

    async def _wait_until(self, end, is_over=lambda: False):
        while self._now_with_suspend() < end and not is_over():
            await anyio.sleep(clock.seconds(POLL_MS))

    async def _sweep(self):
        while True:
            self._log_writer.flush()
            for sweep in (
                self._fleet_view.expire,
                self._report_staleness,
                self._update_cell,
                self._endpoints.sweep,
                self._relays.sweep,
                self._origins.sweep,
                self._sweep_crash_guard,
                self._holdings.report,
                self._request_bodies.report,
            ):
                with containment.contained(_log, sweep.__qualname__):
                    sweep()
            await anyio.sleep(clock.seconds(SWEEP_MS))

    def _report_staleness(self):
        if self._has_customers():
            self._freshness.log_if_stale()

    def _update_cell(self):
        self._cell_membership.update(self._peers.table.members())

    def _sweep_crash_guard(self):
        self._crash_guard.sweep(self._fleet_view)


def _cpu_ms():
    """Return the processor time that this process has taken so far."""
    return round(1_000 * time.process_time())


def _has_bytecode():
    """Return whether the interpreter finds bytecode of this module."""
    return os.path.exists(importlib.util.cache_from_source(__file__))


async def run(log_writer, life):
    """Run a gateway until it is stopped; return the event that ended it."""
    async with anyio.create_task_group() as group:
        end = await Gateway(life, group, log_writer).run()
        group.cancel_scope.cancel()
    return end
