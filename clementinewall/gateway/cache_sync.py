"""Keeping what is believed of the engines' caches true, with their own words.

A gateway that starts knows nothing of the caches, so it asks each engine of
its cell once for all that it keeps.  Later on gateways tell each other what
engines read for them, but not what engines drop: of the gateways that share an
engine one follows its cache and tells the others.  Which one is told by a hash
that all compute alike; two that follow cost some calls, none costs a belief
that grows old.
"""

import math

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import endpoints as endpoints_module
from clementinewall.gateway import sending
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall.membership import members
from clementinewall import metrics
from clementinewall.platform import calls

_log = logs.PartLog("cache")

# How often a gateway that starts looks whether it knows enough to ask.
START_POLL_INTERVAL_MS = 20
# How often engines are looked for that weren't asked yet, and how often the
# caches that this gateway follows are asked for their changes.
SCAN_INTERVAL_MS = 250
POLL_INTERVAL_MS = 500
# How long an engine may wait for a change before it answers that there is
# none, and how long its answer is awaited.
CHANGE_WAIT_MS = 250
ANSWER_TIMEOUT_MS = 750
# An engine that doesn't tell its cache, or not in time, is asked again after
# a pause; one that doesn't offer it isn't.
RETRY_DELAY_MS = 3_000
UNSUPPORTED_STATUSES = (404, 405, 501)


class _Unsupported(errors.BadRecord):
    """The engine has no such call."""


class _Cursor:
    """How far the changes of one engine's cache are known."""

    def __init__(self):
        self.epoch = None
        self.next = None
        self.due_at = 0
        self.is_asking = False


class CacheSync:
    """Asks engines for what they keep, and follows some of them."""

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
        """Use the gateway's parts; ``group`` runs the questions."""
        self._ip = settings.ip
        self._fleet_view = fleet_view
        self._endpoints = endpoints
        self._peers = peers
        self._cell_membership = cell_membership
        self._group = group
        self._now = now
        self._cursor_by_incarnation = {}

    async def run(self):
        """Ask until cancelled."""
        # Before the other gateways are known all engines seem to be of the
        # own cell.
        while not (
            self._fleet_view.is_ready and self._peers.table.is_complete
        ):
            await anyio.sleep(clock.seconds(START_POLL_INTERVAL_MS))
        self._cell_membership.update(self._peers.table.members())
        while True:
            self._look()
            await anyio.sleep(clock.seconds(SCAN_INTERVAL_MS))

    def _look(self):
        """Begin the questions that are due."""
        cursor_by_incarnation = {}
        followers = self._followers()
        for state in self._engines():
            incarnation = state.endpoint.incarnation_key
            cursor = self._cursor_by_incarnation.get(incarnation) or _Cursor()
            cursor_by_incarnation[incarnation] = cursor
            if cursor.is_asking or self._now() < cursor.due_at:
                continue
            if cursor.next is None or self._follows(state, followers):
                cursor.is_asking = True
                self._group.start_soon(self._ask, state, cursor)
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

    def _followers(self):
        """Return the gateways that share this one's engines."""
        heard = [sign.ip for sign in self._peers.table.live() if sign.ready]
        close = [
            ip for ip in heard if self._cell_membership.is_cell_gateway(ip)
        ]
        return {self._ip, *close}

    def _follows(self, state, followers):
        return self._ip == members.rendezvous(state.endpoint.id, followers)[0]

    async def _ask(self, state, cursor):
        """Ask for what changed, or for everything where that isn't known."""
        cursor.due_at = self._now() + POLL_INTERVAL_MS
        try:
            with anyio.fail_after(clock.seconds(ANSWER_TIMEOUT_MS)):
                if cursor.next is None:
                    await self._learn_whole(state, cursor)
                else:
                    await self._learn_changes(state, cursor)
        except (client.LinkBroken, TimeoutError, errors.BadRecord) as exc:
            cursor.due_at = self._now() + RETRY_DELAY_MS
            if isinstance(exc, _Unsupported):
                cursor.due_at = math.inf
            _log.info(
                "cache not told",
                engine=state.endpoint.id,
                why=getattr(exc, "message", repr(exc)),
            )
        finally:
            cursor.is_asking = False

    async def _learn_whole(self, state, cursor):
        kept = calls.decode_kept_parts(
            await self._body(state, calls.kept_parts())
        )
        dropped = 0
        if cursor.epoch is None:
            # What peers told since the start may be newer than the list.
            self._endpoints.apply_cached_parts(state, kept.parts)
        else:
            dropped = self._endpoints.replace_cache(state, kept.parts)
        cursor.epoch, cursor.next = kept.epoch, kept.next
        _log.info(
            "cache learned",
            engine=state.endpoint.id,
            parts=len(kept.parts),
            tokens=sum(part.tokens for part in kept.parts),
            dropped=dropped,
        )

    async def _learn_changes(self, state, cursor):
        body = await self._body(
            state, calls.cache_changes(cursor.next, CHANGE_WAIT_MS)
        )
        changes = calls.decode_cache_changes(body)
        if changes.epoch != cursor.epoch or changes.is_gap:
            cursor.next = None
            cursor.due_at = self._now()
            return
        cursor.next = changes.next
        self._endpoints.apply_cache_changes(state, changes.parts)

    async def _body(self, state, request):
        head, body = await state.pool.ask(request, sending.MAX_ANSWER_BYTES)
        metrics.count("cache_calls", status=head.status)
        if head.status in UNSUPPORTED_STATUSES:
            raise _Unsupported(f"answered with {head.status}")
        if head.status != 200:
            raise errors.BadRecord(f"answered with {head.status}")
        return body
