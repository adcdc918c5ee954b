"""Work for model engines: placing, prefill, streams and their resumption."""

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import sending
from clementinewall.gateway import stream_answer
from clementinewall.http1 import client
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import engine_time
from clementinewall import verdicts

_log = logs.PartLog("stream")

FREE_TIMEOUT_MS = 1_000
# A prompt that takes this many times as long as predicted, and half a second
# more, is read elsewhere: reading is no run, so this is always allowed.
PREFILL_PATIENCE = 3.0
PREFILL_SLACK_MS = 500
# Reading a prompt again and sending the request once more.
READ_AGAIN_SENDS = 2
# Callers give up a stream after a pause of 2,000 ms or more.  Half of it is
# left for another engine to read the prompt again.
SILENCE_MS = 1_000
SILENCE_PAUSES = 4


class StreamRelay:
    """Carries streams from the engines of a service to callers."""

    def __init__(
        self,
        endpoints,
        placer,
        announce_prompt,
        budgets,
        crash_guard,
        drain,
        group,
        now,
    ):
        """Use the gateway's parts.

        ``tell_prompt`` lets the peers know of a new prompt; ``group`` runs
        what outlives a request.
        """
        self._drain = drain
        self._endpoints = endpoints
        self._placer = placer
        self._announce_prompt = announce_prompt
        self._budgets = budgets
        self._crash_guard = crash_guard
        self._group = group
        self._now = now

    async def run(self, exchange):
        """Answer the request.

        :raises ClementinewallError: it could not be answered.
        """
        stream = stream_answer.StreamAnswer(exchange)
        last = None
        while True:
            plan = self._placer.place(exchange, last)
            self._drain.check_stream(exchange, plan.option.first_ms)
            spent = _further_sends(exchange, plan)
            if spent and not self._budgets.spend(
                exchange.service, spent, _reason(exchange)
            ):
                _log.info(
                    "no budget", request=exchange.call.attempt, sends=spent
                )
                break
            try:
                await self._run_plan(exchange, stream, plan)
            except exchanges.AttemptFailed as exc:
                last = exc
                unused = _unused_sends(plan, spent, exc)
                if unused:
                    self._budgets.refund(exchange.service, unused)
                self._note_failure(exchange, exc, not stream.had_first)
                if not exchange.may_retry():
                    break
                continue
            if exchange.first_event_ms is not None:
                self._drain.record_stream(exchange, exchange.first_event_ms)
            return
        if last.answer is not None and not stream.started:
            head, body = last.answer
            await exchange.connection.answer(calls.forwarded(head), body)
            return
        raise exchanges.final_error(exchange, last.why)

    async def _run_plan(self, exchange, stream, plan):
        prefilled = None
        if plan.prefill_engine is not None:
            prefilled = await self._prefill(exchange, plan)
            self._check_time(exchange, plan, prefilled)
        exchange.sends += 1
        decoder = plan.decode_engine
        if not self._endpoints.is_current(decoder):
            # It began to leave while the prompt was read elsewhere, and must
            # get no new work.
            if prefilled is not None:
                self._group.start_soon(
                    self._free, plan.prefill_engine, prefilled
                )
            raise exchanges.AttemptFailed(
                verdicts.Verdict.NOT_RUN,
                "the engine is leaving",
                decoder.endpoint.id,
                reached=False,
            )
        exchange.tried_ids.add(decoder.endpoint.id)
        request = calls.run(
            exchange.call,
            decoder.endpoint,
            exchange.left_ms,
            stream.events.last,
            prefilled,
            plan.run_urgency,
            None if prefilled else _source(plan),
        )
        decoder.streams += 1
        job = None
        if not prefilled:
            job = decoder.begin_prompt(plan.run_urgency, plan.option.prompt_ms)
            self._announce_prompt(job)
        stream.begin(lambda: self._first(exchange, plan, job))
        taken = False
        silence_timeout_ms = self._silence_ms(exchange, plan)
        try:
            async with sending.send(
                exchange.call, decoder, request, self._now, silence_timeout_ms
            ) as sent:
                taken = True
                await stream.carry(sent, silence_timeout_ms)
        finally:
            decoder.streams -= 1
            if job is not None and not stream.had_first:
                decoder.end_prompt(job, False)
            if prefilled is not None and not taken:
                self._group.start_soon(
                    self._free, plan.prefill_engine, prefilled
                )
        decoder.health.record_success()

    def _check_time(self, exchange, plan, prefilled):
        """Refuse a stream that the end came too near to while it waited.

        :raises Leaving: it can't be finished here.
        """
        try:
            self._drain.check_stream(exchange, 0)
        except errors.Leaving:
            self._group.start_soon(self._free, plan.prefill_engine, prefilled)
            raise

    def _silence_ms(self, exchange, plan):
        """Return how long the engine may say nothing, or ``None``.

        Without another send left, an answer that comes late is better than
        none.
        """
        route = exchange.route
        if (
            not route.idempotent
            or exchange.reached_sends >= route.max_attempts
        ):
            return None
        if not self._budgets.can_spend(exchange.service, READ_AGAIN_SENDS):
            return None
        others = [
            state
            for state in self._endpoints.of_service(exchange.service.name)
            if state.endpoint.id not in exchange.tried_ids
            and state.endpoint.stage == domain.DECODE
        ]
        if not others:
            return None
        expected = plan.option.first_ms * PREFILL_PATIENCE
        pauses = SILENCE_PAUSES * route.gap_goal_ms
        return max(SILENCE_MS, expected, pauses)

    def _first(self, exchange, plan, job):
        if job is not None:
            plan.decode_engine.end_prompt(job, True)
        if exchange.call.prompt:
            note = self._endpoints.record_prefill
            if job is None:
                note = self._endpoints.record_fetch
            note(plan.decode_engine, exchange.call.prompt)
        took = exchange.waited_ms
        if exchange.first_event_ms is None:
            exchange.first_event_ms = took
        metrics.observe_ms("first_event", took, route=exchange.route.name)
        _log.info(
            "first event",
            request=exchange.call.attempt,
            took_ms=took,
            predicted_ms=round(plan.option.first_ms),
        )

    def _reading_silence_ms(self, exchange, plan):
        """Return how long a reading engine may say nothing, or ``None``.

        Given up without a budget to read it elsewhere, the prompt would have
        been read in vain.
        """
        if not self._budgets.can_spend(exchange.service, READ_AGAIN_SENDS):
            return None
        expected = plan.option.wait_ms + plan.option.prompt_ms
        return PREFILL_PATIENCE * expected + PREFILL_SLACK_MS

    async def _prefill(self, exchange, plan):
        reader = plan.prefill_engine
        prompt_ms = plan.option.prompt_ms
        request = calls.prefill(
            exchange.call,
            reader.endpoint,
            exchange.left_ms,
            plan.urgency,
            _source(plan),
        )
        started = self._now()
        job = reader.begin_prompt(plan.urgency, prompt_ms)
        was_read = False
        self._announce_prompt(job)
        silence_timeout_ms = self._reading_silence_ms(exchange, plan)
        try:
            async with sending.send(
                exchange.call, reader, request, self._now, silence_timeout_ms
            ) as sent:
                body = await sent.read_all()
            was_read = True
            exchange.prefills += 1
        except exchanges.AttemptFailed as exc:
            # Only the prompt was read, so the request itself has not run.
            exchange.sends += 1
            if exc.reached and exc.verdict is not verdicts.Verdict.NOT_RUN:
                exchange.prefills += 1
            exchange.tried_ids.add(reader.endpoint.id)
            exc.verdict = verdicts.Verdict.NOT_RUN
            raise
        finally:
            reader.end_prompt(job, was_read)
        try:
            prefilled = calls.prefilled(reader.endpoint, body)
        except errors.BadRecord as exc:
            exchange.sends += 1
            raise exchanges.AttemptFailed(
                verdicts.Verdict.NOT_RUN, exc.message, reader.endpoint.id
            ) from exc
        reader.health.record_success()
        took_ms = self._now() - started
        self._endpoints.record_prefill(reader, exchange.call.prompt)
        if plan.measures_prefill_speed:
            self._endpoints.scales.record(
                exchange.service.name,
                took_ms - engine_time.PREFILL_ANSWER_MS,
                plan.unscaled_prefill_ms,
            )
        _log.info(
            "prompt read",
            request=exchange.call.attempt,
            engine=reader.endpoint.id,
            took_ms=took_ms,
            wait_ms=round(plan.option.wait_ms),
            prompt_ms=round(prompt_ms),
            urgency=plan.urgency,
        )
        return prefilled

    async def _free(self, reader, prefilled):
        request = calls.free(prefilled.handle)
        with anyio.move_on_after(clock.seconds(FREE_TIMEOUT_MS)):
            try:
                await reader.pool.ask(request, sending.MAX_ANSWER_BYTES)
            except client.LinkBroken as exc:
                _log.info("handle not freed", why=exc.why)

    def _note_failure(self, exchange, exc, before_first):
        exchange.record_failure(exc)
        for state in self._endpoints.of_service(exchange.service.name):
            if state.endpoint.id == exc.endpoint_id and exc.answer is None:
                state.health.record_failure(self._now(), exc.absent)
                self._crash_guard.record_failure(
                    exchange.call, state, exc, before_first
                )
        _log.info(
            "attempt failed",
            request=exchange.call.attempt,
            endpoint=exc.endpoint_id,
            verdict=exc.verdict.value,
            why=exc.why,
        )


def _further_sends(exchange, plan):
    """Return how many sends of a plan draw on the budget.

    Only the first reading of a prompt is free.  Retries that were counted once
    went over the deployment's bound when decode engines were replaced under
    load.
    """
    sends = 0
    if exchange.reached_sends:
        sends += 1
    if exchange.prefills and plan.prefill_engine is not None:
        sends += 1
    return sends


def _unused_sends(plan, spent, failure):
    """Return how many of the sends that were taken reached nobody."""
    reached = 1 if failure.reached else 0
    reader = plan.prefill_engine
    if reader is not None and failure.endpoint_id == reader.endpoint.id:
        # The stream itself was not asked for.
        return max(0, spent - reached)
    return min(spent, 1 - reached)


def _reason(exchange):
    """Return what further sends are for, as a label."""
    if exchange.first_event_ms is not None:
        return "resume"
    return "read again" if exchange.prefills else "send again"


def _source(plan):
    return plan.source and plan.source.endpoint
