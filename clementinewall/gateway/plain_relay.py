"""Calls to plain services."""

import anyio

from clementinewall import clock
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import sending
from clementinewall import logs
from clementinewall.platform import calls
from clementinewall import verdicts

_log = logs.PartLog("plain")

# The first send of a call that may be repeated gets this part of the time,
# so that an endpoint that hangs leaves time for another.
FIRST_PART = 0.5
# What being in this data centre weighs, in waiting or running calls.
NEAR_WORTH = 0.2


class PlainRelay:
    """Carries calls to the endpoints of a service and the answers back."""

    def __init__(self, settings, endpoints, budgets, crash_guard, now):
        """Use the gateway's parts."""
        self._crash_guard = crash_guard
        self._settings = settings
        self._endpoints = endpoints
        self._budgets = budgets
        self._now = now

    async def run(self, exchange):
        """Answer the call.

        :raises ClementinewallError: it could not be answered.
        """
        last = None
        while True:
            state = self._pick(exchange)
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
                head, body = await self._attempt(exchange, state)
            except exchanges.AttemptFailed as exc:
                last = exc
                if spent and not exc.reached:
                    self._budgets.refund(exchange.service, spent)
                self._note_failure(exchange, state, exc)
                if not exchange.may_retry():
                    break
                continue
            state.health.record_success()
            self._crash_guard.record_answer(exchange.call)
            await exchange.connection.answer(calls.forwarded(head), body)
            return
        if last is not None and last.answer is not None:
            head, body = last.answer
            await exchange.connection.answer(calls.forwarded(head), body)
            return
        why = last.why if last else "no endpoint takes work"
        raise exchanges.final_error(exchange, why)

    def _pick(self, exchange):
        states = [
            state
            for state in self._endpoints.of_service(exchange.service.name)
            if state.endpoint.id not in exchange.tried_ids
        ]
        usable = [s for s in states if s.is_usable()] or states
        if not usable:
            return None
        return min(usable, key=self._weight)

    def _weight(self, state):
        here = state.endpoint.data_centre == self._settings.data_centre
        told = 0
        if state.load is not None and self._now() - state.load_at < 500:
            told = max(0, state.load.running + state.load.waiting)
        busy = max(state.open, told)
        return busy + (0 if here else NEAR_WORTH), state.endpoint.id

    async def _attempt(self, exchange, state):
        exchange.sends += 1
        exchange.tried_ids.add(state.endpoint.id)
        left_ms = exchange.left_ms
        is_last = not (
            exchange.route.idempotent
            and exchange.reached_sends < exchange.route.max_attempts
        )
        # The last send ends with the request itself.
        limit = None if is_last else clock.seconds(left_ms * FIRST_PART)
        _log.info(
            "sent",
            request=exchange.call.attempt,
            endpoint=state.endpoint.id,
            open=state.open,
            left_ms=left_ms,
        )
        request = calls.run(exchange.call, state.endpoint, left_ms)
        try:
            with anyio.fail_after(limit):
                async with sending.send(
                    exchange.call, state, request, self._now
                ) as sent:
                    body = await sent.read_all()
        except TimeoutError as exc:
            raise exchanges.AttemptFailed(
                verdicts.Verdict.MAY_HAVE_RUN,
                f"no answer in {limit:.3f} s",
                state.endpoint.id,
            ) from exc
        return self._checked(exchange, sent, body)

    def _checked(self, exchange, sent, body):
        head = sent.head
        if head.status < 400 and not calls.is_whole_success(head):
            raise sent.failure("a success without the endpoint's stamp")
        answer = head, body
        if head.status >= 500 and exchange.route.idempotent:
            raise sent.failure(
                f"status {head.status}", verdicts.Verdict.RAN, answer
            )
        return answer

    def _note_failure(self, exchange, state, exc):
        exchange.record_failure(exc)
        if exc.answer is None:
            state.health.record_failure(self._now(), exc.absent)
        self._crash_guard.record_failure(exchange.call, state, exc, True)
        _log.info(
            "attempt failed",
            request=exchange.call.attempt,
            endpoint=state.endpoint.id,
            verdict=exc.verdict.value,
            why=exc.why,
        )
