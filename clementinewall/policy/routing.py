"""Which engine a request goes to, as a pure function.

Reports lag, so each candidate is described by its last report and by what
this entry has sent since.  The choice is by predicted time to the first
token and between tokens against the targets of the class; cached prefixes
count as prompt work saved.  The module uses no clock, socket or random source:
the caller passes a random number, so that every choice can be replayed.
"""

import typing

# Scores up to this multiple of the best count as equal, and the draw decides:
# with a strict minimum all entries would send to the same engine until its
# next report shows the load.
NEARLY_EQUAL_FACTOR = 1.15
# Up to this fraction of the target an engine is preferred for its cache.
AFFINITY_LIMIT = 0.5
# Old reports say little: the rank grows by this fraction per second of age, so
# that engines with fresh reports are preferred and others are still used.
STALE_PENALTY_PER_S = 0.05
STALE_AFTER_MS = 2_000
PREFILL_FACTOR = {"mixed": 1.0, "prefill": 0.8, "decode": 3.0}
DECODE_FACTOR = {"mixed": 1.0, "prefill": 3.0, "decode": 0.8}


class Candidate(typing.NamedTuple):
    """An engine as seen from one entry; times in ms, work in tokens."""

    id: str
    role: str = "mixed"
    distance_ms: float = 0.0
    prefill_ms: float = 0.02
    gap_ms: float = 20.0
    slots: int = 16
    queued_tokens: float = 0.0
    running: float = 0.0
    sent_tokens: float = 0.0
    sent_streams: float = 0.0
    report_age_ms: int = 0
    cached_tokens: int = 0
    slowness: float = 1.0


class Work(typing.NamedTuple):
    """A request: tokens of its prompt, and its targets in milliseconds."""

    prompt_tokens: int
    first_ms: int
    gap_ms: int


class Choice(typing.NamedTuple):
    """The chosen engine and why; with a score over 1 it misses a target."""

    id: str
    score: float
    first_ms: float
    between_ms: float
    reason: str


def predict_first(candidate, prompt_tokens):
    """Return the predicted milliseconds to the first token."""
    fresh = max(0, prompt_tokens - candidate.cached_tokens)
    waiting = candidate.queued_tokens + candidate.sent_tokens
    factor = PREFILL_FACTOR[candidate.role] * candidate.slowness
    work = (waiting + fresh) * candidate.prefill_ms * factor
    return candidate.distance_ms * 2 + work + predict_gap(candidate)


def predict_gap(candidate):
    """Return the predicted milliseconds between tokens."""
    streams = candidate.running + candidate.sent_streams + 1
    factor = DECODE_FACTOR[candidate.role] * candidate.slowness
    return candidate.gap_ms * max(1.0, streams / candidate.slots) * factor


def score(candidate, work):
    """Return how much of its targets the candidate would use up."""
    first = predict_first(candidate, work.prompt_tokens) / work.first_ms
    between = predict_gap(candidate) / work.gap_ms
    # The larger ratio decides; the small term breaks ties in favour of the
    # engine that is also better at the other target.
    return max(first, between) + 0.1 * min(first, between)


def rank(candidate, work):
    """Return the score with a penalty for an old report.

    The penalty is only for choosing among engines.  When all reports stop, it
    says nothing about the load: applied to admission, it would refuse nearly
    everything after half a minute without reports.
    """
    stale = max(0, candidate.report_age_ms - STALE_AFTER_MS) / 1_000
    return score(candidate, work) * (1 + STALE_PENALTY_PER_S * stale)


def choose(candidates, work, draw, preferred=()):
    """Return the choice, or ``None`` without candidates.

    ``draw`` is a number from 0 to 1 that decides among nearly equal ones.
    The ``preferred`` ids go first as long as they leave half the target
    unused.  Every entry prefers the same engines for equal prompts, so their
    caches hold the prefix, and a request that crashes its engine reaches few
    engines even if it is sent through all entries at once.
    """
    if not candidates:
        return None
    liked = [c for c in candidates if c.id in preferred]
    if liked and min(score(c, work) for c in liked) <= AFFINITY_LIMIT:
        return _best(liked, work, draw, "preferred")
    return _best(candidates, work, draw, "best")


def _best(candidates, work, draw, word):
    ranked = sorted((rank(c, work), c.id, c) for c in candidates)
    limit = ranked[0][0] * NEARLY_EQUAL_FACTOR
    equal = [item for item in ranked if item[0] <= limit]
    _, name, chosen = equal[int(draw * len(equal)) % len(equal)]
    return Choice(
        name,
        score(chosen, work),
        predict_first(chosen, work.prompt_tokens),
        predict_gap(chosen),
        f"{word} of {len(candidates)}, {len(equal)} nearly equal",
    )


class Split(typing.NamedTuple):
    """Prefill on one engine, decode on another."""

    prefill_id: str
    decode: Choice


def choose_split(candidates, work, draw, move_ms):
    """Return the best split, or ``None`` where the roles don't allow one.

    ``move_ms`` is the transfer time of the prompt's KV cache.
    """
    prefill = [c for c in candidates if c.role == "prefill"]
    decode = [c for c in candidates if c.role != "prefill"]
    if not prefill or not decode:
        return None
    first = min(
        prefill, key=lambda c: (predict_first(c, work.prompt_tokens), c.id)
    )
    before = predict_first(first, work.prompt_tokens) + move_ms
    # The decode engine fetches the KV cache, so this request needs no prefill
    # there and does not wait for its queue of prompts.
    idle = [c._replace(queued_tokens=0, sent_tokens=0) for c in decode]
    left = work._replace(
        prompt_tokens=0, first_ms=max(1, int(work.first_ms - before))
    )
    chosen = choose(idle, left, draw)
    first_ms = before + chosen.first_ms
    worst = max(first_ms / work.first_ms, chosen.between_ms / work.gap_ms)
    decode_choice = chosen._replace(
        score=worst, first_ms=first_ms, reason=f"split from {first.id}"
    )
    return Split(first.id, decode_choice)
