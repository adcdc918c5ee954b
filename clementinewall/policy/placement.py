"""Where a request for a model goes, or that it is refused; pure functions.

Designed for more work than a fixed set of engines can do in time, with a mix
that changes every few seconds.  A prompt can be prefilled by a prefill engine,
from which a decode engine then fetches the KV cache, or by the decode engine
itself, at half speed.  For each placement option the time to the first event
is predicted from the work that all gateways have at the engines.  The option
with the lowest cost wins: its predicted time plus its weighted engine time.  A
request that would miss its target with every option is refused at once, so
that those that are served are served in time.
"""

import math
import typing

from clementinewall.policy import engine_time
from clementinewall.policy import option_draw
from clementinewall.policy import prefix_fetch

# Fraction of the time to the target that a prediction may use.  Work that
# other gateways have just sent isn't known yet.
TARGET_FRACTION = 0.85
# A prompt whose prefill alone takes longer than the target is still accepted
# while its queueing delay is below this fraction of the target; otherwise the
# largest requests would never be served.
LARGE_PROMPT_WAIT_FRACTION = 0.5
# A prompt whose prefill takes less than this fraction of its target delays
# others so little that it is accepted even if late, up to this many targets:
# a late answer is worth a third of one in time, a refusal nothing.
SHORT_PROMPT_FRACTION = 0.1
SHORT_PROMPT_MAX_TARGETS = 3.0
# From this fraction of the target on, a request's own time leaves so little
# slack that it goes before others at the engine.
TIGHT_FRACTION = 0.5
URGENCY_SHORT = 0
URGENCY_TIGHT = 1
URGENCY_NORMAL = 2
# Of answers that would be late anyway: behind all others at an engine.
URGENCY_LATE = 9
# All priorities but the highest are put this much behind it.  With more
# levels, each fills the time to its target by itself, and the engines do
# nothing for the lowest.
URGENCY_OF_LOWER_PRIORITIES = 1
# Cost of a millisecond of engine time, relative to one of the caller's time.
# It keeps prompts at engines that have their prefix in the cache.
WORK_WEIGHT = 3.0
# From this slowness factor on an engine counts as failed.
FAILED_SLOWNESS = 5.0
# Cost of a full batch at a decode engine, against the time for which prefills
# block a new stream there: its steps take longer than those of an idle engine.
FULL_BATCH_MS = 80.0
# A decode engine gets no more streams once this fraction of slots is taken.
MAX_SLOT_FRACTION = 0.95
# The last slots are reserved for short answers, which soon free them again.
LONG_ANSWER_MAX_SLOT_FRACTION = 0.88
LONG_ANSWER_TOKENS = 100
# With this few slots free, all streams sent to a decode engine get the same
# urgency.  An engine without a free slot preempts a running stream for a more
# urgent one and later prefills its prompt again; its caller sees a pause.
FEW_FREE_SLOTS = 6
# Time at a decode engine of usual speed that is compared beside its load: the
# first event, and a share of the steps after it.
TARGET_STEP_MS = 40.0
MIN_RETRY_MS = 50
# Engines that crash or change their stage are unavailable for seconds.
NO_DECODE_RETRY_MS = 1_000
# Fetching delays no engine but uses bandwidth.
FETCH_WEIGHT = 1.0


class Engine(typing.NamedTuple):
    """An engine as one gateway knows it, with the work of all gateways.

    ``wait_ms`` is the prefill time queued ahead of the request at its urgency,
    ``cached`` how many leading tokens of the prompt are in its cache.
    ``slowness`` is the ratio of observed to predicted time.  An engine gets
    nothing for the ``rest_ms`` for which it has asked for no requests, and
    without ``has_room``: requests beyond its memory would crash it.
    ``relative_time`` is how long its work takes against that of its service,
    ``pace`` how long it takes now against its usual time; ``wait_ms`` has
    both.
    """

    id: str
    prefill: bool
    wait_ms: float
    streams: int
    slots: int
    cached: int
    slowness: float = 1.0
    unreachable: bool = False
    rest_ms: float = 0.0
    has_room: bool = True
    relative_time: float = 1.0
    pace: float = 1.0

    @property
    def time_factor(self):
        """Return how long work takes there now, against the prediction."""
        return self.slowness * self.speed_factor

    @property
    def speed_factor(self):
        """Return the part of it that the engine's speed accounts for."""
        return self.relative_time * self.pace


class Demand(typing.NamedTuple):
    """What a request needs, and the time left to its first-event target.

    ``tokens_out`` is how many tokens its answer has at the most, ``send_ms``
    how long its body takes on the gateway's link each time it is sent.
    ``is_probe`` lets it try an unreachable engine, ``prefill_scale`` is the
    ratio of actual prefill times to those of :mod:`engine_time`.
    """

    tokens: int
    left_ms: float
    goal_ms: float
    token_bytes: int = 0
    link_mbps: float = 0.0
    tokens_out: int = 0
    send_ms: float = 0.0
    is_probe: bool = False
    prefill_scale: float = 1.0


class Option(typing.NamedTuple):
    """A placement option; ``prefill`` is ``None`` without a split.

    ``fetch`` is the engine from whose cache the prefilling engine first
    fetches the prompt prefix; ``cached`` tokens then need no prefill.
    ``prompt_ms`` is the prefill time at an engine of usual speed, from which
    that of the prefilling engine follows with ``relative_time`` and ``pace``.
    ``decode_wait_ms`` is how long the decode engine still prefills others.
    """

    prefill: str | None
    decode: str
    first_ms: float
    wait_ms: float
    prompt_ms: float
    cached: int
    fetch: str | None = None
    fetch_ms: float = 0.0
    relative_time: float = 1.0
    pace: float = 1.0
    decode_wait_ms: float = 0.0
    transfer_ms: float = 0.0

    @property
    def cost_ms(self):
        """Return the prefill time at the engine's usual pace."""
        return self.prompt_ms * self.relative_time

    @property
    def prefill_ms(self):
        """Return the prefill time at the engine's momentary pace."""
        return self.cost_ms * self.pace


class Refusal(typing.NamedTuple):
    """Why a request cannot be served in time, and when to retry.

    ``all_rest`` tells that no engine decodes before ``retry_ms``, since all
    of them asked for rest.
    """

    why: str
    retry_ms: int
    best: Option | None
    all_rest: bool = False


class CacheHolder(typing.NamedTuple):
    """An engine with ``cached`` leading tokens of the prompt in its cache."""

    id: str
    cached: int


def choose(engines, demand, holder=None, draw=None):
    """Return the best :class:`Option`, or a :class:`Refusal`.

    ``holder`` is a :class:`CacheHolder` that is none of ``engines``.  With
    ``draw``, a function like :func:`random.choices`, one of the options that
    are nearly as good is drawn: engines that report their pace attract many
    gateways at once, and these must not all choose the same one.
    """
    rests = [e.rest_ms for e in engines if e.rest_ms and not e.prefill]
    engines = [engine for engine in engines if not engine.rest_ms]
    decode_engines = [engine for engine in engines if not engine.prefill]
    if rests and not decode_engines:
        retry_ms = max(MIN_RETRY_MS, math.ceil(min(rests)))
        return Refusal("all engines that decode rest", retry_ms, None, True)
    if all(engine.unreachable for engine in decode_engines):
        if not decode_engines or not demand.is_probe:
            return Refusal("no engine decodes", NO_DECODE_RETRY_MS, None)
        # Prefills by other engines would be wasted: it may not answer.
        engines = decode_engines
    options = list(_options(engines, demand, holder, draw))
    if not options:
        why = "no engine takes work"
        if not any(engine.has_room for engine in decode_engines):
            why = "no engine has memory for it"
        return Refusal(why, MIN_RETRY_MS, None)
    best = min(options, key=_price)
    if _is_in_time(best, demand):
        if draw is None:
            return best
        in_time = [each for each in options if _is_in_time(each, demand)]
        return option_draw.drawn(in_time, _cost, draw)
    fastest = min(options, key=lambda option: (option.first_ms, option.decode))
    if _is_in_time(fastest, demand):
        return fastest
    late_by = fastest.first_ms - demand.left_ms * TARGET_FRACTION
    return Refusal(
        "too late on each way", max(MIN_RETRY_MS, int(late_by)), fastest
    )


def _price(option):
    return _cost(option), option.decode


def _cost(option):
    # The time at an engine of usual speed: a slow one could do less else with
    # its time.
    work = WORK_WEIGHT * option.prompt_ms + FETCH_WEIGHT * option.fetch_ms
    return option.first_ms + work


def _is_in_time(option, demand):
    if option.first_ms <= demand.left_ms * TARGET_FRACTION:
        return True
    if option.prompt_ms <= demand.goal_ms * SHORT_PROMPT_FRACTION:
        return option.first_ms <= demand.goal_ms * SHORT_PROMPT_MAX_TARGETS
    own_time_ms = option.first_ms - option.wait_ms
    is_large = own_time_ms > demand.goal_ms * TARGET_FRACTION
    return (
        is_large
        and option.wait_ms <= demand.goal_ms * LARGE_PROMPT_WAIT_FRACTION
    )


def prefill_urgency(demand, cached, priority=0):
    """Return the urgency of a prompt in an engine's queue, 0 first.

    ``priority`` is that of its route or customer, 0 the highest.

    Engines prefill urgent prompts first.  Short ones hardly delay others, so
    they go first.  Of the rest, a prompt that needs most of its target would
    be late behind any other, while a normal one can wait for it.
    """
    level = URGENCY_OF_LOWER_PRIORITIES if priority > 0 else 0
    prompt_ms = _prompt_ms(demand, cached)
    if prompt_ms <= demand.goal_ms * SHORT_PROMPT_FRACTION:
        return level + URGENCY_SHORT
    own_time_ms = prompt_ms + 2 * (
        engine_time.HOP_MS + engine_time.FIRST_EVENT_MS
    )
    if own_time_ms >= demand.goal_ms * TIGHT_FRACTION:
        return level + URGENCY_TIGHT
    return level + URGENCY_NORMAL


def decode_urgency(engine, prompt_urgency):
    """Return the urgency of a stream at a decode engine."""
    if engine.slots - engine.streams <= FEW_FREE_SLOTS:
        return URGENCY_NORMAL
    return prompt_urgency


def _options(engines, demand, holder, draw):
    decode_engines = [
        e for e in engines if not e.prefill and _has_slot(e, demand)
    ]
    holders = _holders(engines, holder)
    for engine in decode_engines:
        yield _direct(engine, holders, demand)
    if not decode_engines:
        return
    for engine in engines:
        if engine.prefill and engine.has_room:
            yield _split(engine, decode_engines, holders, demand, draw)


def _holders(engines, holder):
    """Return the two engines that have most of the prompt's prefix cached."""
    found = [
        CacheHolder(e.id, e.cached)
        for e in engines
        if e.cached and e.slowness < FAILED_SLOWNESS
    ]
    if holder is not None:
        found.append(holder)
    return sorted(found, key=lambda holder: (-holder.cached, holder.id))[:2]


def _prompt_ms(demand, cached):
    return demand.prefill_scale * engine_time.prefill_ms(demand.tokens, cached)


def _has_slot(engine, demand):
    part = (
        LONG_ANSWER_MAX_SLOT_FRACTION
        if demand.tokens_out > LONG_ANSWER_TOKENS
        else MAX_SLOT_FRACTION
    )
    return engine.has_room and engine.streams < engine.slots * part


def _direct(engine, holders, demand):
    fetch, fetch_ms, cached = prefix_fetch.choose(engine, holders, demand)
    prompt = demand.prefill_scale * engine_time.decode_engine_prefill_ms(
        demand.tokens, cached, engine.streams
    )
    wait = engine.wait_ms * engine.slowness
    # The first event is a step of the engine, and slow where all steps are.
    own_ms = engine_time.FIRST_EVENT_MS * engine.speed_factor
    own = engine_time.HOP_MS + own_ms
    begin = max(wait, fetch_ms + demand.send_ms)
    first = begin + own + prompt * engine.time_factor
    return Option(
        None,
        engine.id,
        first,
        wait,
        prompt,
        cached,
        fetch,
        fetch_ms,
        engine.relative_time,
        engine.pace,
        wait,
    )


def _split(engine, decode_engines, holders, demand, draw):
    fetch, fetch_ms, cached = prefix_fetch.choose(engine, holders, demand)
    prompt = _prompt_ms(demand, cached)
    wait = engine.wait_ms * engine.slowness
    begin = max(wait, fetch_ms + demand.send_ms)
    transfer = engine_time.transfer_ms(
        demand.tokens, demand.token_bytes, demand.link_mbps
    )
    ready = begin + prompt * engine.time_factor + transfer + demand.send_ms
    target = _target(decode_engines, ready, draw)
    own = engine_time.HOP_MS + engine_time.FIRST_EVENT_MS * (
        engine.speed_factor + target.time_factor
    )
    blocked = _blocked_ms(target, ready)
    first = ready + blocked + own
    return Option(
        engine.id,
        target.id,
        first,
        wait,
        prompt,
        cached,
        fetch,
        fetch_ms,
        engine.relative_time,
        engine.pace,
        blocked,
        transfer,
    )


def _target(engines, ready_ms, draw):
    """Return the decode engine of a split whose prompt is then ready."""
    best = min(engines, key=lambda e: _target_rank(e, ready_ms))
    if draw is None:
        return best
    similar = [e for e in engines if e.slowness <= best.slowness]
    return option_draw.drawn(
        similar, lambda e: _target_rank(e, ready_ms)[1], draw
    )


def _target_rank(engine, ready_ms):
    """Return the sort key of decode engines as the target of a split."""
    # A crashed engine has no streams and must not count as the least loaded:
    # prefills for it would be wasted.
    full = FULL_BATCH_MS * engine.streams / engine.slots
    blocked = _blocked_ms(engine, ready_ms)
    cost = blocked + full
    if engine.speed_factor != 1.0:
        # Its first event and its steps take longer.
        steps = (full + TARGET_STEP_MS) * engine.speed_factor
        cost = blocked + steps - TARGET_STEP_MS
    return engine.slowness, cost, engine.id


def _blocked_ms(engine, ready_ms):
    """Return how long a decode engine still prefills at ``ready_ms``.

    It prefills the prompts that it has before a new stream begins.
    """
    return max(0.0, engine.wait_ms * engine.slowness - ready_ms)
