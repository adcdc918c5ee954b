"""Carrying a model's answer from engines to a caller.

The relay chooses an engine, opens the stream, and passes each position on
once.  When an engine breaks off, or has to be left because its withdrawal is
published, the answer goes on from the last position at another engine.
"""

import collections
import typing

import anyio
import httpx

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

ATTEMPTS = 4
# Before the second retry and, twice as long, before the third; the first
# goes at once, to another engine.
BACKOFF_MS = 300
# A split pays off for long prompts only; below, the extra hop costs more
# than the prompt work it moves away.
SPLIT_TOKENS = 512
MOVE_MS_PER_TOKEN = 0.005


class Sink(typing.Protocol):
    """Where the relay puts the events of one answer."""

    async def send(self, raw, endpoint_id):
        """Take the bytes of one event."""


class _Moved(Exception):
    """The engine is leaving; the stream goes on elsewhere."""


class ModelRelay:
    """Serves model work; one per entry."""

    def __init__(self, node, loads, shares, guard):
        """Use the node's configuration, the loads and callers' shares."""
        self._node = node
        self._guard = guard
        self.outcomes = outcomes.Outcomes()
        self._watchdog = watchdog.Watchdog(node.clock.now)
        self._slow_reader_ms = node.settings.limits.slow_reader_ms
        self._loads = loads
        self._shares = shares
        self._http = attempt.stream_client()
        self._budgets = collections.defaultdict(retry_budget.RetryBudget)

    async def watch(self):
        """Run the watchdog of all streams for ever."""
        await self._watchdog.run()

    async def run(self, work, sink):
        """Carry the whole answer to ``sink``.

        :raises ClementinewallError: with the verdict, when given up.
        """
        run = progress.Run(work, self._node.clock.now())
        if not self._loads.is_known("engine", work.model):
            raise errors.UnknownModel(f"no engine serves {work.model!r}")
        self._budgets[work.asked.class_name].earn()
        left = work.asked.work_class.deadline_ms
        try:
            await self._carry(run, sink, left)
        finally:
            self.outcomes.add(work.model, run.is_good())

    async def _carry(self, run, sink, left):
        try:
            with anyio.fail_after(clock.seconds(left)):
                await self._attempts(run, sink)
        except TimeoutError as exc:
            raise errors.DeadlineExceeded(
                f"no whole answer in {left} ms", run.verdict
            ) from exc

    async def _attempts(self, run, sink):
        while not run.sequence.finished:
            plan = self._plan(run)
            try:
                await self._attempt(run, plan, sink)
            except _Moved:
                _log.info(
                    "moving a stream from an engine that leaves",
                    request=run.work.asked.request_id,
                    endpoint=plan.decode.id,
                    position=run.sequence.delivered,
                )
                run.failed.add(plan.decode.id)
            except errors.ClementinewallError as exc:
                await self._after_failure(run, exc)

    def _plan(self, run):
        """Return where the answer shall come from next."""
        work = run.work
        self._guard.check(work.digest, run.verdict)
        only = self._guard.only_choice(
            crash_guard.Work(work.digest, "engine", work.model, work.prompt),
            run.failed,
            run.verdict,
        )
        if only is not None:
            choice = routing.Choice(only, 0.0, 0.0, 0.0, "suspect work")
            plan = routing.Split("", choice)
            self._say_choice(run, plan)
            return plan
        candidates = self._loads.candidates(
            work.model, work.prompt, run.failed
        )
        if not candidates and run.failed:
            # Every engine failed this request once.  A broken connection
            # says little about the engine behind it, so those that are
            # still up get another turn; the attempts are bounded anyway.
            run.failed.clear()
            candidates = self._loads.candidates(work.model, work.prompt)
        wanted = progress.wanted(work)
        draw = int(work.digest[:6], 16) / 0x1000000
        choice = routing.choose(
            candidates,
            wanted,
            draw,
            self._loads.preferred("engine", work.model, work.prompt),
        )
        if choice is None:
            raise errors.NoEndpoint(
                f"no engine for {work.model!r} is in reach",
                run.verdict,
                retry_after_ms=1_000,
            )
        plan = routing.Split("", choice)
        if wanted.prompt_tokens >= SPLIT_TOKENS:
            move = wanted.prompt_tokens * MOVE_MS_PER_TOKEN
            split = routing.choose_split(candidates, wanted, draw, move)
            if split is not None and split.decode.score < choice.score:
                plan = split
        if run.attempts == 0 and run.work.delivered == 0:
            self._admit(run, plan.decode)
        self._say_choice(run, plan)
        return plan

    def _admit(self, run, choice):
        asked = run.work.asked
        share, callers = self._shares.of(asked.caller)
        demand = admission.Demand(asked.work_class.priority, share, callers)
        verdict = admission.decide(choice, demand, asked.work_class.first_ms)
        if verdict.admit:
            self._shares.add(asked.caller, progress.tokens(run.work))
            return
        _log.info(
            "refused",
            request=asked.request_id,
            work_class=asked.class_name,
            caller=asked.caller,
            why=verdict.reason,
            retry_ms=verdict.retry_after_ms,
        )
        metrics.count("refused", work_class=asked.class_name)
        raise errors.Overloaded(
            verdict.reason, retry_after_ms=verdict.retry_after_ms
        )

    async def _attempt(self, run, plan, sink):
        work = run.work
        run.seen_here = 0
        headers = self._headers(run)
        if plan.prefill_id:
            await self._prefill(run, plan.prefill_id, headers)
        name = run.engine = plan.decode.id
        endpoint = self._endpoint(name)
        url = f"http://{endpoint.address}{work.path}"
        request = self._http.build_request(
            "POST", url, content=run.body(), headers=headers
        )
        tokens = 0 if plan.prefill_id else progress.prompt_tokens(work)
        self._loads.sent(name, tokens)
        try:
            await self._stream(run, name, request, sink)
        except httpx.HTTPError as exc:
            raise attempt.failure(name, exc) from exc
        except TimeoutError as exc:
            raise errors.EndpointFailed(f"{name}: silent too long") from exc
        finally:
            self._loads.ended(name)

    async def _stream(self, run, name, request, sink):
        with anyio.fail_after(clock.seconds(run.silence_ms())):
            answer = await self._http.send(request, stream=True)
        try:
            if attempt.is_refusal(answer):
                raise errors.EndpointFailed(
                    f"{name}: refused", verdicts.Verdict.NOT_RUN
                )
            if answer.status_code != 200:
                await self._fail_status(name, answer)
            self._loads.take_header(name, answer.headers.get(reports.HEADER))
            await self._relay(run, name, answer, sink)
        finally:
            with anyio.CancelScope(shield=True):
                await answer.aclose()

    async def _relay(self, run, name, answer, sink):
        with self._watchdog.watch() as watch:
            await self._relay_watched(run, name, answer, sink, watch)
        if watch.expired == watchdog.CALLER:
            raise errors.CallerTooSlow("the caller reads too slowly")
        if watch.expired == watchdog.ENGINE:
            # An engine that is stuck keeps its connection open and says
            # nothing; unwatched, its streams would end at the deadline.
            raise errors.EndpointFailed(f"{name}: silent too long")

    async def _relay_watched(self, run, name, answer, sink, watch):
        splitter = sse.Splitter()
        started = self._node.clock.now()
        watch.wait_for(watchdog.ENGINE, run.silence_ms())
        async for piece in answer.aiter_raw():
            for event in splitter.feed(piece):
                if run.sequence.accept(event):
                    watch.wait_for(watchdog.CALLER, self._slow_reader_ms)
                    await self._pass_on(run, name, event, sink)
            if run.sequence.finished:
                self._say_done(run, name, started)
                return
            self._check_leaving(run, name)
            watch.wait_for(watchdog.ENGINE, run.silence_ms())
        raise errors.StreamCut(
            f"{name}: ended after position {run.sequence.delivered}"
        )

    async def _pass_on(self, run, name, event, sink):
        if run.seen_here == 0:
            first = self._node.clock.now() - run.started
            if run.first_ms is None:
                run.first_ms = first
            metrics.observe_ms(
                "first_token", first, work_class=run.work.asked.class_name
            )
            self._loads.remember_prefix(name, run.work.prompt)
        run.seen_here += 1
        run.verdict = verdicts.Verdict.RAN
        run.keep(event, self._node.settings.limits.resume_bytes)
        await sink.send(event.raw, name)

    def _say_done(self, run, name, started):
        took = self._node.clock.now() - started
        gap = None
        if run.seen_here > 2:
            gap = took / (run.seen_here - 1)
            run.gap_ms = gap
            metrics.observe_ms(
                "token_gap", gap, work_class=run.work.asked.class_name
            )
        self._loads.worked(name, gap)
        metrics.count("answered", work_class=run.work.asked.class_name)
        _log.info(
            "answered whole",
            request=run.work.asked.request_id,
            endpoint=name,
            position=run.sequence.delivered,
        )

    def _check_leaving(self, run, name):
        endpoint = self._loads.endpoint(name)
        if endpoint is not None and endpoint.state != "withdrawn":
            return
        others = self._loads.usable("engine", run.work.model, {name})
        if others:
            raise _Moved

    async def _fail_status(self, name, answer):
        await answer.aread()
        if 400 <= answer.status_code < 500:
            raise errors.BadRequest(
                f"{name} answered {answer.status_code}: {answer.text[:200]}",
                verdicts.Verdict.RAN,
            )
        raise errors.EndpointFailed(f"{name}: {answer.status_code}")

    async def _prefill(self, run, prefill_id, headers):
        """Have the prompt worked off at another engine, if that works."""
        run.engine = prefill_id
        endpoint = self._endpoint(prefill_id)
        self._loads.sent(prefill_id, progress.prompt_tokens(run.work))
        try:
            request = self._http.build_request(
                "POST",
                f"http://{endpoint.address}/kv/prefill",
                content=run.work.raw,
                headers=headers,
            )
            answer = await attempt.call(
                self._http, prefill_id, request, run.silence_ms()
            )
            handle = answer.json()["handle"]
        except (ValueError, KeyError, TypeError) as exc:
            raise errors.EndpointFailed(
                f"{prefill_id}: no handle in the answer"
            ) from exc
        finally:
            self._loads.ended(prefill_id)
        headers["kv-import"] = f"{endpoint.address}#{handle}"

    def _endpoint(self, name):
        endpoint = self._loads.endpoint(name)
        if endpoint is None:
            raise errors.EndpointFailed(
                f"{name} is gone", verdicts.Verdict.NOT_RUN
            )
        return endpoint

    def _headers(self, run):
        asked = run.work.asked
        headers = {
            "content-type": "application/json",
            "x-request-id": asked.request_id,
            "priority": str(asked.work_class.priority),
        }
        if asked.trace:
            headers["traceparent"] = asked.trace
        if run.sequence.delivered:
            headers["resume-after"] = str(run.sequence.delivered)
        return headers

    async def _after_failure(self, run, exc):
        """Prepare the next attempt, or raise the final answer."""
        name = run.engine
        if isinstance(exc, (errors.NotRunError, errors.CallerTooSlow)):
            raise exc
        run.attempts += 1
        run.failed.add(name)
        run.verdict = verdicts.worst(run.verdict, exc.verdict)
        ran = exc.verdict is not verdicts.Verdict.NOT_RUN
        if ran:
            self._loads.failed(name)
            await self._guard.after_failure(
                run.work.digest,
                run.work.asked.request_id,
                name,
                strong=run.seen_here == 0,
            )
        _log.warning(
            "an engine broke off",
            request=run.work.asked.request_id,
            endpoint=name,
            position=run.sequence.delivered,
            error=exc.message,
        )
        if run.attempts >= ATTEMPTS:
            raise self._given_up(run, exc)
        await anyio.sleep(clock.seconds(BACKOFF_MS) * (run.attempts - 1))
        started = run.sequence.delivered > run.work.delivered
        spends = ran and not started
        budget_of_class = self._budgets[run.work.asked.class_name]
        if spends and not budget_of_class.spend():
            raise self._given_up(run, exc)

    def _given_up(self, run, exc):
        if run.sequence.delivered:
            return errors.StreamCut(exc.message, run.verdict, 1_000)
        return errors.EndpointFailed(exc.message, run.verdict, 1_000)

    def _say_choice(self, run, plan):
        _log.info(
            "chose an engine",
            request=run.work.asked.request_id,
            work_class=run.work.asked.class_name,
            endpoint=plan.decode.id,
            prefill=plan.prefill_id or "-",
            score=f"{plan.decode.score:.2f}",
            first_ms=f"{plan.decode.first_ms:.0f}",
            gap_ms=f"{plan.decode.between_ms:.1f}",
            attempt=run.attempts + 1,
            why=plan.decode.reason,
        )
