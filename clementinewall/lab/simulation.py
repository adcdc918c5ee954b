"""Simulates one run: arrivals, gateways and engines in virtual time."""

import random
import typing

from clementinewall import errors
from clementinewall.gateway import exchange as exchanges
from clementinewall.lab import engine as engines
from clementinewall.lab import gateway as gateways
from clementinewall.lab import loop as loops
from clementinewall.lab import pace as paces
from clementinewall.lab import policies
from clementinewall.lab import records

# Time before the first arrival, in which gateways exchange their state.
STARTUP_MS = 2_000.0
# Time after the last arrival, in which open requests complete.
COMPLETION_MS = 10_000.0
# How often it is checked whether all requests have completed.
CHECK_INTERVAL_MS = 500.0


class Outcome(typing.NamedTuple):
    """The outcome of a request; ``first_ms`` is ``None`` if unserved.

    ``first_ms`` is the time from its arrival to its first event.
    """

    work_class: str
    tokens: int
    at_ms: float
    first_ms: float | None
    predicted_ms: float | None
    refusals: int


class Run(typing.NamedTuple):
    """The raw result of a run.

    ``total_prefill_ms`` is the prefill time of all engines,
    ``prefilled_tokens`` the tokens that they prefilled, and
    ``cached_elsewhere_tokens`` how many of these another engine had cached.
    """

    outcomes: tuple[Outcome, ...]
    total_prefill_ms: float
    prefilled_tokens: int
    cached_elsewhere_tokens: int


class Simulation:
    """Simulates one load under one policy."""

    def __init__(self, deployment, policy, seed):
        """Set up the gateways and engines; ``seed`` drives all randomness."""
        self._deployment = deployment
        self._policy = policy
        self._rng = random.Random(seed)
        self._loop = loops.Loop()
        self._outcomes = []
        self._cached_elsewhere_tokens = 0
        row = deployment.engines
        prefill_count = round(row.count * row.reading_part)
        self._engine_by_id = {}
        for n in range(row.count):
            name = f"e{n:04}"
            pace = paces.EnginePace(
                row.pace,
                row.relative_times[n % len(row.relative_times)],
                random.Random(f"{seed}{name}"),
                self._loop,
            )
            self._engine_by_id[name] = engines.Engine(
                name, row, n < prefill_count, self._loop, pace
            )
        self._configuration = records.configuration(deployment)
        endpoint_by_id = {
            name: records.endpoint(name, engine.is_prefill, row.slots)
            for name, engine in self._engine_by_id.items()
        }
        self._gateway_by_ip = {
            ip: gateways.Gateway(
                ip,
                self._configuration,
                endpoint_by_id,
                self._deliver,
                self._loop,
            )
            for ip in records.addresses(deployment.gateways.count)
        }
        self._place_by_ip = {
            ip: policies.placer(policy, gateway, seed)
            for ip, gateway in self._gateway_by_ip.items()
        }

    def run(self, arrivals):
        """Simulate the arrivals; return a :class:`Run`."""
        for gateway in self._gateway_by_ip.values():
            offset = self._rng.uniform(0, STARTUP_MS / 2)
            self._loop.after(offset, gateway.start, list(self._gateway_by_ip))
        for arrival in arrivals:
            request = _Request(self, arrival, STARTUP_MS + arrival.at_ms)
            self._loop.after(STARTUP_MS + arrival.at_ms, request.arrive)
        last = arrivals[-1].at_ms if arrivals else 0.0
        with policies.overridden_constants(self._policy):
            self._run_until(STARTUP_MS + last + COMPLETION_MS, len(arrivals))
        every = self._engine_by_id.values()
        return Run(
            tuple(self._outcomes),
            sum(engine.total_prefill_ms for engine in every),
            sum(engine.prefilled_tokens for engine in every),
            self._cached_elsewhere_tokens,
        )

    def _run_until(self, until_ms, requests):
        """Run until then, or until each request has its outcome."""
        at = 0.0
        while at < until_ms and len(self._outcomes) < requests:
            at = min(until_ms, at + CHECK_INTERVAL_MS)
            self._loop.run(at)

    def _deliver(self, ip, receive):
        row = self._deployment.gateways
        if self._rng.random() < row.lost_part:
            return
        delay = row.one_way_ms + gateways.PROCESSING_MS
        self._loop.after(delay, receive, self._gateway_by_ip[ip])

    # Used by requests.

    @property
    def loop(self):
        """Return the event loop."""
        return self._loop

    @property
    def _hop_ms(self):
        return self._deployment.gateways.one_way_ms + gateways.PROCESSING_MS

    @property
    def prefill_overhead_ms(self):
        """Return the duration of a prefill request besides the prefill."""
        return 2 * self._hop_ms + engines.PREFILL_ANSWER_MS

    def hop(self, function, *arguments):
        """Call a function after the delay between gateway and engine."""
        self._loop.after(self._hop_ms, function, *arguments)

    def random_gateway(self):
        """Return a random gateway, as callers choose theirs."""
        return self._rng.choice(list(self._gateway_by_ip.values()))

    def place(self, gateway, exchange):
        """Return the plan for a request.

        :raises Overloaded: the policy refuses the request.
        """
        return self._place_by_ip[gateway.ip](exchange, None)

    def engine(self, state):
        """Return the engine behind a gateway's state of it."""
        return self._engine_by_id[state.endpoint.id]

    def work_class(self, name):
        """Return the :class:`deployment.RequestClass` of a name."""
        return self._deployment.classes[name]

    def exchange(self, arrival):
        """Return the gateway's representation of a request."""
        call = records.call(arrival)
        row = self.work_class(arrival.work_class)
        route = records.route(arrival.work_class, row)
        service = self._configuration.service_by_name[records.SERVICE]
        return exchanges.Exchange(
            None, call, route, service, self._loop.time_ms
        )

    def record_prefill(self, engine, prompt):
        """Count the tokens to prefill that another engine has cached."""
        total = 0
        for part in prompt.parts[:-1]:
            total += part.tokens
            if total <= engine.cached_prefix_tokens(prompt):
                continue
            if any(
                other.has_cached(part.id)
                for other in self._engine_by_id.values()
                if other is not engine
            ):
                self._cached_elsewhere_tokens += part.tokens

    def record_outcome(self, outcome):
        """Record the outcome of a request."""
        self._outcomes.append(outcome)


class _Request:
    """A caller's request, with its retries after refusals."""

    def __init__(self, simulation, arrival, at):
        self._simulation = simulation
        self._arrival = arrival
        self._row = simulation.work_class(arrival.work_class)
        self._at = at
        self._refusals = 0

    def arrive(self):
        """Arrive at a random gateway, which places or refuses the request."""
        gateway = self._simulation.random_gateway()
        exchange = self._simulation.exchange(self._arrival)
        try:
            plan = self._simulation.place(gateway, exchange)
        except errors.Overloaded as exc:
            self._refused(exc)
            return
        _PlacedRequest(
            self._simulation,
            gateway,
            plan,
            self._arrival.prompt,
            self._record_first_event,
        )

    def _refused(self, exc):
        self._refusals += 1
        remaining_ms = (
            self._at + self._row.deadline_ms - self._simulation.loop.now
        )
        if self._refusals > self._row.retries or remaining_ms <= 0:
            self._record_outcome(None, None)
            return
        wait = exc.retry_after_ms
        if wait is None:
            wait = exchanges.RETRY_AFTER_MS
        wait = min(wait, remaining_ms * exchanges.RETRY_AFTER_FRACTION)
        self._simulation.loop.after(wait, self.arrive)

    def _record_first_event(self, predicted_ms):
        first_ms = self._simulation.loop.now - self._at
        if first_ms > self._row.deadline_ms:
            first_ms = None
        self._record_outcome(first_ms, predicted_ms)

    def _record_outcome(self, first_ms, predicted_ms):
        prompt = self._arrival.prompt
        self._simulation.record_outcome(
            Outcome(
                self._arrival.work_class,
                prompt.tokens_in,
                self._arrival.at_ms,
                first_ms,
                predicted_ms,
                self._refusals,
            )
        )


class _PlacedRequest:
    """A placed request: prefill, cache transfer and decode."""

    def __init__(self, simulation, gateway, plan, prompt, on_first):
        self._simulation = simulation
        self._gateway = gateway
        self._plan = plan
        self._prompt = prompt
        self._on_first = on_first
        self._started_at = simulation.loop.now
        self._decode_engine = simulation.engine(plan.decode_engine)
        state = plan.prefill_engine or plan.decode_engine
        self._job = state.begin_prompt(plan.urgency, plan.option.cost_ms)
        self._run_at = self._started_at
        if plan.prefill_engine is None:
            plan.decode_engine.streams += 1
        gateway.notify()
        simulation.hop(self._start_prefill)

    def _start_prefill(self):
        prefill_engine = self._simulation.engine(
            self._plan.prefill_engine or self._plan.decode_engine
        )
        if self._plan.source is not None:
            source = self._simulation.engine(self._plan.source)
            missing_tokens = source.cached_prefix_tokens(
                self._prompt
            ) - prefill_engine.cached_prefix_tokens(self._prompt)
            if missing_tokens > 0:
                prefill_engine.fetch(
                    missing_tokens,
                    lambda: self._prefill(prefill_engine, source),
                )
                return
        self._prefill(prefill_engine)

    def _prefill(self, prefill_engine, source=None):
        if source is not None:
            prefill_engine.copy_prefix(source, self._prompt)
        self._simulation.record_prefill(prefill_engine, self._prompt)
        after = (
            self._decode
            if self._plan.prefill_engine is None
            else self._answer_prefill
        )
        prefill_engine.prefill(self._prompt, self._plan.urgency, after)

    def _answer_prefill(self):
        self._simulation.loop.after(
            engines.PREFILL_ANSWER_MS,
            self._send_prefill_answer,
        )

    def _send_prefill_answer(self):
        engine = self._simulation.engine(self._plan.prefill_engine)
        self._simulation.hop(self._start_transfer, engine.load())

    def _start_transfer(self, load):
        self._record_load(self._plan.prefill_engine, load)
        self._record_prefill_end(self._plan.prefill_engine)
        took_ms = self._simulation.loop.now - self._started_at
        self._gateway.endpoints.speeds.record_prefill(
            self._plan, took_ms, engines.PREFILL_ANSWER_MS
        )
        self._run_at = self._simulation.loop.now
        if self._plan.measures_prefill_speed:
            self._gateway.endpoints.scales.record(
                records.SERVICE,
                self._simulation.loop.now
                - self._started_at
                - self._simulation.prefill_overhead_ms,
                self._plan.unscaled_prefill_ms,
            )
        self._plan.decode_engine.streams += 1
        self._simulation.hop(
            self._decode_engine.fetch,
            self._prompt.tokens_in,
            self._cache_and_decode,
        )

    def _record_load(self, state, load):
        if load is not None and self._gateway.reads_pace:
            state.load = load
            state.load_at = self._simulation.loop.now

    def _record_prefill_end(self, state):
        state.end_prompt(self._job, True)
        self._gateway.endpoints.record_prefill(state, self._prompt)

    def _cache_and_decode(self):
        self._decode_engine.cache_prompt(self._prompt)
        self._decode()

    def _decode(self):
        self._decode_engine.decode(
            self._prompt,
            self._plan.run_urgency,
            self._send_first_event,
            self._send_end,
        )

    def _send_first_event(self):
        load = self._decode_engine.load()
        self._simulation.hop(self._receive_first_event, load)

    def _receive_first_event(self, load):
        self._record_load(self._plan.decode_engine, load)
        self._gateway.endpoints.speeds.record_first_event(
            self._plan, self._simulation.loop.now - self._run_at
        )
        if self._plan.prefill_engine is None:
            self._record_prefill_end(self._plan.decode_engine)
        self._on_first(self._plan.option.first_ms)

    def _send_end(self):
        self._simulation.hop(self._receive_end)

    def _receive_end(self):
        self._plan.decode_engine.streams -= 1
