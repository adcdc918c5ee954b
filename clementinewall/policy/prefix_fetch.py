"""Whether an engine fetches a prompt prefix from another engine's cache."""

from clementinewall.policy import engine_time

# Time of a fetch before its first byte, as published by the operators.  It is
# worth it up to this fraction of the prefill time that it saves: the cached
# content is inferred from what was sent there, and may have been evicted.
FETCH_SETUP_MS = 5.0
MAX_FETCH_FRACTION = 0.6


def choose(engine, holders, demand):
    """Return the engine to fetch a prefix from, and the time in ms.

    The third value is how many leading tokens need no prefill then.
    """
    holder = next((e for e in holders if e.id != engine.id), None)
    if holder is None or not demand.link_mbps:
        return None, 0.0, engine.cached
    tokens = holder.cached - engine.cached
    cost = FETCH_SETUP_MS + engine_time.transfer_ms(
        tokens, demand.token_bytes, demand.link_mbps
    )
    saved = tokens / engine_time.PROMPT_TOKENS_PER_MS * demand.prefill_scale
    saved *= engine.speed_factor
    if cost > saved * MAX_FETCH_FRACTION:
        return None, 0.0, engine.cached
    return holder.id, cost, holder.cached
