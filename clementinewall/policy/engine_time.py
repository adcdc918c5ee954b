"""How long engines take, from the figures that their operators publish.

All figures are for one model on one accelerator, which two deployments have.
How far others are off is learned: :mod:`clementinewall.policy.prefill_scale`.
"""

PROMPT_TOKENS_PER_MS = 157.0
# Attention grows with the pairs of a new token and each one before it.
PAIRS_MS_A_MILLION = 0.109
# Prompts are read in pieces, each beside a step of the engine's batch.
PREFILL_CHUNK = 2_048
# What a prompt takes however short it is.
PROMPT_BASE_MS = 1.5
# From the end of the prompt's reading to the first event of the answer.
FIRST_EVENT_MS = 26.0
# A request to an engine and its answer.
HOP_MS = 8.0
# From the end of a prompt's reading to the answer at the gateway.
PREFILL_ANSWER_MS = HOP_MS + FIRST_EVENT_MS
# A decoding engine reads prompts at half speed, in pieces of 512 tokens
# between the steps of its streams.
DECODE_SLOWDOWN = 2.0
DECODE_CHUNK = 512
STEP_MS = 3.55
STEP_MS_A_STREAM = 0.0462


def prefill_ms(tokens, cached):
    """Return how long an idle prefill engine takes to read a prompt."""
    steps = max(0, tokens - cached) / PREFILL_CHUNK * STEP_MS
    return PROMPT_BASE_MS + _reading_ms(tokens, cached) + steps


def _reading_ms(tokens, cached):
    new = max(0, tokens - cached)
    pairs = new * (cached + new / 2) / 1e6
    return new / PROMPT_TOKENS_PER_MS + pairs * PAIRS_MS_A_MILLION


def step_ms(streams):
    """Return how long one step of a batch of ``streams`` takes."""
    return STEP_MS + STEP_MS_A_STREAM * streams


def decode_engine_prefill_ms(tokens, cached, streams):
    """Return how long an engine that decodes ``streams`` takes to read."""
    pieces = max(0, tokens - cached) / DECODE_CHUNK
    reading = _reading_ms(tokens, cached) * DECODE_SLOWDOWN
    return PROMPT_BASE_MS + reading + pieces * step_ms(streams)


def transfer_ms(tokens, token_bytes, link_mbps):
    """Return how long the memory of a prompt takes to another engine.

    The way between data centres takes twice as long as within one; the longer
    one is assumed.
    """
    if not link_mbps:
        return 0.0
    return 2 * tokens * token_bytes * 8 / (link_mbps * 1_000)
