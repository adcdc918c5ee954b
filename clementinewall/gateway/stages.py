"""Carrying out changes of stage: one gateway, one engine at a time.

The plan comes from :mod:`clementinewall.policy.stages`, the right to order
from :mod:`clementinewall.gateway.lease`.  Of the gateways that hear one
another the first by address acts, the next ones only if a change stays
undone, so that they don't contend for the lease.
"""

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import lease as lease_module
from clementinewall.gateway import sending
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import stages

_log = logs.PartLog("stage")

LOOK_MS = 250
# So many engines, one of this number, may be away for a change at a time:
# of six engines a second one away costs more than the change gains.
AWAY_PART = 6
# So many gateways, the first in line, look so often which claim stands.
LOOKERS = 8
CLAIM_LOOK_MS = 8_000
RELEASE_RETRY_MS = 1_000
# The next gateway in line acts when a change stays undone for so long more, or
# sooner where it presses: after so many times as it has to last.
TURN_MS = 3_000
TURN_LASTING = 3
# An order without an answer may be carried out up to 12 s later.
UNANSWERED_MS = 14_000
# After an order its effect has to show in the engine's record, which is
# written about every 1,200 ms; then the next change is planned.
SETTLE_MS = 1_500
ORDER_TIMEOUT_MS = 1_000


class StageKeeper:
    """Watches the stages of all model services and changes them."""

    def __init__(self, settings, beliefs, endpoints, peers, is_ready, ticker):
        """Use the gateway's parts; order only while it ``is_ready()``."""
        self._is_ready = is_ready
        self._settings = settings
        self._beliefs = beliefs
        self._endpoints = endpoints
        self._peers = peers
        self._clock = ticker
        self._lease = lease_module.Lease(settings, ticker)
        self._wanted_since = None
        self._why = None
        self._look_at = 0
        self._release_at = 0
        self._rest_until_by_id = {}
        self._ordered_by_id = {}
        self._resting_by_service = {}

    async def run(self):
        """Look and act until cancelled."""
        while True:
            await anyio.sleep(clock.seconds(LOOK_MS))
            # The lease and the wait for an order's effect would outlive a
            # gateway that stops.
            if not self._is_ready():
                await self._release()
                continue
            await self._look_ahead()
            found = self._plan()
            now = self._clock.now()
            if found is None:
                self._wanted_since = None
                await self._release()
                continue
            if self._wanted_since is None or found[1].why != self._why:
                self._wanted_since = now
                self._why = found[1].why
                self._note_wanted(*found)
            if now - self._wanted_since >= self._patience_ms(found[1]):
                await self._act(*found)

    async def _release(self):
        """Give the lease back once the orders given under it had effect."""
        now = self._clock.now()
        ends = self._rest_until_by_id.values()
        if now < max(ends, default=now) or now < self._release_at:
            return
        try:
            await self._lease.release()
        except errors.LogUnavailable as exc:
            self._release_at = now + RELEASE_RETRY_MS
            _log.info("lease not released", why=exc.message)

    def _note_wanted(self, service, change):
        _log.info(
            "change wanted",
            service=service.name,
            engine=change.id,
            prefill=change.prefill,
            why=change.why,
            patience_ms=self._patience_ms(change),
        )

    def _patience_ms(self, change):
        """Return how long a change has to be needed before it is made here.

        Nobody else may claim sooner than the instance whose claim stands.
        """
        turn_ms = min(TURN_MS, TURN_LASTING * change.lasting_ms)
        in_line = self._peers.place_in_line()
        if self._lease.is_standing:
            in_line = 0
        return change.lasting_ms + in_line * turn_ms

    async def _look_ahead(self):
        """Keep the claim that stands in sight.

        A gateway that sees a claim for the first time has to wait until it
        has surely ended, and nothing is served meanwhile if the last engine
        that decodes has left together with the holder.
        """
        now = self._clock.now()
        # A gateway that starts looks in any place: the claim may be its own.
        is_first = not self._look_at
        if now < self._look_at:
            return
        if not is_first and self._peers.place_in_line() >= LOOKERS:
            return
        self._look_at = now + CLAIM_LOOK_MS
        try:
            await self._lease.look()
        except errors.LogUnavailable as exc:
            _log.info("lease not looked at", why=exc.message)

    def _plan(self):
        """Return a service and the change it needs, or ``None``."""
        configuration = self._beliefs.configuration
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            states = self._endpoints.of_service(service.name)
            resting = [s for s in states if self._is_resting(s)]
            if len(resting) >= max(1, len(states) // AWAY_PART):
                self._note_resting(service, resting)
                continue
            self._resting_by_service.pop(service.name, None)
            change = stages.plan(
                [
                    self._engine(state)
                    for state in states
                    if state.endpoint.stage in domain.STAGES
                ]
            )
            if change is not None:
                return service, change
        return None

    def _note_resting(self, service, resting):
        """Log, once for each set of engines, that no other may be changed."""
        names = [state.endpoint.id for state in resting]
        if self._resting_by_service.get(service.name) == names:
            return
        self._resting_by_service[service.name] = names
        now = self._clock.now()
        _log.info(
            "no change while engines are away for one",
            service=service.name,
            left_ms_by_engine={
                name: self._rest_until_by_id[name] - now for name in names
            },
        )

    def _engine(self, state):
        streams = state.streams + sum(
            peer.work_by_endpoint[state.endpoint.id].streams
            for peer in self._peers.table.states()
            if state.endpoint.id in peer.work_by_endpoint
        )
        stage = state.endpoint.stage
        if self._is_resting(state):
            # Its record shows the new stage only when the change is over.
            stage = self._ordered_by_id.get(state.endpoint.id, stage)
        return stages.Engine(
            state.endpoint.id,
            stage == domain.PREFILL,
            streams,
            max(1, state.endpoint.slots),
            state.is_lost() and not self._is_resting(state),
        )

    def _is_resting(self, state):
        until = self._rest_until_by_id.get(state.endpoint.id, 0)
        return self._clock.now() < until

    async def _act(self, service, change):
        try:
            held = self._lease.is_held() or await self._lease.claim()
        except errors.LogUnavailable as exc:
            _log.info("lease not claimed", why=exc.message)
            return
        if not held:
            return
        endpoint = self._beliefs.endpoint_by_id.get(change.id)
        if endpoint is None:
            return
        await self._order(service, self._endpoints.state(endpoint), change)

    async def _order(self, service, state, change):
        try:
            with anyio.fail_after(clock.seconds(ORDER_TIMEOUT_MS)):
                head, report = await self._ask(state, calls.report())
                if head.status != 200:
                    raise errors.BadRecord(f"report with {head.status}")
                status = await self._send(state, change, report)
        except (client.LinkBroken, TimeoutError, errors.BadRecord) as exc:
            status = None
            _log.warning("order unanswered", engine=change.id, why=repr(exc))
        # A process that was paused may have sent it long after it began to.
        self._lease.note_order()
        self._rest(service, state, status)

    async def _send(self, state, change, report):
        # Asking for the report took time; an order that leaves after the
        # lease could meet one of the next holder.
        if not self._lease.is_held():
            return None
        sequence = calls.orders_accepted(report)
        self._ordered_by_id.pop(change.id, None)
        order = calls.stage_order(
            state.endpoint,
            domain.PREFILL if change.prefill else domain.DECODE,
            self._settings.instance,
            self._lease.token,
            sequence,
        )
        self._lease.note_order()
        head, _body = await self._ask(state, order)
        if head.status in (200, 202):
            self._ordered_by_id[change.id] = (
                domain.PREFILL if change.prefill else domain.DECODE
            )
        metrics.count("orders", status=head.status)
        _log.info(
            "stage ordered",
            engine=change.id,
            prefill=change.prefill,
            why=change.why,
            token=self._lease.token,
            sequence=sequence,
            status=head.status,
        )
        return head.status

    def _rest(self, service, state, status):
        """Leave the engine alone until the order has had its effect."""
        rest_ms = UNANSWERED_MS
        if status is not None:
            rest_ms = SETTLE_MS
        if status == 202:
            rest_ms += service.engine.switch_ms
            state.away_until = self._clock.now() + service.engine.switch_ms
            self._peers.tell()
        self._rest_until_by_id[state.endpoint.id] = self._clock.now() + rest_ms

    async def _ask(self, state, request):
        """Ask on a connection of its own.

        A kept one may have gone silent, and closing it takes along what
        wasn't sent: an order that was given up must not arrive later.
        """
        return await state.pool.ask(request, sending.ANSWER_LIMIT, fresh=True)
