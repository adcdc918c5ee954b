"""One run of the lab: arrivals, gateways and engines in virtual time."""

import random
import typing

from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import exchange as exchanges
from clementinewall.http1 import server
from clementinewall.lab import engine as engines
from clementinewall.lab import gateway as gateways
from clementinewall.lab import loop as loops
from clementinewall.lab import policies

SERVICE = "model"
# From the first arrival on; before, gateways only meet each other.
LEAD_MS = 2_000.0
# After the last arrival, for what is still at work.
TAIL_MS = 10_000.0
GAP_GOAL_MS = 150


class Outcome(typing.NamedTuple):
    """What became of a request; ``first_ms`` is ``None`` if unserved."""

    work_class: str
    tokens: int
    at_ms: float
    first_ms: float | None
    predicted_ms: float | None
    refusals: int


class Run(typing.NamedTuple):
    """What came out of a run.

    ``read_ms`` is the time that engines read prompts, ``read_tokens`` what
    they read, ``kept_elsewhere`` how many of these another engine kept.
    """

    outcomes: tuple[Outcome, ...]
    read_ms: float
    read_tokens: int
    kept_elsewhere: int


class Simulation:
    """Plays one load with one policy."""

    def __init__(self, deployment, policy, seed):
        """Set up the gateways and engines; ``seed`` draws all chances."""
        self._deployment = deployment
        self._policy = policy
        self._rng = random.Random(seed)
        self._loop = loops.Loop()
        self._outcomes = []
        self._kept_elsewhere = 0
        row = deployment.engines
        readers = round(row.count * row.reading_part)
        self._engine_by_id = {
            f"e{n:04}": engines.Engine(
                f"e{n:04}", row, n < readers, self._loop
            )
            for n in range(row.count)
        }
        self._configuration = _configuration(deployment)
        endpoint_by_id = {
            name: _endpoint(name, engine.reads, row.slots)
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
            for ip in (f"10.0.0.{n}" for n in range(deployment.gateways.count))
        }
        self._place_by_ip = {
            ip: policies.placer(policy, gateway, seed)
            for ip, gateway in self._gateway_by_ip.items()
        }

    def run(self, arrivals):
        """Play the arrivals; return a :class:`Run`."""
        for gateway in self._gateway_by_ip.values():
            offset = self._rng.uniform(0, LEAD_MS / 2)
            self._loop.after(offset, gateway.start, list(self._gateway_by_ip))
        for arrival in arrivals:
            request = _Request(self, arrival, LEAD_MS + arrival.at_ms)
            self._loop.after(LEAD_MS + arrival.at_ms, request.arrive)
        last = arrivals[-1].at_ms if arrivals else 0.0
        with policies.in_force(self._policy):
            self._loop.run(LEAD_MS + last + TAIL_MS)
        every = self._engine_by_id.values()
        return Run(
            tuple(self._outcomes),
            sum(engine.read_ms for engine in every),
            sum(engine.read_tokens for engine in every),
            self._kept_elsewhere,
        )

    def _deliver(self, ip, tell):
        row = self._deployment.gateways
        if self._rng.random() < row.lost_part:
            return
        delay = row.one_way_ms + gateways.STEP_MS
        self._loop.after(delay, tell, self._gateway_by_ip[ip])

    # What requests use.

    @property
    def loop(self):
        """Return the virtual time."""
        return self._loop

    @property
    def _hop_ms(self):
        return self._deployment.gateways.one_way_ms + gateways.STEP_MS

    @property
    def answer_ms(self):
        """Return what a prompt's reading takes besides the reading."""
        return 2 * self._hop_ms + engines.ANSWER_MS

    def hop(self, function, *arguments):
        """Call a function after the way to an engine or back."""
        self._loop.after(self._hop_ms, function, *arguments)

    def some_gateway(self):
        """Return the gateway that a caller happens to use."""
        return self._rng.choice(list(self._gateway_by_ip.values()))

    def place(self, gateway, exchange):
        """Return the plan for a request.

        :raises Overloaded: it is refused.
        """
        return self._place_by_ip[gateway.ip](exchange, None)

    def engine(self, state):
        """Return the engine behind a gateway's state of it."""
        return self._engine_by_id[state.endpoint.id]

    def work_class(self, name):
        """Return the figures of a class."""
        return self._deployment.classes[name]

    def exchange(self, arrival):
        """Return a request as a gateway holds it."""
        call = _call(arrival)
        row = self.work_class(arrival.work_class)
        route = _route(arrival.work_class, row)
        service = self._configuration.service_by_name[SERVICE]
        return exchanges.Exchange(None, call, route, service, self._loop.read)

    def record_prefill(self, engine, prompt):
        """Count the shared tokens that another engine keeps."""
        total = 0
        for part in prompt.parts[:-1]:
            total += part.tokens
            if total <= engine.cached(prompt):
                continue
            if any(
                other.keeps(part.id)
                for other in self._engine_by_id.values()
                if other is not engine
            ):
                self._kept_elsewhere += part.tokens

    def end(self, outcome):
        """Note what became of a request."""
        self._outcomes.append(outcome)


class _Request:
    """A caller's request on its way."""

    def __init__(self, simulation, arrival, at):
        self._sim = simulation
        self._arrival = arrival
        self._row = simulation.work_class(arrival.work_class)
        self._at = at
        self._refusals = 0

    def arrive(self):
        """Reach some gateway, which places or refuses the request."""
        gateway = self._sim.some_gateway()
        exchange = self._sim.exchange(self._arrival)
        try:
            plan = self._sim.place(gateway, exchange)
        except errors.Overloaded as exc:
            self._refused(exc)
            return
        _Send(self._sim, gateway, plan, self._arrival.prompt, self._first)

    def _refused(self, exc):
        self._refusals += 1
        left = self._at + self._row.deadline_ms - self._sim.loop.now
        if self._refusals > self._row.retries or left <= 0:
            self._end(None, None)
            return
        wait = exc.retry_after_ms
        if wait is None:
            wait = exchanges.RETRY_AFTER_MS
        wait = min(wait, left * exchanges.RETRY_AFTER_FRACTION)
        self._sim.loop.after(wait, self.arrive)

    def _first(self, predicted_ms):
        first_ms = self._sim.loop.now - self._at
        if first_ms > self._row.deadline_ms:
            first_ms = None
        self._end(first_ms, predicted_ms)

    def _end(self, first_ms, predicted_ms):
        prompt = self._arrival.prompt
        self._sim.end(
            Outcome(
                self._arrival.work_class,
                prompt.tokens_in,
                self._arrival.at_ms,
                first_ms,
                predicted_ms,
                self._refusals,
            )
        )


class _Send:
    """A request that was placed, at its engines."""

    def __init__(self, sim, gateway, plan, prompt, on_first):
        self._sim = sim
        self._gateway = gateway
        self._plan = plan
        self._prompt = prompt
        self._on_first = on_first
        self._began = sim.loop.now
        self._decoder = sim.engine(plan.decode_engine)
        state = plan.prefill_engine or plan.decode_engine
        self._job = state.begin_prompt(plan.urgency, plan.option.prompt_ms)
        if plan.prefill_engine is None:
            plan.decode_engine.streams += 1
        gateway.tell()
        sim.hop(self._read)

    def _read(self):
        reader = self._sim.engine(
            self._plan.prefill_engine or self._plan.decode_engine
        )
        if self._plan.source is not None:
            source = self._sim.engine(self._plan.source)
            kept = source.cached(self._prompt) - reader.cached(self._prompt)
            if kept > 0:
                reader.fetch(kept, lambda: self._read_rest(reader, source))
                return
        self._read_rest(reader)

    def _read_rest(self, reader, source=None):
        if source is not None:
            reader.keep_as(source, self._prompt)
        self._sim.record_prefill(reader, self._prompt)
        after = (
            self._run
            if self._plan.prefill_engine is None
            else self._answer_read
        )
        reader.read(self._prompt, self._plan.urgency, after)

    def _answer_read(self):
        self._sim.loop.after(engines.ANSWER_MS, self._sim.hop, self._was_read)

    def _was_read(self):
        self._end_reading(self._plan.prefill_engine)
        if self._plan.measures_prefill_speed:
            self._gateway.endpoints.scales.record(
                SERVICE,
                self._sim.loop.now - self._began - self._sim.answer_ms,
                self._plan.unscaled_prefill_ms,
            )
        self._plan.decode_engine.streams += 1
        self._sim.hop(
            self._decoder.fetch, self._prompt.tokens_in, self._run_fetched
        )

    def _end_reading(self, state):
        state.end_prompt(self._job, True)
        self._gateway.endpoints.record_prefill(state, self._prompt)

    def _run_fetched(self):
        self._decoder.keep(self._prompt)
        self._run()

    def _run(self):
        self._decoder.run(
            self._prompt,
            self._plan.run_urgency,
            self._made_first,
            self._ended,
        )

    def _made_first(self):
        self._sim.hop(self._got_first)

    def _got_first(self):
        if self._plan.prefill_engine is None:
            self._end_reading(self._plan.decode_engine)
        self._on_first(self._plan.option.first_ms)

    def _ended(self):
        self._sim.hop(self._got_end)

    def _got_end(self):
        self._plan.decode_engine.streams -= 1


def _configuration(deployment):
    row = deployment.engines
    limits = domain.EngineLimits(
        row.slots, row.kv_tokens, row.kv_token_bytes, row.link_mbps, 3_000
    )
    service = domain.Service(SERVICE, limits)
    return domain.Configuration(1, {}, {SERVICE: service}, server.Limits())


def _endpoint(name, reads, slots):
    stage = domain.PREFILL if reads else domain.DECODE
    return domain.Endpoint(name, SERVICE, name, "", slots, False, stage, 1)


def _route(name, row):
    return domain.Route(
        name=name,
        host="",
        prefix="/",
        kind=domain.STREAM,
        shares=(domain.Share(SERVICE, 1.0),),
        timeout_ms=row.deadline_ms,
        goal_ms=row.goal_ms,
        gap_goal_ms=GAP_GOAL_MS,
        priority=0,
        max_attempts=1,
        resumable=False,
    )


def _call(arrival):
    return domain.Call(
        attempt="lab",
        method=b"POST",
        target=b"/",
        host="",
        path="/",
        headers=(),
        body=b"",
        wait_ms=None,
        resume_after=None,
        prompt=arrival.prompt,
    )
