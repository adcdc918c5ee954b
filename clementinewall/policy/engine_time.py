"""Timing model of engines, from the figures that their operators publish.

All figures are for one model on one accelerator, which two deployments have.
The ratio for others is estimated: :mod:`clementinewall.policy.prefill_scale`.
All times are in milliseconds.
"""

PROMPT_TOKENS_PER_MS = 157.0
# Attention time grows with the pairs of a new token and each one before it.
MS_PER_MILLION_PAIRS = 0.109
# Prompts are prefilled in chunks, each beside a step of the engine's batch.
PREFILL_CHUNK_TOKENS = 2_048
# Constant time of a prompt of any length.
PROMPT_BASE_MS = 1.5
# From the end of the prefill to the first event of the answer.
FIRST_EVENT_MS = 26.0
# A request to an engine and its answer.
HOP_MS = 8.0
# From the end of the prefill to the answer at the gateway.
PREFILL_ANSWER_MS = HOP_MS + FIRST_EVENT_MS
# A decode engine prefills at half speed, in chunks between the steps of its
# streams.
DECODE_SLOWDOWN = 2.0
DECODE_CHUNK_TOKENS = 512
STEP_MS = 3.55
STEP_MS_PER_STREAM = 0.0462


def prefill_ms(tokens, cached):
    """Return how long an idle prefill engine takes for a prompt."""
    steps = max(0, tokens - cached) / PREFILL_CHUNK_TOKENS * STEP_MS
    return PROMPT_BASE_MS + _compute_ms(tokens, cached) + steps


def _compute_ms(tokens, cached):
    new = max(0, tokens - cached)
    pairs = new * (cached + new / 2) / 1e6
    return new / PROMPT_TOKENS_PER_MS + pairs * MS_PER_MILLION_PAIRS


def step_ms(streams):
    """Return how long one step of a batch of ``streams`` takes."""
    return STEP_MS + STEP_MS_PER_STREAM * streams


def decode_engine_prefill_ms(tokens, cached, streams):
    """Return how long the prefill takes beside ``streams`` decoded streams."""
    chunks = max(0, tokens - cached) / DECODE_CHUNK_TOKENS
    compute = _compute_ms(tokens, cached) * DECODE_SLOWDOWN
    return PROMPT_BASE_MS + compute + chunks * step_ms(streams)


def transfer_ms(tokens, token_bytes, link_mbps):
    """Return how long the transfer of a prompt's KV cache takes.

    A transfer between data centres takes twice as long as within one; the
    longer time is assumed.  It is 0 if the bandwidth isn't known.
    """
    if not link_mbps:
        return 0.0
    return 2 * tokens * token_bytes * 8 / (link_mbps * 1_000)
