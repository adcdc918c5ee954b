"""Synchronisation of a gateway's cache views with the engines.

A gateway that starts knows nothing of the caches, so it requests the full list
of cached parts from each engine of its cell.  Later on gateways announce what
engines prefill for them, but not what engines evict: one of the gateways that
share an engine polls its cache and forwards the changes.  A hash that all
compute alike selects it.  If views differ and two gateways poll, that costs
some calls; if none does, the cache view grows stale.
"""

import math

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import errors
from clementinewall.gateway import endpoints as endpoints_module
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall.membership import members
from clementinewall import metrics
from clementinewall.platform import cache_calls

_log = logs.PartLog("cache")

# The interval at which a starting gateway checks whether it can ask engines.
START_POLL_INTERVAL_MS = 100
# The intervals at which engines that were not asked yet are looked up, and at
# which an engine that this gateway polls is asked for changes.
SCAN_INTERVAL_MS = 250
POLL_INTERVAL_MS = 500
# How long an engine may wait for a change before it answers without one, and
# the time-out for its answer.
CHANGE_WAIT_MS = 250
ANSWER_TIMEOUT_MS = 750
MAX_ANSWER_BYTES = 2_000_000
# An engine that fails to report its cache in time is asked again after a
# delay; one that does not support the call is not.
RETRY_DELAY_MS = 3_000
UNSUPPORTED_STATUSES = (404, 405, 501)


class _Unsupported(errors.BadRecord):
    """The engine does not support the call."""


class _Cursor:
    """The position up to which one engine's cache changes are known."""

    def __init__(self):
        self.epoch = None
        self.next = None
        self.next_request_at = 0
        self.is_asking = False


class CacheSync:
    """Requests lists of cached parts, and polls some engines for changes."""

    def __init__(
        self,
        settings,
        fleet_view,
        endpoints,
        peers,
        cell_membership,
        group,
        now,
    ):
        """Use the gateway's components; ``group`` runs the requests."""
        self._ip = settings.ip
        self._fleet_view = fleet_view
        self._endpoints = endpoints
        self._peers = peers
        self._cell_membership = cell_membership
        self._group = group
        self._now = now
        self._cursor_by_incarnation = {}

    async def run(self):
        """Synchronise until cancelled."""
        # Until the other gateways are known, all engines seem to belong to
        # this gateway's cell.
        while not (
            self._fleet_view.is_ready and self._peers.table.is_complete
        ):
            await anyio.sleep(clock.seconds(START_POLL_INTERVAL_MS))
        self._cell_membership.update(self._peers.table.members())
        while True:
            self._start_due_requests()
            await anyio.sleep(clock.seconds(SCAN_INTERVAL_MS))

    def _start_due_requests(self):
        """Start the requests that are due."""
        cursor_by_incarnation = {}
        pollers = self._pollers()
        for state in self._engines():
            incarnation = state.endpoint.incarnation_key
            cursor = self._cursor_by_incarnation.get(incarnation) or _Cursor()
            cursor_by_incarnation[incarnation] = cursor
            if cursor.is_asking or self._now() < cursor.next_request_at:
                continue
            if state.rest_ms or state.is_limited:
                continue
            if cursor.next is None or self._is_poller(state, pollers):
                cursor.is_asking = True
                self._group.start_soon(
                    containment.run_once,
                    _log,
                    "a cache request",
                    self._ask,
                    state,
                    cursor,
                )
        self._cursor_by_incarnation = cursor_by_incarnation

    def _engines(self):
        configuration = self._fleet_view.configuration
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            states = self._endpoints.of_service(service.name)
            for state in self._cell_membership.cell_engines(states):
                if endpoints_module.is_engine(state):
                    yield state

    def _pollers(self):
        """Return the gateways that share this one's engines and may poll."""
        ready_ips = [
            heartbeat.ip
            for heartbeat in self._peers.table.live()
            if heartbeat.ready
        ]
        cell_ips = [
            ip for ip in ready_ips if self._cell_membership.is_cell_gateway(ip)
        ]
        return {self._ip, *cell_ips}

    def _is_poller(self, state, pollers):
        return self._ip == members.rendezvous(state.endpoint.id, pollers)[0]

    async def _ask(self, state, cursor):
        """Request the changes, or the full list if the position is unknown."""
        cursor.next_request_at = self._now() + POLL_INTERVAL_MS
        try:
            with anyio.fail_after(clock.seconds(ANSWER_TIMEOUT_MS)):
                if cursor.next is None:
                    await self._apply_full_list(state, cursor)
                else:
                    await self._apply_changes(state, cursor)
        except (client.LinkBroken, TimeoutError, errors.BadRecord) as exc:
            cursor.next_request_at = self._now() + RETRY_DELAY_MS
            if isinstance(exc, _Unsupported):
                cursor.next_request_at = math.inf
            _log.info(
                "engine did not report its cache",
                engine=state.endpoint.id,
                why=getattr(exc, "message", repr(exc)),
            )
        finally:
            cursor.is_asking = False

    async def _apply_full_list(self, state, cursor):
        kept = cache_calls.decode_cached_parts(
            await self._body(state, cache_calls.cached_parts_request())
        )
        dropped = 0
        if cursor.epoch is None:
            # What peers sent since the start may be newer than the list.
            self._endpoints.apply_cached_parts(state, kept.parts)
        else:
            dropped = self._endpoints.replace_cache(state, kept.parts)
        cursor.epoch, cursor.next = kept.epoch, kept.next
        _log.info(
            "cache list applied",
            engine=state.endpoint.id,
            parts=len(kept.parts),
            tokens=sum(part.tokens for part in kept.parts),
            dropped=dropped,
        )

    async def _apply_changes(self, state, cursor):
        body = await self._body(
            state,
            cache_calls.cache_changes_request(cursor.next, CHANGE_WAIT_MS),
        )
        changes = cache_calls.decode_cache_changes(body)
        if changes.epoch != cursor.epoch or changes.is_gap:
            cursor.next = None
            cursor.next_request_at = self._now()
            return
        cursor.next = changes.next
        self._endpoints.apply_cache_changes(state, changes.parts)

    async def _body(self, state, request):
        head, body = await state.send_request(request, MAX_ANSWER_BYTES)
        metrics.count("cache_calls", status=head.status)
        if head.status in UNSUPPORTED_STATUSES:
            raise _Unsupported(f"answered with {head.status}")
        if head.status != 200:
            raise errors.BadRecord(f"answered with {head.status}")
        return body
