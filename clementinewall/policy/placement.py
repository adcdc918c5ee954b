"""Where a request for a model goes, or that it is refused; pure functions.

Load this answers: more work than the fixed engines can do in time, with a
mix that swings every few seconds.  A prompt can be read by a prefill engine,
whose memory a decode engine then fetches, or by the decode engine itself,
at half speed.  For each way the time to the first event is predicted from
the work that all gateways have at the engines.  The way with the least time
wins, with the engine time that it takes as a price; a request that would
come late on each way is refused at once, so that those that are served are
served in time.
"""

import typing

from clementinewall.policy import engine_time

# The part of the time to the target that predictions may fill.  Work that
# other gateways have just sent isn't known yet.
TARGET_FRACTION = 0.85
# A prompt so large that reading it alone takes longer than the target is
# still taken while the wait before it is under this part of the target;
# otherwise the largest requests would never be served.
LARGE_WAIT_PART = 0.5
# A prompt whose reading takes less than this part of its target delays
# others so little that it is taken even if it comes late, up to so many
# targets: a late answer is worth a third, a refusal nothing.
CHEAP_PART = 0.1
CHEAP_TARGETS = 3.0
# From this part of the target on, a request's own time leaves so little
# room that it goes before others at the engine.
TIGHT_PART = 0.5
URGENCY_SHORT = 0
URGENCY_TIGHT = 1
URGENCY_NORMAL = 2
# How much a millisecond of engine time weighs against one of the caller's:
# it keeps prompts where their first parts are in the cache.
WORK_WEIGHT = 3.0
# From this slowness on an engine counts as failed.
FAILED_SLOWNESS = 5.0
# What a decode engine full of streams weighs against the reading that blocks
# a new one there: its steps take longer than those of an idle one.
STREAMS_MS = 80.0
# Streams beside which a decode engine still takes new ones, of its slots.
MAX_SLOT_FRACTION = 0.95
# The last slots are kept for short answers, which give them back soon.
LONG_STREAMS_PART = 0.88
LONG_TOKENS = 100
# With so few slots free, all that a decode engine gets has the same urgency.
# An engine whose slots are all taken stops a running stream for one that is
# more urgent and reads its prompt again, and its caller sees a pause.
LAST_SLOTS = 6
MIN_RETRY_MS = 50
# Engines that crash or change their stage are away for seconds.
NO_DECODE_RETRY_MS = 1_000
# A fetch takes this long before the first byte (operators' figure for moves),
# and is worth it up to this part of the reading that it saves: what a source
# keeps is known from what was sent there, and at times is gone.
FETCH_SETUP_MS = 5.0
FETCH_PART = 0.6
# Fetching keeps no engine from its work, but sends memory around.
FETCH_WEIGHT = 1.0


class Engine(typing.NamedTuple):
    """An engine as one gateway knows it, with the work of all gateways.

    ``wait_ms`` is the prompt reading ahead of the request at its urgency,
    ``cached`` how many leading tokens of the prompt are in its cache.
    ``gone`` tells that it wouldn't answer.
    """

    id: str
    prefill: bool
    wait_ms: float
    streams: int
    slots: int
    cached: int
    slowness: float = 1.0
    unreachable: bool = False


class Demand(typing.NamedTuple):
    """What a request needs, and the time left to its first-event target.

    ``tokens_out`` is how many tokens its answer has at the most, ``send_ms``
    how long its body takes on the gateway's link each time it is sent.
    ``is_probe`` lets it try an engine that is gone, ``prefill_scale`` is how
    many times as long as :mod:`engine_time` says prompts are read.
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
    """A way to serve a request: ``prefill`` is ``None`` without a split.

    ``fetch`` is the engine from whose cache the one that reads the prompt
    gets its beginning first, of which ``cached`` tokens need no reading.
    """

    prefill: str | None
    decode: str
    first_ms: float
    wait_ms: float
    prompt_ms: float
    cached: int
    fetch: str | None = None
    fetch_ms: float = 0.0


class Refusal(typing.NamedTuple):
    """That a request cannot be served in time, and when to come back."""

    why: str
    retry_ms: int
    best: Option | None


class CacheHolder(typing.NamedTuple):
    """An engine that keeps so many leading tokens of the prompt."""

    id: str
    cached: int


def choose(engines, demand, keeper=None):
    """Return the best :class:`Way`, or a :class:`Refusal`.

    ``keeper`` is a :class:`Source` that is none of ``engines``.
    """
    decoding = [engine for engine in engines if not engine.prefill]
    if all(engine.unreachable for engine in decoding):
        if not decoding or not demand.is_probe:
            return Refusal("no engine decodes", NO_DECODE_RETRY_MS, None)
        # Prompts would be read for it in vain.
        engines = decoding
    ways = list(_ways(engines, demand, keeper))
    if not ways:
        return Refusal("no engine takes work", MIN_RETRY_MS, None)
    best = min(ways, key=_price)
    if _is_in_time(best, demand):
        return best
    fastest = min(ways, key=lambda way: (way.first_ms, way.decode))
    if _is_in_time(fastest, demand):
        return fastest
    late_by = fastest.first_ms - demand.left_ms * TARGET_FRACTION
    return Refusal(
        "too late on each way", max(MIN_RETRY_MS, int(late_by)), fastest
    )


def _price(way):
    work = WORK_WEIGHT * way.prompt_ms + FETCH_WEIGHT * way.fetch_ms
    return way.first_ms + work, way.decode


def _is_in_time(way, demand):
    if way.first_ms <= demand.left_ms * TARGET_FRACTION:
        return True
    if way.prompt_ms <= demand.goal_ms * CHEAP_PART:
        return way.first_ms <= demand.goal_ms * CHEAP_TARGETS
    own_ms = way.first_ms - way.wait_ms
    is_large = own_ms > demand.goal_ms * TARGET_FRACTION
    return is_large and way.wait_ms <= demand.goal_ms * LARGE_WAIT_PART


def prefill_urgency(demand, cached):
    """Return the place of a prompt among those that wait, 0 first.

    Engines read urgent prompts first.  Short ones delay nobody, so they go
    first.  Of the others one that fills most of its target comes late behind
    any other, while a usual one can wait for it.
    """
    prompt_ms = _prompt_ms(demand, cached)
    if prompt_ms <= demand.goal_ms * CHEAP_PART:
        return URGENCY_SHORT
    own_ms = prompt_ms + 2 * (engine_time.HOP_MS + engine_time.FIRST_EVENT_MS)
    if own_ms >= demand.goal_ms * TIGHT_PART:
        return URGENCY_TIGHT
    return URGENCY_NORMAL


def decode_urgency(engine, prompt_urgency):
    """Return the urgency of a stream at a decode engine."""
    if engine.slots - engine.streams <= LAST_SLOTS:
        return URGENCY_NORMAL
    return prompt_urgency


def _ways(engines, demand, keeper):
    decoding = [e for e in engines if not e.prefill and _has_slot(e, demand)]
    sources = _sources(engines, keeper)
    for engine in decoding:
        yield _direct(engine, sources, demand)
    if not decoding:
        return
    for engine in engines:
        if engine.prefill:
            yield _split(engine, decoding, sources, demand)


def _sources(engines, keeper):
    """Return the two engines that keep most of the prompt's beginning."""
    found = [
        CacheHolder(e.id, e.cached)
        for e in engines
        if e.cached and e.slowness < FAILED_SLOWNESS
    ]
    if keeper is not None:
        found.append(keeper)
    return sorted(found, key=lambda source: (-source.cached, source.id))[:2]


def _fetch(reader, sources, demand):
    """Return from where the reader gets what it lacks, and how long it takes.

    The third value is how many leading tokens it need not read then.
    """
    source = next((e for e in sources if e.id != reader.id), None)
    if source is None or not demand.link_mbps:
        return None, 0.0, reader.cached
    tokens = source.cached - reader.cached
    cost = FETCH_SETUP_MS + engine_time.transfer_ms(
        tokens, demand.token_bytes, demand.link_mbps
    )
    saved = tokens / engine_time.PROMPT_TOKENS_PER_MS * demand.prefill_scale
    if cost > saved * FETCH_PART:
        return None, 0.0, reader.cached
    return source.id, cost, source.cached


def _prompt_ms(demand, cached):
    return demand.prefill_scale * engine_time.prefill_ms(demand.tokens, cached)


def _has_slot(engine, demand):
    part = (
        LONG_STREAMS_PART
        if demand.tokens_out > LONG_TOKENS
        else MAX_SLOT_FRACTION
    )
    return engine.streams < engine.slots * part


def _direct(engine, sources, demand):
    fetch, fetch_ms, cached = _fetch(engine, sources, demand)
    prompt = demand.prefill_scale * engine_time.decode_engine_prefill_ms(
        demand.tokens, cached, engine.streams
    )
    wait = engine.wait_ms * engine.slowness
    own = engine_time.HOP_MS + engine_time.FIRST_EVENT_MS
    begin = max(wait, fetch_ms + demand.send_ms)
    first = begin + own + prompt * engine.slowness
    return Option(
        None, engine.id, first, wait, prompt, cached, fetch, fetch_ms
    )


def _split(reader, decoding, sources, demand):
    fetch, fetch_ms, cached = _fetch(reader, sources, demand)
    prompt = _prompt_ms(demand, cached)
    wait = reader.wait_ms * reader.slowness
    begin = max(wait, fetch_ms + demand.send_ms)
    transfer = engine_time.transfer_ms(
        demand.tokens, demand.token_bytes, demand.link_mbps
    )
    ready = begin + prompt * reader.slowness + transfer + demand.send_ms
    target = min(decoding, key=lambda engine: _target_rank(engine, ready))
    own = engine_time.HOP_MS + engine_time.FIRST_EVENT_MS * (
        1 + target.slowness
    )
    first = ready + _blocked_ms(target, ready) + own
    return Option(
        reader.id, target.id, first, wait, prompt, cached, fetch, fetch_ms
    )


def _target_rank(engine, ready_ms):
    """Return the order in which decode engines are taken for a split."""
    # A crashed engine has no streams and must not pass for the least loaded:
    # prompts would be read for it in vain.
    full = STREAMS_MS * engine.streams / engine.slots
    blocked = _blocked_ms(engine, ready_ms)
    return engine.slowness, blocked + full, engine.id


def _blocked_ms(engine, ready_ms):
    """Return how long a decode engine still reads when a prompt is ready.

    It reads the prompts that it has before a new stream begins.
    """
    return max(0.0, engine.wait_ms * engine.slowness - ready_ms)
