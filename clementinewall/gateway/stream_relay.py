"""Relays model requests: placement, prefill, streaming and resumption."""

import importlib

from clementinewall.backpressure import engine_memory
from clementinewall import containment
from clementinewall import errors
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import retry_costs
from clementinewall.gateway import sending
from clementinewall.gateway import silence_watch
from clementinewall.gateway import stream_answer
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import engine_time
from clementinewall.policy import silence
from clementinewall import verdicts

_log = logs.PartLog("stream")

# A prefill that exceeds this multiple of its predicted time plus the slack is
# done on another engine.  A prefill does not run the request, so repeating it
# is always allowed.
PREFILL_TIMEOUT_FACTOR = 3.0
PREFILL_SLACK_MS = 500
# A second prefill and a second send of the request.
PREFILL_RETRY_SENDS = 2


class StreamRelay:
    """Relays streams from the engines of a service to callers."""

    def __init__(
        self,
        endpoints,
        placer,
        announce_prompt,
        budgets,
        crash_guard,
        origins,
        drain,
        group,
        now,
    ):
        """Use the gateway's shared components.

        ``announce_prompt`` sends a new prompt to the peers, ``origins`` tells
        at which software version a stream began, and ``group`` is the task
        group for work that outlives a request.
        """
        self._origins = origins
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

        :raises ClementinewallError: no engine answered the request.
        """
        await self._find_version(exchange)
        self._crash_guard.check(exchange)
        plan = self._placer.place(exchange, None)
        try:
            await self._run_placed(exchange, plan)
        finally:
            if exchange.first_event_ms is None:
                self._placer.record_unserved(exchange)

    async def _run_placed(self, exchange, plan):
        """Answer the request by the plan, or by others if that fails."""
        stream = stream_answer.StreamAnswer(exchange)
        last = None
        while True:
            if last is not None:
                self._crash_guard.check(exchange)
                plan = self._placer.place(exchange, last)
            self._drain.check_stream(exchange, plan.option.first_ms)
            spent = retry_costs.budgeted_sends(exchange, plan)
            if spent and not self._budgets.spend(
                exchange.service, spent, retry_costs.retry_reason(exchange)
            ):
                _log.info(
                    "no budget", request=exchange.call.attempt, sends=spent
                )
                break
            plan.use_shares()
            try:
                await self._run_plan(exchange, stream, plan)
            except exchanges.AttemptFailed as exc:
                last = exc
                unused = retry_costs.refundable_sends(plan, spent, exc)
                if unused:
                    self._budgets.refund(exchange.service, unused)
                await self._record_failure(exchange, plan, exc)
                if not exchange.may_retry():
                    break
                continue
            if exchange.first_event_ms is None:
                self._crash_guard.record_answer(exchange)
            else:
                self._origins.record_end(_stream_name(exchange.call))
                self._crash_guard.record_stream(exchange)
                self._drain.record_stream(exchange, exchange.first_event_ms)
            return
        if last.answer is not None and not stream.head_sent:
            head, body = last.answer
            await exchange.connection.answer(calls.forwarded_head(head), body)
            return
        raise exchanges.final_error(exchange, last.why)

    async def _find_version(self, exchange):
        """Find the version at which a stream that is taken up has to go on.

        :raises UnknownOrigin: nobody knows it, and there are several.
        """
        call = exchange.call
        if not call.takes_up:
            return
        origin = await self._origins.find(call.resumes, exchange.service.name)
        if origin is None:
            raise errors.UnknownOrigin(
                "it isn't known which software version began this stream"
            )
        service = self._endpoints.service(origin.service)
        if service is not None and exchange.route.leads_to(origin.service):
            exchange.service = service
            exchange.version = origin.version

    def _record_version(self, exchange, engine):
        """Record that the caller now has an event of the stream."""
        call = exchange.call
        exchange.version = engine.endpoint.version
        self._origins.record(
            _stream_name(call),
            engine.endpoint.service,
            engine.endpoint.version,
            exchange.route.timeout_ms or exchanges.DEFAULT_TIMEOUT_MS,
        )

    async def _run_plan(self, exchange, stream, plan):
        prefilled = None
        if plan.prefill_engine is not None:
            prefilled = await self._prefill(exchange, plan)
            self._check_after_prefill(exchange, plan, prefilled)
        exchange.sends += 1
        exchange.run_began_at = None
        decode_engine = plan.decode_engine
        if not self._endpoints.takes_work(decode_engine):
            # It started to leave or asked for rest during the prefill on
            # another engine.
            if prefilled is not None:
                self._free(plan, prefilled)
            raise exchanges.AttemptFailed(
                verdicts.Verdict.NOT_RUN,
                "the engine takes no new work",
                decode_engine.endpoint.id,
                reached=False,
            )
        exchange.tried_ids.add(decode_engine.endpoint.id)
        request = calls.run_request(
            exchange.call,
            decode_engine.endpoint,
            exchange.left_ms,
            stream.events.last_position,
            prefilled,
            plan.run_urgency,
            None if prefilled else _source(plan),
        )
        decode_engine.streams += 1
        tokens = engine_memory.tokens(exchange.call.prompt)
        decode_engine.tokens += tokens
        job = None
        if not prefilled:
            job = decode_engine.begin_prompt(
                plan.run_urgency, plan.option.cost_ms
            )
            self._announce_prompt(job)
        watch = silence_watch.SilenceWatch(
            exchange.call,
            decode_engine,
            _silence_timeouts(exchange, plan).first_ms,
            lambda _silent_ms: self._can_replace(exchange),
            self._now,
        )
        started = self._now()

        def on_first_event():
            took_ms = self._now() - started
            self._endpoints.speeds.record_first_event(plan, took_ms)
            self._on_first_event(exchange, plan, job, watch)

        stream.begin(on_first_event)
        is_accepted = False
        try:
            async with sending.send(
                exchange,
                decode_engine,
                request,
                self._now,
                watch,
            ) as sent:
                is_accepted = True
                await stream.forward(sent)
        finally:
            decode_engine.streams -= 1
            decode_engine.tokens -= tokens
            if job is not None and not stream.has_first_event:
                decode_engine.end_prompt(job, False)
            if prefilled is not None and not is_accepted:
                self._free(plan, prefilled)
        decode_engine.health.record_success()

    def _free(self, plan, prefilled):
        """Free the handle of a prefill in the background."""
        # Few prefills are in vain, and loading it delays the start.
        prefill_handles = importlib.import_module(
            "clementinewall.gateway.prefill_handles"
        )
        self._group.start_soon(
            containment.run_once,
            _log,
            "freeing a handle",
            prefill_handles.free,
            plan.prefill_engine,
            prefilled,
        )

    def _check_after_prefill(self, exchange, plan, prefilled):
        """Refuse a request that must not be run any more.

        Meanwhile a drain may have begun in which it cannot be finished, or
        the request may have crashed engines through other gateways.

        :raises Draining, HarmfulRequest: it must not be run.
        """
        try:
            self._drain.check_stream(exchange, 0)
            self._crash_guard.check(exchange)
        except (errors.Draining, errors.HarmfulRequest):
            self._free(plan, prefilled)
            raise

    def _can_replace(self, exchange):
        """Tell whether another engine could take the request over now."""
        route = exchange.route
        return (
            route.idempotent
            and exchange.reached_sends < route.max_attempts
            and self._budgets.can_spend(exchange.service, PREFILL_RETRY_SENDS)
            and self._placer.can_place_again(exchange)
        )

    def _on_first_event(self, exchange, plan, job, watch):
        watch.timeout_ms = _silence_timeouts(exchange, plan).next_ms
        if job is not None:
            plan.decode_engine.end_prompt(job, True)
        if exchange.call.prompt:
            note = self._endpoints.record_prefill
            if job is None:
                note = self._endpoints.record_fetch
            note(plan.decode_engine, exchange.call.prompt)
        self._record_version(exchange, plan.decode_engine)
        took = exchange.waited_ms
        exchange.record_begun()
        if exchange.first_event_ms is None:
            exchange.first_event_ms = took
        metrics.observe_ms("first_event", took, route=exchange.route.name)
        _log.info(
            "first event",
            request=exchange.call.attempt,
            took_ms=took,
            predicted_ms=round(plan.option.first_ms),
            version=plan.decode_engine.endpoint.version,
        )

    def _can_replace_prefill(self, exchange, prefill_engine, silent_ms):
        """Tell whether another engine could prefill the prompt now.

        A prefill that is given up counts as a send, and the request itself
        still needs one.  If that is the last, the caller may retry elsewhere:
        the request has not run, and a sound engine would have answered.
        """
        may_send = exchange.reached_sends + 1 < exchange.route.max_attempts
        return (
            (may_send or silent_ms >= silence.SOUND_SILENCE_MS)
            and self._budgets.can_spend(exchange.service, PREFILL_RETRY_SENDS)
            and self._placer.can_place_again(
                exchange, prefill_engine.endpoint.id
            )
        )

    async def _prefill(self, exchange, plan):
        prefill_engine = plan.prefill_engine
        prompt_ms = plan.option.prefill_ms
        request = calls.prefill_request(
            exchange.call,
            prefill_engine.endpoint,
            exchange.left_ms,
            plan.urgency,
            _source(plan),
        )
        started = self._now()
        job = prefill_engine.begin_prompt(plan.urgency, plan.option.cost_ms)
        tokens = engine_memory.tokens(exchange.call.prompt, False)
        prefill_engine.tokens += tokens
        is_prefilled = False
        self._announce_prompt(job)
        watch = silence_watch.SilenceWatch(
            exchange.call,
            prefill_engine,
            prefill_timeout_ms(plan.option),
            lambda silent_ms: self._can_replace_prefill(
                exchange, prefill_engine, silent_ms
            ),
            self._now,
        )
        try:
            async with sending.send(
                exchange,
                prefill_engine,
                request,
                self._now,
                watch,
            ) as sent:
                body = await sent.read_all()
            is_prefilled = True
            exchange.prefills += 1
        except exchanges.AttemptFailed as exc:
            # Only the prefill was tried, so the request itself has not run.
            exchange.sends += 1
            if exc.reached and exc.verdict is not verdicts.Verdict.NOT_RUN:
                exchange.prefills += 1
            exchange.tried_ids.add(prefill_engine.endpoint.id)
            exc.verdict = verdicts.Verdict.NOT_RUN
            raise
        finally:
            prefill_engine.end_prompt(job, is_prefilled)
            prefill_engine.tokens -= tokens
        try:
            prefilled = calls.decode_prefill_answer(
                prefill_engine.endpoint, body
            )
        except errors.BadRecord as exc:
            exchange.sends += 1
            raise exchanges.AttemptFailed(
                verdicts.Verdict.NOT_RUN,
                exc.message,
                prefill_engine.endpoint.id,
            ) from exc
        prefill_engine.health.record_success()
        took_ms = self._now() - started
        self._endpoints.record_prefill(prefill_engine, exchange.call.prompt)
        self._endpoints.speeds.record_prefill(plan, took_ms)
        if plan.measures_prefill_speed:
            self._endpoints.scales.record(
                exchange.service.name,
                took_ms - engine_time.PREFILL_ANSWER_MS,
                plan.unscaled_prefill_ms,
            )
        _log.info(
            "prompt read",
            request=exchange.call.attempt,
            engine=prefill_engine.endpoint.id,
            took_ms=took_ms,
            wait_ms=round(plan.option.wait_ms),
            prompt_ms=round(prompt_ms),
            urgency=plan.urgency,
        )
        return prefilled

    async def _record_failure(self, exchange, plan, exc):
        exchange.record_failure(exc)
        if exc.answer is None:
            ran_ms = self._ran_ms(exchange)
            state = plan.engine(exc.endpoint_id)
            is_down = await state.has_crashed(exc)
            if is_down:
                self._crash_guard.record_failure(
                    exchange,
                    state,
                    exc,
                    ran_ms,
                    await self._endpoints.reaches_another(state),
                )
            state.record_failure(exc.absent or is_down)
        _log.info(
            "attempt failed",
            request=exchange.call.attempt,
            endpoint=exc.endpoint_id,
            verdict=exc.verdict.value,
            why=exc.why,
        )

    def _ran_ms(self, exchange):
        """Return for how long the engine has run it, ``None`` if not yet."""
        if exchange.run_began_at is None:
            return None
        return self._now() - exchange.run_began_at


def _stream_name(call):
    """Return the attempt that began the stream of a call."""
    return call.resumes or call.attempt


def prefill_timeout_ms(option):
    """Return after which silence a prefill is done on another engine."""
    expected_ms = option.wait_ms + option.prefill_ms
    return PREFILL_TIMEOUT_FACTOR * expected_ms + PREFILL_SLACK_MS


def _silence_timeouts(exchange, plan):
    return silence.stream_timeouts(exchange.route, plan.option.first_ms)


def _source(plan):
    return plan.source and plan.source.endpoint
