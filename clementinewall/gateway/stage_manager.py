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

POLL_INTERVAL_MS = 250
# So many engines, one of this number, may be away for a change at a time:
# of six engines a second one away costs more than the change gains.
ENGINES_PER_CONCURRENT_CHANGE = 6
# So many gateways, the first in line, look so often which claim stands.
CLAIM_POLLERS = 8
CLAIM_POLL_INTERVAL_MS = 8_000
RELEASE_RETRY_MS = 1_000
# The next gateway in line acts when a change stays undone for so long more, or
# sooner where it presses: after so many times as it has to last.
MAX_TAKEOVER_DELAY_MS = 3_000
TAKEOVER_DELAY_FACTOR = 3
# An order without an answer may be carried out up to 12 s later.
UNANSWERED_COOLDOWN_MS = 14_000
# An engine that couldn't be asked is left out of the plan for so long.
UNREACHABLE_COOLDOWN_MS = 2_000
# After an order its effect has to show in the engine's record, which is
# written about every 1,200 ms; then the next change is planned.
SETTLING_COOLDOWN_MS = 1_500
ORDER_TIMEOUT_MS = 1_000
ACCEPTED_STATUSES = (200, 202)
# An engine that is at an order is asked again after so long.
BUSY_COOLDOWN_MS = 500


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
        self._wanted_reason = None
        self._next_claim_poll = 0
        self._next_release_attempt = 0
        self._cooldowns = cooldowns.Cooldowns(ticker.now)
        self._logged_cooldowns_by_service = {}

    async def run(self):
        """Look and act until cancelled."""
        while True:
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))
            await self.poll()

    async def poll(self):
        """Make the change that is needed, if it is this gateway's turn."""
        # The lease and the wait for an order's effect would outlive a
        # gateway that stops.
        if not self._is_ready():
            await self._release()
            return
        await self._refresh_claim()
        found = self._plan()
        now = self._clock.now()
        if found is None:
            self._wanted_since = None
            await self._release()
            return
        if self._wanted_since is None or found[1].why != self._wanted_reason:
            self._wanted_since = now
            self._wanted_reason = found[1].why
            self._log_wanted(*found)
        if now - self._wanted_since >= self._action_delay_ms(found[1]):
            await self._act(*found)

    async def _release(self):
        """Give the lease back once the orders given under it had effect."""
        now = self._clock.now()
        if (
            self._cooldowns.has_pending_order
            or now < self._next_release_attempt
        ):
            return
        try:
            await self._lease.release()
        except errors.LogUnavailable as exc:
            self._next_release_attempt = now + RELEASE_RETRY_MS
            _log.info("lease not released", why=exc.message)

    def _log_wanted(self, service, change):
        _log.info(
            "change wanted",
            service=service.name,
            engine=change.id,
            prefill=change.prefill,
            why=change.why,
            patience_ms=self._action_delay_ms(change),
        )

    def _action_delay_ms(self, change):
        """Return how long a change has to be needed before it is made here.

        Nobody else may claim sooner than the instance whose claim stands.
        """
        takeover_delay_ms = min(
            MAX_TAKEOVER_DELAY_MS, TAKEOVER_DELAY_FACTOR * change.lasting_ms
        )
        position = self._peers.place_in_line()
        if self._lease.has_unreleased_claim:
            position = 0
        return change.lasting_ms + position * takeover_delay_ms

    async def _refresh_claim(self):
        """Keep the claim that stands in sight.

        A gateway that sees a claim for the first time has to wait until it
        has surely ended, and nothing is served meanwhile if the last engine
        that decodes has left together with the holder.
        """
        now = self._clock.now()
        # A gateway that starts looks in any place: the claim may be its own.
        is_first = not self._next_claim_poll
        if now < self._next_claim_poll:
            return
        if not is_first and self._peers.place_in_line() >= CLAIM_POLLERS:
            return
        self._next_claim_poll = now + CLAIM_POLL_INTERVAL_MS
        try:
            await self._lease.refresh()
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
            if self._is_blocked(service, states, change):
                continue
            return service, change
        return None

    def _is_blocked(self, service, states, change):
        """Tell whether so many engines are away that no other may be."""
        cooldown_by_id = {}
        for state in states:
            cooldown = self._cooldowns.active(state.endpoint.id)
            if cooldown and cooldown.cause is not cooldowns.Cause.UNREACHABLE:
                cooldown_by_id[state.endpoint.id] = cooldown
        if len(cooldown_by_id) < max(
            1, len(states) // ENGINES_PER_CONCURRENT_CHANGE
        ):
            self._logged_cooldowns_by_service.pop(service.name, None)
            return False
        if change.is_pressing and all(
            cooldown.cause is cooldowns.Cause.UNANSWERED
            for cooldown in cooldown_by_id.values()
        ):
            return False
        self._log_blocked(service, sorted(cooldown_by_id))
        return True

    def _log_blocked(self, service, names):
        """Log, once for each set of engines, that no other may be changed."""
        if self._logged_cooldowns_by_service.get(service.name) == names:
            return
        self._logged_cooldowns_by_service[service.name] = names
        _log.info(
            "no change while engines are away for one",
            service=service.name,
            left_ms_by_engine={
                name: self._cooldowns.remaining_ms(name) for name in names
            },
        )

    def _engine(self, state):
        streams = state.streams + sum(
            peer.work_by_endpoint[state.endpoint.id].streams
            for peer in self._peers.table.states()
            if state.endpoint.id in peer.work_by_endpoint
        )
        cooldown = self._cooldowns.active(state.endpoint.id)
        stage = state.endpoint.stage
        is_lost = state.is_lost()
        if cooldown is not None:
            # Its record shows the new stage only when the change is over.
            stage = cooldown.stage or stage
            is_lost = cooldown.cause is not cooldowns.Cause.SETTLING
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
                    self._handle_busy(state, change)
                    return
                # Asking took time; an order that leaves after the lease could
                # meet one of the next holder.
                if not self._lease.is_held():
                    _log.info("lease over before the order", engine=change.id)
                    return
                is_sent = True
                self._lease.record_order()
                status = await self._send(state, change, report.orders)
        except (client.LinkBroken, TimeoutError, errors.BadRecord) as exc:
            self._handle_failure(state, exc, is_sent)
        else:
            self._handle_response(service, state, change, status)
        if is_sent:
            # A process that was paused sent it long after it began to.
            self._lease.record_order()

    async def _report(self, state):
        head, report = await self._send_request(state, calls.report())
        if head.status != 200:
            raise errors.BadRecord(f"report with {head.status}")
        return calls.engine_report(report)

    def _handle_busy(self, state, change):
        """Wait for an order that another process has given.

        Given again, the same change would begin anew.
        """
        _log.info("engine is at an order already", engine=change.id)
        self._cooldowns.start(
            state.endpoint.id,
            cooldowns.Cause.SETTLING,
            BUSY_COOLDOWN_MS,
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
        head, _body = await self._send_request(state, order)
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

    def _handle_response(self, service, state, change, status):
        """Leave the engine alone until the order has had its effect."""
        cooldown_ms = SETTLING_COOLDOWN_MS
        if status == 202:
            cooldown_ms += service.engine.switch_ms
            state.away_until = self._clock.now() + service.engine.switch_ms
            self._peers.tell()
        stage = _stage(change) if status in ACCEPTED_STATUSES else None
        self._cooldowns.start(
            state.endpoint.id, cooldowns.Cause.SETTLING, cooldown_ms, stage
        )

    def _handle_failure(self, state, exc, is_sent):
        """Leave the engine alone, for long only if the order may arrive."""
        cause, rest_ms = (
            cooldowns.Cause.UNREACHABLE,
            UNREACHABLE_COOLDOWN_MS,
        )
        if is_sent and not _is_not_executed(exc):
            cause, rest_ms = (
                cooldowns.Cause.UNANSWERED,
                UNANSWERED_COOLDOWN_MS,
            )
        else:
            is_absent = isinstance(exc, client.LinkBroken) and exc.absent
            state.health.record_failure(self._clock.now(), is_absent)
        metrics.count("orders", status=cause.value)
        self._cooldowns.start(state.endpoint.id, cause, rest_ms)
        _log.warning(
            "order failed",
            engine=state.endpoint.id,
            kind=cause.value,
            rest_ms=rest_ms,
            why=getattr(exc, "why", None) or repr(exc),
        )

    async def _send_request(self, state, request):
        """Ask on a connection of its own.

        A kept one may have gone silent, and closing it takes along what
        wasn't sent: an order that was given up must not arrive later.
        """
        return await state.pool.ask(
            request, sending.MAX_ANSWER_BYTES, fresh=True
        )


def _stage(change):
    return domain.PREFILL if change.prefill else domain.DECODE


def _is_not_executed(exc):
    """Tell whether nothing of an order has reached the engine."""
    if not isinstance(exc, client.LinkBroken):
        return False
    return verdicts.verdict_of(exc.progress) is verdicts.Verdict.NOT_RUN
