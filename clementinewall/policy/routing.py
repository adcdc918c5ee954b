"""Which engine a request goes to, as a pure function.

Reports lag, so each candidate is described by its last report and by what
this entry has sent since.  The choice is by predicted time to the first
token and between tokens against the targets of the class; cached prefixes
count as prompt work saved.  No clock, no sockets, no random source in here:
the caller passes a draw, so that every choice can be replayed.
"""

import typing

# Scores this close to the best count as equal, and the draw decides: with a
# strict minimum all entries would send to the same engine until its next
# report shows the crowd.
NEARLY_EQUAL = 1.15
# Beyond this part of the target, prefixes are no reason to stay.
AFFINITY_LIMIT = 0.5
# A report this old says little: the rank grows by this share for each
# second, so a fresh engine is preferred and a silent one is not abandoned.
STALE_SHARE = 0.05
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
    """What is asked: tokens of prompt, targets in milliseconds."""

    prompt_tokens: int
    first_ms: int
    gap_ms: int


class Choice(typing.NamedTuple):
    """The engine chosen and why; a score over 1 misses the target."""

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
    crowd = candidate.running + candidate.sent_streams + 1
    factor = DECODE_FACTOR[candidate.role] * candidate.slowness
    return candidate.gap_ms * max(1.0, crowd / candidate.slots) * factor


def score(candidate, work):
    """Return how much of its targets the candidate would use up."""
    first = predict_first(candidate, work.prompt_tokens) / work.first_ms
    between = predict_gap(candidate) / work.gap_ms
    # The sum's small part breaks ties towards the engine that is better in
    # the other target too; the larger of the two decides.
    return max(first, between) + 0.1 * min(first, between)


def rank(candidate, work):
    """Return the score with a penalty for an old report.

    The penalty is for choosing among engines only.  When all reports stop,
    it says nothing of the load; counted in admission, it refused nearly
    everything after half a minute without reports.
    """
    stale = max(0, candidate.report_age_ms - STALE_AFTER_MS) / 1_000
    return score(candidate, work) * (1 + STALE_SHARE * stale)


def choose(candidates, work, draw, preferred=()):
    """Return the choice, or ``None`` without candidates.

    ``draw`` is a number from 0 to 1 that decides among nearly equal ones.
    The ``preferred`` ids go first as long as they leave half the target
    unused: they are those that equal prompts find at every entry, so their
    caches hold the prefix, and a request that crashes its engine, sent
    through all entries at once, still reaches few.
    """
    if not candidates:
        return None
    liked = [c for c in candidates if c.id in preferred]
    if liked and min(score(c, work) for c in liked) <= AFFINITY_LIMIT:
        return _best(liked, work, draw, "preferred")
    return _best(candidates, work, draw, "best")


def _best(candidates, work, draw, word):
    ranked = sorted((rank(c, work), c.id, c) for c in candidates)
    limit = ranked[0][0] * NEARLY_EQUAL
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
    """Prompt work on one engine, tokens from another."""

    prefill_id: str
    decode: Choice


def choose_split(candidates, work, draw, move_ms):
    """Return the best split, or ``None`` where the roles don't allow one.

    ``move_ms`` is what moving the KV cache of this prompt costs.
    """
    prefill = [c for c in candidates if c.role == "prefill"]
    decode = [c for c in candidates if c.role != "prefill"]
    if not prefill or not decode:
        return None
    first = min(
        prefill, key=lambda c: (predict_first(c, work.prompt_tokens), c.id)
    )
    before = predict_first(first, work.prompt_tokens) + move_ms
    # The decoding engine gets the prompt's cache, so it has no prompt work
    # of this request, and its queue of prompts doesn't hold it up.
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
