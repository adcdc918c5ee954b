"""Gateways that admit more requests than their engines can serve.

The decisions are those of production, in virtual time and without a network:
the placement, the admission control and its messages.  Prefill engines are
simulated by their queues; slots for decoding are never short.
"""

import collections
import heapq
import itertools
import random
import typing

from clementinewall.admission import controller
from clementinewall import clock
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import placing
from clementinewall.policy import engine_time
from clementinewall.policy import placement

REPORT_INTERVAL_MS = 300
CELL_SIZE = 8
# The engine that decodes; it prefills some prompts itself, at half speed.
DECODES = "decode"
SERVICE = domain.Service("model", None)


class Source(typing.NamedTuple):
    """Callers of one customer.

    ``per_second`` is how many requests they send, each of one of ``sizes``
    tokens.  A refused request is sent again ``returns`` times: after the
    advised time, or after ``repeat_ms`` if that is set.
    """

    name: str
    per_second: float
    sizes: tuple[int, ...] = (6_000,)
    priority: int = 0
    returns: int = 2
    repeat_ms: float | None = None
    goal_ms: int = 400
    deadline_ms: int = 4_000


class Outcome(typing.NamedTuple):
    """How one request ended: ``first_ms`` is ``None`` if it was refused."""

    source: Source
    tokens: int
    first_ms: float | None

    @property
    def is_served(self):
        """Tell whether it was answered before its deadline."""
        return self.first_ms is not None

    @property
    def is_in_time(self):
        """Tell whether it was answered within its target."""
        return self.is_served and self.first_ms <= self.source.goal_ms


class _Engine:
    def __init__(self):
        self.queue = []
        self.free_at = 0.0
        self.is_running = False

    def wait_ms(self, now, urgency):
        ahead = sum(cost for u, _, cost, _ in self.queue if u <= urgency)
        return max(0.0, self.free_at - now) + ahead


class Overload:
    """A number of gateways before a number of engines."""

    def __init__(self, sources, gateways=3, engines=4, seed=1, is_on=True):
        """Prepare a run; without ``is_on`` the placement alone decides."""
        self._random = random.Random(seed)
        self._ticker = clock.ManualClock(0)
        self._sources = sources
        self._is_on = is_on
        names = [f"prefill-{number}" for number in range(engines)]
        self._engine_by_name = {name: _Engine() for name in [*names, DECODES]}
        self._events = []
        self._serial = itertools.count()
        self._gateways = [
            controller.Admission(self._ticker.now, self._random.random)
            for _ in range(gateways)
        ]
        self.outcomes = []
        self.reasons = collections.Counter()
        self.largest_report = 0

    def run(self, seconds, warm_up_seconds=5):
        """Run; return the outcomes of all requests after the warm-up."""
        end_ms = 1_000 * (seconds + warm_up_seconds)
        for source in self._sources:
            at = 0.0
            while True:
                at += self._random.expovariate(source.per_second / 1_000)
                if at >= end_ms:
                    break
                tokens = self._random.choice(source.sizes)
                part = domain.PromptPart(f"p{next(self._serial)}", tokens)
                prompt = domain.Prompt("m", tokens, 50, (part,))
                self._after(at, self._send, source, prompt, 0, at)
        self._after(0, self._report)
        while self._events:
            at, _, action, arguments = heapq.heappop(self._events)
            if at > end_ms + 20_000:
                break
            if at > self._ticker.now():
                self._ticker.advance(int(at) - self._ticker.now())
            self._at = at
            action(*arguments)
        return [
            outcome
            for begun, outcome in self.outcomes
            if 1_000 * warm_up_seconds <= begun
        ]

    def _after(self, at, action, *arguments):
        heapq.heappush(
            self._events, (at, next(self._serial), action, arguments)
        )

    def _report(self):
        for number, gateway in enumerate(self._gateways):
            data = gateway.message()
            if data is None:
                continue
            self.largest_report = max(self.largest_report, len(data[1]))
            cell = number // CELL_SIZE
            peers = self._gateways[cell * CELL_SIZE : (cell + 1) * CELL_SIZE]
            for peer in peers:
                if peer is not gateway:
                    message = {controller.MESSAGE_KEY: data}
                    peer.take(message, f"gateway-{number}")
        if self._events:
            self._after(self._at + REPORT_INTERVAL_MS, self._report)

    def _exchange(self, source, prompt):
        call = domain.Call(
            "a", b"POST", b"/", "", "/", (), b"", None, None, prompt
        )._replace(customer=domain.Customer(source.name, source.priority))
        route = domain.Route(
            name="chat",
            host="",
            prefix="/",
            kind=domain.STREAM,
            shares=(domain.Share("model", 1.0),),
            timeout_ms=source.deadline_ms,
            goal_ms=source.goal_ms,
            gap_goal_ms=150,
            priority=0,
            max_attempts=1,
            resumable=False,
        )
        return exchanges.Exchange(None, call, route, SERVICE, self._ticker.now)

    def _options(self, exchange, urgency=None):
        prompt = exchange.call.prompt
        goal_ms = exchange.route.goal_ms
        demand = placement.Demand(prompt.tokens_in, goal_ms, goal_ms)
        if urgency is None:
            level = controller.priority(exchange) if self._is_on else 0
            urgency = placement.prefill_urgency(demand, 0, level)
        known = [
            placement.Engine(
                name,
                name != DECODES,
                engine.wait_ms(self._at, urgency),
                0,
                1_000_000,
                0,
            )
            for name, engine in self._engine_by_name.items()
        ]
        chosen = placement.choose(known, demand)
        return placing.Options(demand, {}, known, chosen, urgency, True)

    def _send(self, source, prompt, attempt, begun):
        exchange = self._exchange(source, prompt)
        options = self._options(exchange)
        gateway = self._random.choice(self._gateways)
        try:
            if self._is_on:
                options = gateway.admit(
                    exchange,
                    options,
                    lambda: self._options(exchange, placement.URGENCY_LATE),
                )
            elif isinstance(options.chosen, placement.Refusal):
                raise errors.Overloaded(
                    "late",
                    retry_after_ms=exchanges.spread_retry_ms(
                        options.chosen.retry_ms
                    ),
                )
        except errors.Overloaded as exc:
            if attempt >= source.returns:
                self._end(source, prompt, None, begun)
                return
            wait_ms = min(
                exc.retry_after_ms,
                source.deadline_ms * exchanges.RETRY_AFTER_FRACTION,
            )
            if source.repeat_ms is not None:
                wait_ms = source.repeat_ms
            self._after(
                self._at + wait_ms,
                self._send,
                source,
                prompt,
                attempt + 1,
                begun,
            )
            return
        name = options.chosen.prefill or options.chosen.decode
        engine = self._engine_by_name[name]
        cost = options.chosen.prompt_ms
        done = (source, prompt, self._at, begun)
        heapq.heappush(
            engine.queue, (options.urgency, next(self._serial), cost, done)
        )
        if not engine.is_running:
            self._run_next(engine)

    def _run_next(self, engine):
        engine.is_running = bool(engine.queue)
        if not engine.queue:
            return
        _, _, cost, done = heapq.heappop(engine.queue)
        engine.free_at = self._at + cost
        self._after(engine.free_at, self._finish, engine, done)

    def _finish(self, engine, done):
        source, prompt, sent_at, begun = done
        own_ms = 2 * (engine_time.HOP_MS + engine_time.FIRST_EVENT_MS)
        took = self._at - sent_at + own_ms
        is_served = took <= source.deadline_ms
        self._end(source, prompt, took if is_served else None, begun)
        self._run_next(engine)

    def _end(self, source, prompt, first_ms, begun):
        outcome = Outcome(source, prompt.tokens_in, first_ms)
        self.outcomes.append((begun, outcome))


def served(outcomes):
    """Return the fraction of requests that were served."""
    outcomes = list(outcomes)
    return sum(o.is_served for o in outcomes) / max(1, len(outcomes))


def value(outcomes):
    """Return what the answers are worth: a late one a third of one in time."""
    outcomes = list(outcomes)
    points = sum(1.0 if o.is_in_time else o.is_served / 3 for o in outcomes)
    return points / max(1, len(outcomes))


def served_by_name(outcomes):
    """Return the fraction of requests that were served, by customer."""
    found = collections.defaultdict(list)
    for outcome in outcomes:
        found[outcome.source.name].append(outcome)
    return {name: served(each) for name, each in found.items()}
