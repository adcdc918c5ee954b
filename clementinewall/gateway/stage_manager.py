"""Changes the stages of engines (prefill or decode), one at a time.

The plan comes from :mod:`clementinewall.policy.stages`, the right to order
from :mod:`clementinewall.duties.lease`.  Of the gateways that reach one
another the first by address acts; the next ones act only if a needed change
isn't made, so that they don't contend for the lease.
"""

import collections

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall import domain
from clementinewall.duties import lease as lease_module
from clementinewall import errors
from clementinewall.gateway import cooldowns
from clementinewall.gateway import endpoint_path
from clementinewall.gateway import endpoint_state
from clementinewall.gateway import endpoints as endpoints_module
from clementinewall.gateway import sending
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import stages
from clementinewall import verdicts

_log = logs.PartLog("stage")

POLL_INTERVAL_MS = 250
# Gateways further back in line look less often, as a change that they have to
# make is due seconds later.
MAX_POLL_INTERVAL_MS = 1_000
# One engine in this number, and at least one, may change at a time: of six
# engines, a second one out of service costs more than the change gains.
ENGINES_PER_CONCURRENT_CHANGE = 6
# The first gateways in line read the newest claim at this interval.
CLAIM_POLLERS = 8
CLAIM_POLL_INTERVAL_MS = 8_000
FIRST_CLAIM_POLL_DELAY_MS = 2_000
RELEASE_RETRY_MS = 1_000
# Each gateway further back in line waits longer for a change to be made by
# this delay, or by the change's required duration times the factor if less.
MAX_TAKEOVER_DELAY_MS = 3_000
TAKEOVER_DELAY_FACTOR = 3
# An order without an answer may be executed up to 12 s later.
UNANSWERED_COOLDOWN_MS = 14_000
# How long an engine that couldn't be reached is left out of the plan.
UNREACHABLE_COOLDOWN_MS = 2_000
# The effect of an order has to show in the engine's record, which is written
# about every 1,200 ms, before the next change is planned.
SETTLING_COOLDOWN_MS = 1_500
ORDER_TIMEOUT_MS = 1_000
ACCEPTED_STATUSES = (200, 202)
# An engine that is executing an order is asked again after this time.
BUSY_COOLDOWN_MS = 500


class StageManager:
    """Plans and orders stage changes for all model services."""

    def __init__(
        self, settings, fleet_view, endpoints, peers, is_ready, ticker
    ):
        """Use the gateway's components; order only while ``is_ready()``."""
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
        """Poll until cancelled."""
        while True:
            await anyio.sleep(clock.seconds(self.poll_interval_ms()))
            with containment.contained(_log, "a look at the stages"):
                await self.poll()

    def poll_interval_ms(self):
        """Return the ms until the next poll, by the place in line."""
        if self._lease.has_unreleased_claim:
            return POLL_INTERVAL_MS
        places = 1 + self._rank()
        return min(MAX_POLL_INTERVAL_MS, places * POLL_INTERVAL_MS)

    def _rank(self):
        """Return this gateway's place in the line for giving orders."""
        return self._peers.table.order_rank(self._settings.data_centre)

    async def poll(self):
        """Make the change that is needed, if it is this gateway's turn."""
        # A stopping gateway would leave a lease, and the wait for the effect
        # of an order, to the other gateways.
        if not self._is_ready():
            await self._release()
            return
        await self._refresh_claim()
        found = self._plan()
        now = self._clock.now()
        if found is None or not self._can_order(found[1]):
            self._wanted_since = None
            await self._release()
            return
        if self._wanted_since is None or found[1].why != self._wanted_reason:
            self._wanted_since = now
            self._wanted_reason = found[1].why
            self._log_wanted(*found)
        if now - self._wanted_since >= self._action_delay_ms(found[1]):
            await self._act(*found)

    def _can_order(self, change):
        """Return whether no other gateway has to make a change.

        Orders are never relayed: engines would take them for those of another
        holder.  One of the gateways that reach the engine makes the change.
        """
        state = self._endpoints.find(change.id)
        return (
            state is None
            or state.path.reach is not endpoint_path.Reach.RELAYED
        )

    async def _release(self):
        """Release the lease once the orders sent under it took effect."""
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
            _log.info("lease not released, will retry", why=exc.message)

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
        """Return the ms for which a change must be needed before it is made.

        An instance with an unreleased claim doesn't wait for others, as
        nobody else may claim sooner.
        """
        takeover_delay_ms = min(
            MAX_TAKEOVER_DELAY_MS, TAKEOVER_DELAY_FACTOR * change.lasting_ms
        )
        rank = self._rank()
        if self._lease.has_unreleased_claim:
            rank = 0
        return change.lasting_ms + rank * takeover_delay_ms

    async def _refresh_claim(self):
        """Read the newest claim at intervals, so that its age is known.

        A gateway that sees a claim for the first time has to wait until it
        has certainly expired.  Nothing is served meanwhile if the last decode
        engine became unavailable together with the holder.
        """
        now = self._clock.now()
        if now < self._next_claim_poll or self._peers.is_first_process is None:
            return
        is_first_poll = not self._next_claim_poll
        if is_first_poll and self._peers.is_first_process:
            # No claim can be its own, and its place in line is known once it
            # has heard the others.
            self._next_claim_poll = now + FIRST_CLAIM_POLL_DELAY_MS
            return
        # A starting gateway reads it at any place in line, as the claim may
        # be that of an earlier process of its instance.
        if not is_first_poll and self._rank() >= CLAIM_POLLERS:
            return
        self._next_claim_poll = now + CLAIM_POLL_INTERVAL_MS
        try:
            await self._lease.refresh()
        except errors.LogUnavailable as exc:
            _log.info(
                "newest lease claim not read, trying again at the next poll",
                why=exc.message,
            )

    def _plan(self):
        """Return a service and the change it needs, or ``None``."""
        configuration = self._fleet_view.configuration
        peer_streams = self._peer_streams_by_engine_id()
        for service in configuration.service_by_name.values():
            if service.engine is None:
                continue
            states = [
                state
                for state in self._endpoints.of_service(service.name)
                if endpoints_module.is_engine(state)
            ]
            change = None
            with containment.contained(
                _log, "a plan of stages", service=service.name
            ):
                change = self._unblocked_change(service, states, peer_streams)
            if change is not None:
                return service, change
        return None

    def _unblocked_change(self, service, states, peer_streams):
        """Return the change that a service needs and that may be made."""
        change = stages.plan(
            [self._engine(state, peer_streams) for state in states]
        )
        if change is None or self._is_blocked(service, states, change):
            return None
        return change

    def _is_blocked(self, service, states, change):
        """Return whether too many engines are in cooldown for a change."""
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
        """Log, once for each set of engines in cooldown, what they block."""
        if self._logged_cooldowns_by_service.get(service.name) == names:
            return
        self._logged_cooldowns_by_service[service.name] = names
        _log.info(
            "stage change postponed, other engines are in cooldown",
            service=service.name,
            left_ms_by_engine={
                name: self._cooldowns.remaining_ms(name) for name in names
            },
        )

    def _peer_streams_by_engine_id(self):
        """Return how many streams the peers have at each engine."""
        streams = collections.Counter()
        for peer in self._peers.table.states():
            for engine_id, work in peer.work_by_endpoint_id.items():
                streams[engine_id] += work.streams
        return streams

    def _engine(self, state, peer_streams):
        streams = state.streams + peer_streams[state.endpoint.id]
        cooldown = self._cooldowns.active(state.endpoint.id)
        stage = state.endpoint.stage
        is_unresponsive = state.is_unresponsive()
        if cooldown is not None:
            # The engine's record shows the new stage only after the change.
            stage = cooldown.stage or stage
            is_unresponsive = cooldown.cause is not cooldowns.Cause.SETTLING
        return stages.Engine(
            state.endpoint.id,
            stage == domain.PREFILL,
            streams,
            state.endpoint.slots,
            is_unresponsive,
            state.endpoint.version,
        )

    async def _act(self, service, change):
        # Reading the claim took time.
        if not self._is_ready():
            return
        try:
            held = self._lease.is_held() or await self._lease.claim()
        except errors.LogUnavailable as exc:
            _log.info("lease not claimed, no order is sent", why=exc.message)
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
                # The report took time; an order sent after the lease ended
                # could overlap with one of the next holder.
                if not self._lease.is_held():
                    _log.info(
                        "lease expired, no order is sent", engine=change.id
                    )
                    return
                if not self._is_ready():
                    _log.info(
                        "not ready any more, no order is sent",
                        engine=change.id,
                    )
                    return
                is_sent = True
                self._lease.record_order()
                status = await self._send(state, change, report.orders)
        except (client.LinkBroken, TimeoutError, errors.BadRecord) as exc:
            self._handle_failure(state, exc, is_sent)
        except Exception as exc:
            # Without a cooldown this engine would be chosen again each time,
            # and no other one would be changed.
            containment.record(_log, "an order", exc, engine=change.id)
            self._handle_failure(state, exc, is_sent)
        else:
            self._handle_response(service, state, change, status)
        if is_sent:
            # A process that was paused may have sent it much later.
            self._lease.record_order()

    async def _report(self, state):
        head, report = await self._send_request(state, calls.report_request())
        if head.status != 200:
            raise errors.BadRecord(
                f"engine report failed: got status {head.status}, expected 200"
            )
        return calls.decode_engine_report(report)

    def _handle_busy(self, state, change):
        """Wait for an order that another process has sent.

        If the same order were sent again, the change would start over.
        """
        _log.info(
            "engine is executing another order, will ask again",
            engine=change.id,
        )
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
        head, _body = await self._send_request(state, order, follows=True)
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
        """Start a cooldown until the order has taken effect."""
        cooldown_ms = SETTLING_COOLDOWN_MS
        if status == 202:
            cooldown_ms += service.engine.switch_ms
            state.unavailable_until = (
                self._clock.now() + service.engine.switch_ms
            )
            self._peers.notify()
        stage = _stage(change) if status in ACCEPTED_STATUSES else None
        self._cooldowns.start(
            state.endpoint.id, cooldowns.Cause.SETTLING, cooldown_ms, stage
        )

    def _handle_failure(self, state, exc, is_sent):
        """Start a cooldown, which is long only if the order may arrive."""
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
            state.start_path_check()
            is_absent = isinstance(exc, client.LinkBroken) and exc.absent
            if not isinstance(exc, endpoint_state.Withheld):
                state.record_failure(is_absent)
        metrics.count("orders", status=cause.value)
        self._cooldowns.start(state.endpoint.id, cause, rest_ms)
        _log.warning(
            "order failed",
            engine=state.endpoint.id,
            kind=cause.value,
            rest_ms=rest_ms,
            why=getattr(exc, "why", None) or repr(exc),
        )

    async def _send_request(self, state, request, follows=False):
        """Send a request on a new connection and return the response.

        A pooled connection may be dead.  Closing a connection of its own
        discards unsent data, so that an abandoned order can't arrive later.
        """
        return await state.send_request(
            request, sending.MAX_ANSWER_BYTES, fresh=True, follows=follows
        )


def _stage(change):
    return domain.PREFILL if change.prefill else domain.DECODE


def _is_not_executed(exc):
    """Return whether no part of an order has reached the engine."""
    if not isinstance(exc, client.LinkBroken):
        return False
    return verdicts.verdict_of(exc.progress) is verdicts.Verdict.NOT_RUN
