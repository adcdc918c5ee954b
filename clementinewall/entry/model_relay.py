"""Relays a model's answer from engines to a caller.

The relay chooses an engine, opens the stream, and forwards each position
once.  If the engine fails, or its withdrawal is published, the answer resumes
after the last position at another engine.
"""

import collections
import typing

import anyio
import httpx

from clementinewall import _http
from clementinewall import clock
from clementinewall.endpoints import attempt
from clementinewall.endpoints import reports
from clementinewall.endpoints import sse
from clementinewall.entry import crash_guard
from clementinewall.entry import outcomes
from clementinewall.entry import progress
from clementinewall.entry import watchdog
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.policy import admission
from clementinewall.policy import retry_budget
from clementinewall.policy import routing
from clementinewall import verdicts

_log = logs.PartLog("route")

MAX_ATTEMPTS = 4
# Before the second retry, and doubled before the third; the first retry goes
# to another engine at once.
BACKOFF_MS = 300
# For shorter prompts, the extra hop to a prefill engine costs more than the
# prefill that it takes off the decode engine.
MIN_SPLIT_TOKENS = 512
KV_TRANSFER_MS_PER_TOKEN = 0.005


class Sink(typing.Protocol):
    """Receives the events of one answer from the relay."""

    async def send(self, raw, endpoint_id):
        """Send the bytes of one event to the caller."""


class _EngineWithdrawn(Exception):
    """The engine is withdrawn; the stream moves to another engine."""


class ModelRelay:
    """Serves model requests; one per entry."""

    def __init__(self, node, loads, shares, guard):
        """Choose engines by ``loads`` and ``guard``, admit by ``shares``."""
        self._node = node
        self._guard = guard
        self.outcomes = outcomes.Outcomes()
        self._watchdog = watchdog.Watchdog(node.clock.now)
        self._slow_reader_ms = node.settings.limits.slow_reader_ms
        self._loads = loads
        self._shares = shares
        self._http = attempt.stream_client()
        self._budget_by_class = collections.defaultdict(
            retry_budget.RetryBudget
        )

    async def watch(self):
        """Run the watchdog of all streams until cancelled."""
        await self._watchdog.run()

    async def run(self, work, sink):
        """Relay the whole answer to ``sink``.

        :raises ClementinewallError: the request failed; it has the verdict.
        """
        state = progress.RequestState(work, self._node.clock.now())
        if not self._loads.is_known("engine", work.model):
            raise errors.UnknownModel(f"no engine serves model {work.model!r}")
        self._budget_by_class[work.context.class_name].earn()
        deadline_ms = work.context.work_class.deadline_ms
        try:
            await self._run_with_deadline(state, sink, deadline_ms)
        finally:
            self.outcomes.add(work.model, state.is_good())

    async def _run_with_deadline(self, state, sink, deadline_ms):
        try:
            with anyio.fail_after(clock.seconds(deadline_ms)):
                await self._run_attempts(state, sink)
        except TimeoutError as exc:
            raise errors.DeadlineExceeded(
                f"the answer was not complete within {deadline_ms} ms",
                state.verdict,
            ) from exc

    async def _run_attempts(self, state, sink):
        while not state.sequence.finished:
            plan = self._plan(state)
            try:
                await self._attempt(state, plan, sink)
            except _EngineWithdrawn:
                _log.info(
                    "engine withdrawn; moving its stream to another engine",
                    request=state.work.context.request_id,
                    endpoint=plan.decode.id,
                    position=state.sequence.delivered,
                )
                state.failed_ids.add(plan.decode.id)
            except errors.ClementinewallError as exc:
                await self._after_failure(state, exc)

    def _plan(self, state):
        """Return the engines for the next attempt."""
        work = state.work
        self._guard.check(work.digest, state.verdict)
        only = self._guard.remaining_endpoint(
            crash_guard.Work(work.digest, "engine", work.model, work.prompt),
            state.failed_ids,
            state.verdict,
        )
        if only is not None:
            choice = routing.Choice(only, 0.0, 0.0, 0.0, "suspect work")
            plan = routing.Split("", choice)
            self._log_choice(state, plan)
            return plan
        candidates = self._loads.candidates(
            work.model, work.prompt, state.failed_ids
        )
        if not candidates and state.failed_ids:
            # Every engine failed this request once.  A broken connection
            # says little about the engine behind it, so the usable ones are
            # tried again; the number of attempts is bounded.
            state.failed_ids.clear()
            candidates = self._loads.candidates(work.model, work.prompt)
        routing_work = progress.routing_work(work)
        draw = int(work.digest[:6], 16) / 0x1000000
        choice = routing.choose(
            candidates,
            routing_work,
            draw,
            self._loads.preferred("engine", work.model, work.prompt),
        )
        if choice is None:
            raise errors.NoEndpoint(
                f"no engine for model {work.model!r} is available",
                state.verdict,
                retry_after_ms=1_000,
            )
        plan = routing.Split("", choice)
        if routing_work.prompt_tokens >= MIN_SPLIT_TOKENS:
            transfer_ms = routing_work.prompt_tokens * KV_TRANSFER_MS_PER_TOKEN
            split = routing.choose_split(
                candidates, routing_work, draw, transfer_ms
            )
            if split is not None and split.decode.score < choice.score:
                plan = split
        if state.attempts == 0 and state.work.delivered == 0:
            self._admit(state, plan.decode)
        self._log_choice(state, plan)
        return plan

    def _admit(self, state, choice):
        context = state.work.context
        share, callers = self._shares.share(context.caller)
        demand = admission.Demand(context.work_class.priority, share, callers)
        decision = admission.decide(
            choice, demand, context.work_class.first_ms
        )
        if decision.admit:
            self._shares.add(context.caller, progress.total_tokens(state.work))
            return
        _log.info(
            "refused",
            request=context.request_id,
            work_class=context.class_name,
            caller=context.caller,
            why=decision.reason,
            retry_ms=decision.retry_after_ms,
        )
        metrics.count("refused", work_class=context.class_name)
        raise errors.Overloaded(
            decision.reason, retry_after_ms=decision.retry_after_ms
        )

    async def _attempt(self, state, plan, sink):
        work = state.work
        state.attempt_events = 0
        headers = self._headers(state)
        if plan.prefill_id:
            await self._prefill(state, plan.prefill_id, headers)
        name = state.engine_id = plan.decode.id
        endpoint = self._endpoint(name)
        url = f"http://{endpoint.address}{work.path}"
        request = self._http.build_request(
            "POST",
            url,
            content=state.body(),
            headers=headers,
            extensions={_http.IS_STREAMED: True},
        )
        tokens = 0 if plan.prefill_id else progress.prompt_tokens(work)
        self._loads.record_sent(name, tokens)
        try:
            await self._stream(state, name, request, sink)
        except httpx.HTTPError as exc:
            raise attempt.failure(name, exc) from exc
        except TimeoutError as exc:
            raise errors.EndpointFailed(
                f"{name}: no event within the silence timeout"
            ) from exc
        finally:
            self._loads.record_end(name)

    async def _stream(self, state, name, request, sink):
        with anyio.fail_after(clock.seconds(state.silence_timeout_ms())):
            answer = await self._http.send(request, stream=True)
        try:
            if attempt.is_refusal(answer):
                raise errors.EndpointFailed(
                    f"{name}: refused the request", verdicts.Verdict.NOT_RUN
                )
            if answer.status_code != 200:
                await self._raise_for_status(name, answer)
            self._loads.apply_report_header(
                name, answer.headers.get(reports.HEADER)
            )
            await self._relay(state, name, answer, sink)
        finally:
            with anyio.CancelScope(shield=True):
                await answer.aclose()

    async def _relay(self, state, name, answer, sink):
        with self._watchdog.watch() as watch:
            await self._relay_watched(state, name, answer, sink, watch)
        if watch.expired == watchdog.CALLER:
            raise errors.CallerTooSlow(
                "the caller reads the answer too slowly"
            )
        if watch.expired == watchdog.ENGINE:
            # A stuck engine keeps its connection open and sends nothing;
            # without a watchdog its streams would last until the deadline.
            raise errors.EndpointFailed(
                f"{name}: no event within the silence timeout"
            )

    async def _relay_watched(self, state, name, answer, sink, watch):
        splitter = sse.Splitter()
        started = self._node.clock.now()
        watch.wait_for(watchdog.ENGINE, state.silence_timeout_ms())
        async for piece in answer.aiter_raw():
            for event in splitter.feed(piece):
                if state.sequence.accept(event):
                    watch.wait_for(watchdog.CALLER, self._slow_reader_ms)
                    await self._forward_event(state, name, event, sink)
            if state.sequence.finished:
                self._record_answer(state, name, started)
                return
            self._check_withdrawn(state, name)
            watch.wait_for(watchdog.ENGINE, state.silence_timeout_ms())
        raise errors.StreamCut(
            f"{name}: stream ended early, after position "
            f"{state.sequence.delivered}"
        )

    async def _forward_event(self, state, name, event, sink):
        if state.attempt_events == 0:
            first = self._node.clock.now() - state.started_ms
            if state.first_ms is None:
                state.first_ms = first
            metrics.observe_ms(
                "first_token", first, work_class=state.work.context.class_name
            )
            self._loads.record_prefixes(name, state.work.prompt)
        state.attempt_events += 1
        state.verdict = verdicts.Verdict.RAN
        state.keep_for_resume(event, self._node.settings.limits.resume_bytes)
        await sink.send(event.raw, name)

    def _record_answer(self, state, name, started):
        took = self._node.clock.now() - started
        gap = None
        if state.attempt_events > 2:
            gap = took / (state.attempt_events - 1)
            state.gap_ms = gap
            metrics.observe_ms(
                "token_gap", gap, work_class=state.work.context.class_name
            )
        self._loads.record_answer(name, gap)
        metrics.count("answered", work_class=state.work.context.class_name)
        _log.info(
            "answered whole",
            request=state.work.context.request_id,
            endpoint=name,
            position=state.sequence.delivered,
        )

    def _check_withdrawn(self, state, name):
        endpoint = self._loads.endpoint(name)
        if endpoint is not None and endpoint.state != "withdrawn":
            return
        others = self._loads.usable("engine", state.work.model, {name})
        if others:
            raise _EngineWithdrawn

    async def _raise_for_status(self, name, answer):
        await answer.aread()
        if 400 <= answer.status_code < 500:
            raise errors.BadRequest(
                f"{name} answered {answer.status_code}: {answer.text[:200]}",
                verdicts.Verdict.RAN,
            )
        raise errors.EndpointFailed(f"{name}: answered {answer.status_code}")

    async def _prefill(self, state, prefill_id, headers):
        """Prefill at ``prefill_id``; add the cache handle to ``headers``."""
        state.engine_id = prefill_id
        endpoint = self._endpoint(prefill_id)
        self._loads.record_sent(prefill_id, progress.prompt_tokens(state.work))
        try:
            request = self._http.build_request(
                "POST",
                f"http://{endpoint.address}/kv/prefill",
                content=state.work.raw,
                headers=headers,
            )
            answer = await attempt.call(
                self._http, prefill_id, request, state.silence_timeout_ms()
            )
            handle = answer.json()["handle"]
        except (ValueError, KeyError, TypeError) as exc:
            raise errors.EndpointFailed(
                f"{prefill_id}: prefill answered without a handle"
            ) from exc
        finally:
            self._loads.record_end(prefill_id)
        headers["kv-import"] = f"{endpoint.address}#{handle}"

    def _endpoint(self, name):
        endpoint = self._loads.endpoint(name)
        if endpoint is None:
            raise errors.EndpointFailed(
                f"{name}: removed from the configuration",
                verdicts.Verdict.NOT_RUN,
            )
        return endpoint

    def _headers(self, state):
        context = state.work.context
        headers = {
            "content-type": "application/json",
            "x-request-id": context.request_id,
            "priority": str(context.work_class.priority),
        }
        if context.trace:
            headers["traceparent"] = context.trace
        if state.sequence.delivered:
            headers["resume-after"] = str(state.sequence.delivered)
        return headers

    async def _after_failure(self, state, exc):
        """Prepare the next attempt, or raise the final error."""
        name = state.engine_id
        if isinstance(exc, (errors.NotRunError, errors.CallerTooSlow)):
            raise exc
        state.attempts += 1
        state.failed_ids.add(name)
        state.verdict = verdicts.worst(state.verdict, exc.verdict)
        ran = exc.verdict is not verdicts.Verdict.NOT_RUN
        if ran:
            self._loads.record_failure(name)
            await self._guard.record_failure(
                state.work.digest,
                state.work.context.request_id,
                name,
                strong=state.attempt_events == 0,
            )
        _log.warning(
            "attempt at an engine failed",
            request=state.work.context.request_id,
            endpoint=name,
            position=state.sequence.delivered,
            error=exc.message,
        )
        if state.attempts >= MAX_ATTEMPTS:
            raise self._final_error(state, exc)
        await anyio.sleep(clock.seconds(BACKOFF_MS) * (state.attempts - 1))
        started = state.sequence.delivered > state.work.delivered
        spends_budget = ran and not started
        budget = self._budget_by_class[state.work.context.class_name]
        if spends_budget and not budget.spend():
            raise self._final_error(state, exc)

    def _final_error(self, state, exc):
        if state.sequence.delivered:
            return errors.StreamCut(exc.message, state.verdict, 1_000)
        return errors.EndpointFailed(exc.message, state.verdict, 1_000)

    def _log_choice(self, state, plan):
        _log.info(
            "chose an engine",
            request=state.work.context.request_id,
            work_class=state.work.context.class_name,
            endpoint=plan.decode.id,
            prefill=plan.prefill_id or "-",
            score=f"{plan.decode.score:.2f}",
            first_ms=f"{plan.decode.first_ms:.0f}",
            gap_ms=f"{plan.decode.between_ms:.1f}",
            attempt=state.attempts + 1,
            why=plan.decode.reason,
        )
