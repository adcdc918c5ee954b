"""Replays a trace through the pure policy against fake engines.

Virtual time, one event after another, all randomness from the seed: the same
replay gives the same figures on every machine.  The decisions are those of
``clementinewall.policy`` as the programs use them; reports reach each entry
once a second and late, as they do in the programs.
"""

import collections
import heapq
import itertools
import random
import typing

from bench import engines
from bench import role_changes

from clementinewall.entry import shares
from clementinewall.membership import members
from clementinewall.policy import admission
from clementinewall.policy import load_tracking
from clementinewall.policy import routing
from clementinewall.records import configuration

ENTRIES = 8
POLL_INTERVAL_MS = 1_000.0
REPORT_LAG_MS = 150.0
DISTANCE_MS = 1.0
SPLIT_TOKENS = 512
MOVE_MS_PER_TOKEN = 0.005
CLASSES = {
    "summary": configuration.WorkClass(
        "model", first_ms=2_500, deadline_ms=60_000, gap_ms=33, priority=7
    ),
    "reply": configuration.WorkClass(
        "model", first_ms=1_100, deadline_ms=60_000, gap_ms=33, priority=7
    ),
}


class Result(typing.NamedTuple):
    """The figures of a replay."""

    offered: int
    good: int
    good_by_class: dict[str, int]
    offered_by_class: dict[str, int]
    refused: int
    role_changes: int
    lost_engine_ms: float
    cache_hits: int
    firsts: tuple[float, ...]
    gaps: tuple[float, ...]
    good_others: float

    @property
    def goodput(self):
        """The fraction of the offered requests answered within target."""
        return self.good / max(1, self.offered)


class _Clock:
    def __init__(self):
        self.now = 0.0


class Replay:
    """One replay of one plan by one strategy."""

    def __init__(self, plan, count, strategy, policy, seed=0):
        """Prepare ``count`` engines in the strategy's roles."""
        self.plan = plan
        self.strategy = strategy
        self.rng = random.Random(seed)
        self.clock = _Clock()
        self.engines = {}
        for index in range(count):
            slow = 1.0
            if plan.slow is not None and plan.slow[0] == index:
                slow = plan.slow[1]
            engine = engines.FakeEngine(f"e{index}", slow=slow)
            if strategy.roles:
                engine.role = strategy.roles[index]
            self.engines[engine.name] = engine
        self.drained = set()
        self.trackers = [
            {name: load_tracking.Tracker() for name in self.engines}
            for _ in range(ENTRIES)
        ]
        self.hints = [{} for _ in range(ENTRIES)]
        self.shares = [
            shares.Shares(lambda: int(self.clock.now)) for _ in range(ENTRIES)
        ]
        self._roles = role_changes.RoleChanges(
            self.clock, self.engines, policy, strategy
        )
        self._events = []
        self._serial = itertools.count()
        self._ended = []
        self._counts = collections.Counter()
        self._version = collections.Counter()

    def run(self):
        """Replay the whole trace and return the result."""
        for request in self.plan.requests:
            self._at(request.at, self._arrive, request)
        for entry in range(ENTRIES):
            offset = POLL_INTERVAL_MS * entry / ENTRIES
            self._at(offset, self._poll, entry)
        self._at(role_changes.PLAN_INTERVAL_MS, self._plan_roles)
        if self.plan.drained is not None:
            index, begin, end = self.plan.drained
            self._at(begin, self.drained.add, f"e{index}")
            self._at(end, self.drained.discard, f"e{index}")
        limit = self.plan.length + 60_000.0
        while self._events:
            at, _, handle, arguments = heapq.heappop(self._events)
            if at > limit:
                break
            self.clock.now = at
            handle(*arguments)
        return self._result()

    def _at(self, when, handle, *arguments):
        event = (when, next(self._serial), handle, arguments)
        heapq.heappush(self._events, event)

    # Reports.

    def _poll(self, entry):
        now = self.clock.now
        silent = self.plan.silent
        if silent is None or not silent[0] <= now < silent[1]:
            for name, engine in self.engines.items():
                engine.advance(now)
                self._at(
                    now + REPORT_LAG_MS,
                    self._apply_report,
                    entry,
                    name,
                    engine.report(),
                )
        if now < self.plan.length:
            self._at(now + POLL_INTERVAL_MS, self._poll, entry)

    def _apply_report(self, entry, name, report):
        self.trackers[entry][name].apply_report(report, int(self.clock.now))

    # Requests.

    def _arrive(self, request):
        self._counts["offered"] += 1
        self._counts["offered", request.work_class] += 1
        entry = next(self._serial) % ENTRIES
        plan = self._choose(entry, request)
        if plan is None:
            self._counts["refused"] += 1
            self._roles.window["offered"] += 1
            return
        now = self.clock.now
        target = self.engines[plan.prefill_id or plan.decode.id]
        if request.prefix in target.cache:
            self._counts["hits"] += 1
        done = target.prefill(
            now, request.prompt, request.prefix, request.prefix_tokens
        )
        self.trackers[entry][target.name].sent(request.prompt)
        if plan.prefill_id:
            self.trackers[entry][plan.decode.id].sent(0)
        if request.prefix is not None:
            self.hints[entry][request.prefix] = target.name
        self._reschedule(target)
        self._at(
            done, self._prefilled, entry, request, target.name, plan.decode.id
        )

    def _prefilled(self, entry, request, prefill_name, decode_name):
        now = self.clock.now
        self.engines[prefill_name].complete_prefill(now)
        self._reschedule(self.engines[prefill_name])
        if prefill_name != decode_name:
            self.trackers[entry][prefill_name].ended()
            move = request.prompt * MOVE_MS_PER_TOKEN
            self._at(now + move, self._decode, entry, request, decode_name)
        else:
            self._decode(entry, request, decode_name)

    def _decode(self, entry, request, name):
        engine = self.engines[name]
        first = self.clock.now
        engine.decode(first, request.output, (entry, request, first))
        self._reschedule(engine)

    def _reschedule(self, engine):
        self._version[engine.name] += 1
        end = engine.next_end()
        if end is not None:
            version = self._version[engine.name]
            self._at(end, self._stream_end, engine.name, version)

    def _stream_end(self, name, version):
        if version != self._version[name]:
            return
        engine = self.engines[name]
        engine.advance(self.clock.now)
        for entry, request, first in engine.pop_ended():
            gap = (self.clock.now - first) / request.output
            self.trackers[entry][name].ended()
            self.trackers[entry][name].record_answer(gap)
            first_ms = first + gap - request.at
            self._ended.append((request, first_ms, gap))
            self._roles.window["offered"] += 1
            self._roles.window["good"] += _is_good(request, first_ms, gap)
        self._reschedule(engine)

    def _choose(self, entry, request):
        unavailable = {
            name
            for name, engine in self.engines.items()
            if name in self.drained
            or engine.is_quiesced
            or engine.unavailable_until > self.clock.now
        }
        names = [name for name in self.engines if name not in unavailable]
        if not names:
            return None
        if self.strategy.router == "random":
            return _plain(self.rng.choice(names))
        if self.strategy.router == "least":
            trackers = self.trackers[entry]
            return _plain(min(names, key=lambda n: trackers[n].open))
        return self._choose_by_policy(entry, request, names)

    def _choose_by_policy(self, entry, request, names):
        row = CLASSES[request.work_class]
        work = routing.Work(request.prompt, row.first_ms, row.gap_ms)
        preferred = ()
        if self.strategy.affinity:
            key = request.prefix or f"{request.at}"
            preferred = tuple(members.rendezvous(key, list(self.engines))[:2])
        candidates = [self._candidate(entry, n, request) for n in names]
        draw = self.rng.random()
        choice = routing.choose(candidates, work, draw, preferred)
        plan = routing.Split("", choice)
        if request.prompt >= SPLIT_TOKENS:
            move = request.prompt * MOVE_MS_PER_TOKEN
            split = routing.choose_split(candidates, work, draw, move)
            if split is not None and split.decode.score < choice.score:
                plan = split
        if self.strategy.admits:
            share, callers = self.shares[entry].share(request.caller)
            demand = admission.Demand(row.priority, share, callers)
            if not admission.decide(plan.decode, demand, row.first_ms).admit:
                return None
            tokens = request.prompt + request.output
            self.shares[entry].add(request.caller, tokens)
        return plan

    def _candidate(self, entry, name, request):
        cached = 0
        if request.prefix and self.hints[entry].get(request.prefix) == name:
            cached = request.prefix_tokens
        return self.trackers[entry][name].candidate(
            name, int(self.clock.now), DISTANCE_MS, cached
        )

    def _plan_roles(self):
        now = self.clock.now
        if now < self.plan.length:
            self._at(now + role_changes.PLAN_INTERVAL_MS, self._plan_roles)
        self._roles.plan(self.drained)

    def _result(self):
        good = collections.Counter()
        others = 0
        for request, first, gap in self._ended:
            if _is_good(request, first, gap):
                good[request.work_class] += 1
                others += request.caller != "flooder"
        offered_others = sum(r.caller != "flooder" for r in self.plan.requests)
        return Result(
            offered=self._counts["offered"],
            good=sum(good.values()),
            good_by_class=dict(good),
            offered_by_class={
                name: self._counts["offered", name] for name in CLASSES
            },
            refused=self._counts["refused"],
            role_changes=self._roles.changes,
            lost_engine_ms=self._roles.lost_ms,
            cache_hits=self._counts["hits"],
            firsts=tuple(first for _, first, _ in self._ended),
            gaps=tuple(gap for _, _, gap in self._ended),
            good_others=others / max(1, offered_others),
        )


def _is_good(request, first_ms, gap_ms):
    row = CLASSES[request.work_class]
    return first_ms <= row.first_ms and gap_ms <= row.gap_ms


def _plain(name):
    return routing.Split("", routing.Choice(name, 0.0, 0.0, 0.0, "plain"))
