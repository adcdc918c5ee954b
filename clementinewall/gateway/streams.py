"""Work for model engines: placing, prefill, streams and their resumption."""

import random
import typing

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import endpoints as endpoints_module
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import sending
from clementinewall.gateway import sse
from clementinewall.gateway import types
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import calls
from clementinewall.policy import placement
from clementinewall.policy import reading_queue
from clementinewall import verdicts

_log = logs.PartLog("stream")

FREE_TIMEOUT_MS = 1_000
NO_PROMPT = types.Prompt("", 0, 0, ())
# Returning callers are spread over half as much time again.
RETRY_SPREAD = 0.5
# An engine that failed or fell silent is used only if all others are worse.
UNUSABLE_SLOWNESS = 10.0
# A prompt that takes this many times as long as predicted, and half a second
# more, is read elsewhere: reading is no run, so this is always allowed.
PREFILL_PATIENCE = 3.0
PREFILL_SLACK_MS = 500
# Callers give up a stream after a pause of 2,000 ms or more.  Half of it is
# left for another engine to read the prompt again.
SILENCE_MS = 1_000
SILENCE_PAUSES = 4


class StreamRelay:
    """Carries streams from the engines of a service to callers."""

    def __init__(
        self,
        settings,
        endpoints,
        peers,
        membership,
        budgets,
        guard,
        group,
        now,
    ):
        """Use the gateway's parts; ``group`` runs what outlives a request."""
        self._settings = settings
        self._endpoints = endpoints
        self._peers = peers
        self._membership = membership
        self._budgets = budgets
        self._guard = guard
        self._group = group
        self._now = now

    async def run(self, exchange):
        """Answer the request.

        :raises ClementinewallError: it could not be answered.
        """
        stream = _Stream(exchange)
        last = None
        while True:
            plan = self._place(exchange, last)
            if exchange.sends and not self._spend(exchange, plan):
                _log.info("no budget", request=exchange.call.attempt)
                break
            try:
                await self._run_plan(exchange, stream, plan)
            except exchanges.AttemptFailed as exc:
                last = exc
                self._note_failure(exchange, exc, not stream.had_first)
                if not exchange.may_send_again():
                    break
                continue
            return
        if last.answer is not None and not stream.started:
            head, body = last.answer
            await exchange.connection.answer(calls.forwarded(head), body)
            return
        raise exchanges.final_error(exchange, last.why)

    def _spend(self, exchange, plan):
        """Take a retry from the budget; reading the prompt again counts too.

        Only the first reading of a prompt is free.  Retries that were
        counted once went over the deployment's bound by 24 in 10 s when
        decode engines were replaced under load.
        """
        sends = 1 if plan.reader is None else 2
        return self._budgets.spend(exchange.service, sends)

    def _place(self, exchange, last):
        """Choose the engines.

        :raises Overloaded: the request cannot be served in time.
        """
        demand = self._demand(exchange)
        untried = [
            state
            for state in self._endpoints.of_service(exchange.service.name)
            if state.endpoint.id not in exchange.tried
            and endpoints_module.is_engine(state)
        ]
        close = self._membership.own_engines(untried)
        states = {state.endpoint.id: state for state in close}
        peers = self._peers.live()
        prompt = exchange.call.prompt or NO_PROMPT
        cached = max(
            (s.cached_tokens(prompt.parts[:-1]) for s in states.values()),
            default=0,
        )
        urgency = placement.urgency(demand, cached)
        engines = [
            self._engine(state, prompt, urgency, peers)
            for state in states.values()
        ]
        chosen = placement.choose(engines, demand)
        if isinstance(chosen, placement.Refusal):
            self._refuse(exchange, demand, chosen, last)
        _log.info(
            "placed",
            request=exchange.call.attempt,
            route=exchange.route.name,
            prefill=chosen.prefill,
            decode=chosen.decode,
            urgency=urgency,
            first_ms=round(chosen.first_ms),
            wait_ms=round(chosen.wait_ms),
            prompt_ms=round(chosen.prompt_ms),
            cached=chosen.cached,
            tokens=demand.tokens,
            left_ms=round(demand.left_ms),
        )
        reader = states.get(chosen.prefill)
        return _Plan(reader, states[chosen.decode], chosen, urgency)

    def _demand(self, exchange):
        prompt = exchange.call.prompt or NO_PROMPT
        limits = exchange.service.engine
        return placement.Demand(
            tokens=prompt.tokens_in,
            left_ms=exchange.route.goal_ms - exchange.waited_ms,
            goal_ms=exchange.route.goal_ms,
            token_bytes=limits.kv_token_bytes,
            link_mbps=limits.link_mbps,
        )

    def _engine(self, state, prompt, urgency, peers):
        endpoint = state.endpoint
        jobs = list(state.jobs)
        streams = state.streams
        last_end = state.last_end
        for peer in peers:
            work = peer.work_by_endpoint.get(endpoint.id)
            if work is not None:
                jobs.extend(work.jobs)
                streams += work.streams
                last_end = max(last_end, work.last_end)
        waiting = reading_queue.wait_ms(jobs, last_end, self._now(), urgency)
        return placement.Engine(
            id=endpoint.id,
            prefill=endpoint.stage == types.PREFILL,
            wait_ms=waiting,
            streams=streams,
            slots=max(1, endpoint.slots),
            cached=state.cached_tokens(prompt.parts[:-1]),
            near=endpoint.data_centre == self._settings.data_centre,
            slowness=state.health.slowness
            if state.is_usable()
            else UNUSABLE_SLOWNESS,
        )

    def _refuse(self, exchange, demand, refusal, last):
        best = refusal.best
        _log.info(
            "refused",
            request=exchange.call.attempt,
            route=exchange.route.name,
            why=refusal.why,
            first_ms=round(best.first_ms) if best else None,
            wait_ms=round(best.wait_ms) if best else None,
            left_ms=round(demand.left_ms),
            tokens=demand.tokens,
        )
        metrics.count("refused", route=exchange.route.name)
        if last is not None:
            raise exchanges.final_error(exchange, last.why)
        spread = 1 + RETRY_SPREAD * random.random()
        raise errors.Overloaded(
            refusal.why, retry_after_ms=refusal.retry_ms * spread
        )

    async def _run_plan(self, exchange, stream, plan):
        prefilled = None
        if plan.reader is not None:
            prefilled = await self._prefill(exchange, plan)
        exchange.sends += 1
        decoder = plan.decoder
        exchange.tried.add(decoder.endpoint.id)
        request = calls.run(
            exchange.call,
            decoder.endpoint,
            exchange.left_ms,
            stream.events.last,
            prefilled,
            plan.urgency,
        )
        decoder.streams += 1
        job = None
        if not prefilled:
            job = decoder.begin_prompt(plan.urgency, plan.way.prompt_ms)
        self._peers.tell()
        stream.begin(lambda: self._first(exchange, plan, job))
        taken = False
        silence_ms = self._silence_ms(exchange, plan)
        try:
            async with sending.send(
                exchange.call, decoder, request, self._now, silence_ms
            ) as sent:
                taken = True
                await stream.carry(sent, silence_ms)
        finally:
            decoder.streams -= 1
            if job is not None and not stream.had_first:
                decoder.end_prompt(job, False)
            if prefilled is not None and not taken:
                self._group.start_soon(self._free, plan.reader, prefilled)
        decoder.health.worked()

    def _silence_ms(self, exchange, plan):
        """Return how long the engine may say nothing, or ``None``.

        Without another send left, an answer that comes late is better than
        none.
        """
        route = exchange.route
        if not route.idempotent or exchange.sends >= route.max_attempts:
            return None
        others = [
            state
            for state in self._endpoints.of_service(exchange.service.name)
            if state.endpoint.id not in exchange.tried
            and state.endpoint.stage == types.DECODE
        ]
        if not others:
            return None
        expected = plan.way.first_ms * PREFILL_PATIENCE
        pauses = SILENCE_PAUSES * route.gap_goal_ms
        return max(SILENCE_MS, expected, pauses)

    def _first(self, exchange, plan, job):
        if job is not None:
            plan.decoder.end_prompt(job, True)
        if job is not None and exchange.call.prompt:
            self._endpoints.note_read(plan.decoder, exchange.call.prompt)
        took = exchange.waited_ms
        metrics.observe_ms("first_event", took, route=exchange.route.name)
        _log.info(
            "first event",
            request=exchange.call.attempt,
            took_ms=took,
            predicted_ms=round(plan.way.first_ms),
        )

    async def _prefill(self, exchange, plan):
        reader = plan.reader
        prompt_ms = plan.way.prompt_ms
        request = calls.prefill(
            exchange.call, reader.endpoint, exchange.left_ms, plan.urgency
        )
        started = self._now()
        job = reader.begin_prompt(plan.urgency, prompt_ms)
        was_read = False
        self._peers.tell()
        expected = plan.way.wait_ms + prompt_ms
        silence_ms = PREFILL_PATIENCE * expected + PREFILL_SLACK_MS
        try:
            async with sending.send(
                exchange.call, reader, request, self._now, silence_ms
            ) as sent:
                body = await sent.read_all()
            was_read = True
        except exchanges.AttemptFailed as exc:
            # Only the prompt was read, so the request itself has not run.
            exchange.sends += 1
            exchange.tried.add(reader.endpoint.id)
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
        reader.health.worked()
        self._endpoints.note_read(reader, exchange.call.prompt)
        _log.info(
            "prompt read",
            request=exchange.call.attempt,
            engine=reader.endpoint.id,
            took_ms=self._now() - started,
            wait_ms=round(plan.way.wait_ms),
            prompt_ms=round(prompt_ms),
            urgency=plan.urgency,
        )
        return prefilled

    async def _free(self, reader, prefilled):
        request = calls.free(prefilled.handle)
        with anyio.move_on_after(clock.seconds(FREE_TIMEOUT_MS)):
            try:
                link = await reader.pool.take()
                await link.send(request)
                await link.read_head()
                await link.read_rest(sending.ANSWER_LIMIT)
            except sending.client.LinkBroken as exc:
                _log.info("handle not freed", why=exc.why)
                return
            reader.pool.give_back(link)

    def _note_failure(self, exchange, exc, before_first):
        exchange.note(exc.verdict)
        for state in self._endpoints.of_service(exchange.service.name):
            if state.endpoint.id == exc.endpoint_id and exc.answer is None:
                state.health.failed(self._now())
                self._guard.note_failure(
                    exchange.call, state, exc, before_first
                )
        _log.info(
            "attempt failed",
            request=exchange.call.attempt,
            endpoint=exc.endpoint_id,
            verdict=exc.verdict.value,
            why=exc.why,
        )


class _Plan(typing.NamedTuple):
    """The engines chosen for one send; ``reader`` is set for a split."""

    reader: endpoints_module.State | None
    decoder: endpoints_module.State
    way: placement.Way
    urgency: int


class _Stream:
    """The answer as the caller gets it, from one engine or several."""

    def __init__(self, exchange):
        self._exchange = exchange
        self.events = sse.Events(exchange.call.resume_after)
        self.started = False
        self.had_first = False
        self._on_first = None

    def begin(self, on_first):
        """Expect the answer of one more engine."""
        self.had_first = False
        self._on_first = on_first

    async def carry(self, sent, silence_ms):
        """Hand on the events of one engine until the whole end.

        :raises AttemptFailed: the stream broke off, or the engine said
            nothing for ``silence_ms``.
        """
        head = sent.head
        if head.status >= 300:
            await self._carry_failure(sent)
            return
        if not calls.is_whole_success(head):
            raise sent.failed("a success without the engine's stamp")
        self.events.restart()
        part = await sent.read_part(silence_ms)
        while part is not None:
            try:
                fresh = self.events.feed(part)
            except sse.BadEvent as exc:
                raise sent.failed(str(exc)) from exc
            if fresh:
                await self._pass_on(head, fresh)
            part = await sent.read_part(silence_ms)
        if not self.events.is_whole:
            raise sent.failed("the answer ends within an event")
        await self._pass_on(head, b"")
        await self._exchange.connection.finish()

    async def _pass_on(self, head, data):
        if not self.had_first:
            self.had_first = True
            self._on_first()
        connection = self._exchange.connection
        if not self.started:
            self.started = True
            await connection.send_head(calls.forwarded(head))
        if data:
            await connection.send_body(data)

    async def _carry_failure(self, sent):
        body = await sent.read_all()
        answer = sent.head, body
        if sent.head.status >= 500 or self.started:
            raise sent.failed(
                f"status {sent.head.status}", verdicts.Verdict.RAN, answer
            )
        await self._exchange.connection.answer(
            calls.forwarded(sent.head), body
        )
