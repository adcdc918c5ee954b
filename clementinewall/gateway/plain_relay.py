"""Relays calls to plain services, which are not model engines."""

from clementinewall.backpressure import holdings
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import sending
from clementinewall.gateway import silence_watch
from clementinewall.http1 import messages
from clementinewall import logs
from clementinewall.platform import calls
from clementinewall.policy import silence
from clementinewall import verdicts

_log = logs.PartLog("plain")

# Added to the load of an endpoint in another data centre.
REMOTE_PENALTY_CALLS = 0.2
# Callers of a service that no gateway reaches return after this time.
UNREACHED_RETRY_MS = 1_000


class PlainRelay:
    """Sends calls to the endpoints of a service and returns the answers."""

    def __init__(self, settings, endpoints, budgets, crash_guard, now):
        """Use the gateway's shared components; ``now`` returns ms."""
        self._crash_guard = crash_guard
        self._settings = settings
        self._endpoints = endpoints
        self._budgets = budgets
        self._now = now

    async def run(self, exchange):
        """Answer the call.

        :raises ClementinewallError: no endpoint answered the call.
        """
        last = None
        while True:
            self._crash_guard.check(exchange)
            state = self._choose_endpoint(exchange)
            if state is None:
                break
            spent = 1 if exchange.reached_sends else 0
            if spent and not self._budgets.spend(
                exchange.service, spent, "send again"
            ):
                _log.info(
                    "no budget", request=exchange.call.attempt, sends=spent
                )
                break
            try:
                answer = await self._attempt(exchange, state)
            except exchanges.AttemptFailed as exc:
                last = exc
                if spent and not exc.reached:
                    self._budgets.refund(exchange.service, spent)
                await self._record_failure(exchange, state, exc)
                if (
                    exchange.connection.answer_started
                    or not exchange.may_retry()
                ):
                    break
                continue
            state.health.record_success()
            self._crash_guard.record_answer(exchange)
            await answer.finish()
            return
        if last is not None and last.answer is not None:
            head, body = last.answer
            await exchange.connection.answer(calls.forwarded_head(head), body)
            return
        why = last.why if last else "no endpoint of the service is available"
        raise exchanges.final_error(
            exchange, why, self._retry_after_ms(exchange.service)
        )

    def _retry_after_ms(self, service):
        """Return when callers should return, ``None`` if that isn't known.

        It is known if each endpoint rests or is reached by no gateway.
        """
        spans = [
            UNREACHED_RETRY_MS if state.path.is_unreached else state.rest_ms
            for state in self._endpoints.of_service(service.name)
        ]
        span_ms = min(spans, default=0)
        return exchanges.spread_retry_ms(span_ms) if span_ms else None

    def _choose_endpoint(self, exchange):
        states = [
            state
            for state in self._endpoints.of_service(exchange.service.name)
            if state.endpoint.id not in exchange.tried_ids
            and not state.rest_ms
            and not state.path.is_unreached
        ]
        usable = [s for s in states if s.is_usable()] or states
        if not usable:
            return None
        return min(usable, key=self._load_key)

    def _load_key(self, state):
        is_local = state.endpoint.data_centre == self._settings.data_centre
        # A reported load is used for 500 ms.
        reported = 0
        if state.load is not None and self._now() - state.load_at < 500:
            reported = max(0, state.load.running + state.load.waiting)
        open_calls = max(state.open, reported)
        return open_calls + (
            0 if is_local else REMOTE_PENALTY_CALLS
        ), state.endpoint.id

    async def _attempt(self, exchange, state):
        exchange.sends += 1
        exchange.tried_ids.add(state.endpoint.id)
        state.use_share()
        left_ms = exchange.left_ms
        _log.info(
            "sent",
            request=exchange.call.attempt,
            endpoint=state.endpoint.id,
            open=state.open,
            left_ms=left_ms,
        )
        request = calls.run_request(exchange.call, state.endpoint, left_ms)
        has_begun = True
        try:
            async with sending.send(
                exchange,
                state,
                request,
                self._now,
                self._silence_watch(exchange, state),
            ) as sent:
                return await self._receive(exchange, sent)
        except exchanges.AttemptFailed as exc:
            has_begun = exc.verdict is not verdicts.Verdict.NOT_RUN
            raise
        finally:
            # A call whose caller left has probably begun as well.
            if has_begun:
                exchange.record_begun()

    def _silence_watch(self, exchange, state):
        """Return the watch of a send, ``None`` if it is the last one."""
        route = exchange.route
        if (
            not route.idempotent
            or exchange.reached_sends >= route.max_attempts
        ):
            return None
        return silence_watch.SilenceWatch(
            exchange.call,
            state,
            silence.call_timeout_ms(exchange.left_ms),
            lambda _silent_ms: self._can_replace(exchange),
            self._now,
        )

    def _can_replace(self, exchange):
        """Tell whether another endpoint could take the call over now."""
        if not self._budgets.can_spend(exchange.service, 1):
            return False
        state = self._choose_endpoint(exchange)
        return state is not None and state.is_usable()

    async def _receive(self, exchange, sent):
        """Return the answer, of which a part may have been passed on."""
        head = sent.head
        if head.status < 400 and not calls.is_complete_success(head):
            raise sent.failure(
                "success response without the endpoint's Server-Stamp"
            )
        if head.status >= 500 and exchange.route.idempotent:
            answer = head, await sent.read_all()
            raise sent.failure(
                f"status {head.status}", verdicts.Verdict.RAN, answer
            )
        answer = holdings.HeldAnswer(
            exchange.connection,
            calls.forwarded_head(head),
            messages.content_length(head),
            exchange.route.idempotent and exchange.may_retry(),
        )
        while (part := await sent.read_part()) is not None:
            with sent.state.unread():
                try:
                    await answer.add(part)
                except holdings.TooLong as exc:
                    raise sent.failure(
                        "the answer has no end within bounds", broken=True
                    ) from exc
        return answer

    async def _record_failure(self, exchange, state, exc):
        exchange.record_failure(exc)
        if exc.answer is None:
            is_down = await state.has_crashed(exc)
            if is_down:
                self._crash_guard.record_failure(exchange, state, exc)
            state.record_failure(exc.absent or is_down)
        _log.info(
            "attempt failed",
            request=exchange.call.attempt,
            endpoint=state.endpoint.id,
            verdict=exc.verdict.value,
            why=exc.why,
        )
