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
from clementinewall.gateway import cooldowns
from clementinewall.gateway import endpoints as endpoints_module
from clementinewall.gateway import lease as lease_module
from clementinewall.gateway import sending
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import stages
from clementinewall import verdicts

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
# An engine that couldn't be asked is left out of the plan for so long.
UNREACHABLE_MS = 2_000
# After an order its effect has to show in the engine's record, which is
# written about every 1,200 ms; then the next change is planned.
SETTLE_MS = 1_500
ORDER_TIMEOUT_MS = 1_000
ACCEPTED = (200, 202)
# An engine that is at an order is asked again after so long.
BUSY_MS = 500


class StageManager:
    """Watches the stages of all model services and changes them."""

    def __init__(
        self, settings, fleet_view, endpoints, peers, is_ready, ticker
    ):
        """Use the gateway's parts; order only while it ``is_ready()``."""
        self._is_ready = is_ready
        self._settings = settings
        self._fleet_view = fleet_view
        self._endpoints = endpoints
        self._peers = peers
        self._clock = ticker
        self._lease = lease_module.Lease(settings, ticker)
        self._wanted_since = None
        self._why = None
        self._look_at = 0
        self._release_at = 0
        self._cooldowns = cooldowns.Cooldowns(ticker.now)
        self._resting_by_service = {}

    async def run(self):
        """Look and act until cancelled."""
        while True:
            await anyio.sleep(clock.seconds(LOOK_MS))
            await self.look()

    async def look(self):
        """Make the change that is needed, if it is this gateway's turn."""
        # The lease and the wait for an order's effect would outlive a
        # gateway that stops.
        if not self._is_ready():
            await self._release()
            return
        await self._look_ahead()
        found = self._plan()
        now = self._clock.now()
        if found is None:
            self._wanted_since = None
            await self._release()
            return
        if self._wanted_since is None or found[1].why != self._why:
            self._wanted_since = now
            self._why = found[1].why
            self._note_wanted(*found)
        if now - self._wanted_since >= self._patience_ms(found[1]):
            await self._act(*found)

    async def _release(self):
        """Give the lease back once the orders given under it had effect."""
        now = self._clock.now()
        if self._cooldowns.has_pending_order or now < self._release_at:
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
        in_line = self._peers.group_rank()
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
        if not is_first and self._peers.group_rank() >= LOOKERS:
            return
        self._look_at = now + CLAIM_LOOK_MS
        try:
            await self._lease.look()
        except errors.LogUnavailable as exc:
            _log.info("lease not looked at", why=exc.message)

    def _plan(self):
        """Return a service and the change it needs, or ``None``."""
        configuration = self._fleet_view.configuration
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            states = [
                state
                for state in self._endpoints.of_service(service.name)
                if endpoints_module.is_engine(state)
            ]
            change = stages.plan([self._engine(state) for state in states])
            if change is None:
                continue
            if self._is_held_back(service, states, change):
                continue
            return service, change
        return None

    def _is_held_back(self, service, states, change):
        """Tell whether so many engines are away that no other may be."""
        resting = {}
        for state in states:
            rest = self._cooldowns.active(state.endpoint.id)
            if rest and rest.cause is not cooldowns.Cause.UNREACHABLE:
                resting[state.endpoint.id] = rest
        if len(resting) < max(1, len(states) // AWAY_PART):
            self._resting_by_service.pop(service.name, None)
            return False
        if change.is_pressing and all(
            rest.cause is cooldowns.Cause.UNANSWERED
            for rest in resting.values()
        ):
            return False
        self._note_resting(service, sorted(resting))
        return True

    def _note_resting(self, service, names):
        """Log, once for each set of engines, that no other may be changed."""
        if self._resting_by_service.get(service.name) == names:
            return
        self._resting_by_service[service.name] = names
        _log.info(
            "no change while engines are away for one",
            service=service.name,
            left_ms_by_engine={
                name: self._cooldowns.remaining_ms(name) for name in names
            },
        )

    def _engine(self, state):
        streams = state.streams + sum(
            peer.work_by_endpoint_id[state.endpoint.id].streams
            for peer in self._peers.table.states()
            if state.endpoint.id in peer.work_by_endpoint_id
        )
        rest = self._cooldowns.active(state.endpoint.id)
        stage = state.endpoint.stage
        is_lost = state.is_unresponsive()
        if rest is not None:
            # Its record shows the new stage only when the change is over.
            stage = rest.stage or stage
            is_lost = rest.cause is not cooldowns.Cause.SETTLING
        return stages.Engine(
            state.endpoint.id,
            stage == domain.PREFILL,
            streams,
            max(1, state.endpoint.slots),
            is_lost,
        )

    async def _act(self, service, change):
        try:
            held = self._lease.is_held() or await self._lease.claim()
        except errors.LogUnavailable as exc:
            _log.info("lease not claimed", why=exc.message)
            return
        if not held:
            return
        endpoint = self._fleet_view.endpoint_by_id.get(change.id)
        if endpoint is None:
            return
        await self._order(service, self._endpoints.state(endpoint), change)

    async def _order(self, service, state, change):
        is_sent = False
        try:
            with anyio.fail_after(clock.seconds(ORDER_TIMEOUT_MS)):
                report = await self._report(state)
                if report.is_busy:
                    self._note_busy(state, change)
                    return
                # Asking took time; an order that leaves after the lease could
                # meet one of the next holder.
                if not self._lease.is_held():
                    _log.info("lease over before the order", engine=change.id)
                    return
                is_sent = True
                self._lease.note_order()
                status = await self._send(state, change, report.orders)
        except (client.LinkBroken, TimeoutError, errors.BadRecord) as exc:
            self._note_failure(state, exc, is_sent)
        else:
            self._note_answer(service, state, change, status)
        if is_sent:
            # A process that was paused sent it long after it began to.
            self._lease.note_order()

    async def _report(self, state):
        head, report = await self._ask(state, calls.report())
        if head.status != 200:
            raise errors.BadRecord(f"report with {head.status}")
        return calls.engine_report(report)

    def _note_busy(self, state, change):
        """Wait for an order that another process has given.

        Given again, the same change would begin anew.
        """
        _log.info("engine is at an order already", engine=change.id)
        self._cooldowns.start(
            state.endpoint.id,
            cooldowns.Cause.SETTLING,
            BUSY_MS,
            _stage(change),
        )

    async def _send(self, state, change, sequence):
        order = calls.stage_order(
            state.endpoint,
            _stage(change),
            self._settings.instance,
            self._lease.token,
            sequence,
        )
        head, _body = await self._ask(state, order)
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

    def _note_answer(self, service, state, change, status):
        """Leave the engine alone until the order has had its effect."""
        rest_ms = SETTLE_MS
        if status == 202:
            rest_ms += service.engine.switch_ms
            state.unavailable_until = (
                self._clock.now() + service.engine.switch_ms
            )
            self._peers.notify()
        stage = _stage(change) if status in ACCEPTED else None
        self._cooldowns.start(
            state.endpoint.id, cooldowns.Cause.SETTLING, rest_ms, stage
        )

    def _note_failure(self, state, exc, is_sent):
        """Leave the engine alone, for long only if the order may arrive."""
        kind, rest_ms = cooldowns.Cause.UNREACHABLE, UNREACHABLE_MS
        if is_sent and not _surely_not_run(exc):
            kind, rest_ms = cooldowns.Cause.UNANSWERED, UNANSWERED_MS
        else:
            is_absent = isinstance(exc, client.LinkBroken) and exc.absent
            state.health.record_failure(self._clock.now(), is_absent)
        metrics.count("orders", status=kind.value)
        self._cooldowns.start(state.endpoint.id, kind, rest_ms)
        _log.warning(
            "order failed",
            engine=state.endpoint.id,
            kind=kind.value,
            rest_ms=rest_ms,
            why=getattr(exc, "why", None) or repr(exc),
        )

    async def _ask(self, state, request):
        """Ask on a connection of its own.

        A kept one may have gone silent, and closing it takes along what
        wasn't sent: an order that was given up must not arrive later.
        """
        return await state.pool.ask(
            request, sending.MAX_ANSWER_BYTES, fresh=True
        )


def _stage(change):
    return domain.PREFILL if change.prefill else domain.DECODE


def _surely_not_run(exc):
    """Tell whether nothing of an order has reached the engine."""
    if not isinstance(exc, client.LinkBroken):
        return False
    return verdicts.verdict_of(exc.progress) is verdicts.Verdict.NOT_RUN
