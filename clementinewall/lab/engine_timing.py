"""How long the lab's engines take, by the figures of a deployment file.

Kept apart from :mod:`clementinewall.policy.engine_time`, with which gateways
predict: a lab whose engines took what gateways believe couldn't show that they
believe wrong.  All results are milliseconds, ``row`` is
:class:`clementinewall.lab.deployment.Engines`.
"""

# Memory takes so many times as long to another data centre; engines of the
# lab are taken to lie in different ones.
REMOTE_TRANSFER_FACTOR = 2.0


def prefill_ms(row, tokens, cached):
    """Return how long an idle reading engine takes for a prompt."""
    pieces = max(0, tokens - cached) / row.piece_tokens
    return (
        row.prompt_base_ms
        + _compute_ms(row, tokens, cached)
        + pieces * row.step_ms
    )


def decode_engine_prefill_ms(row, tokens, cached, streams):
    """Return how long an engine that decodes ``streams`` takes to read."""
    pieces = max(0, tokens - cached) / row.decode_piece_tokens
    compute_ms = _compute_ms(row, tokens, cached) * row.decode_slowdown
    return row.prompt_base_ms + compute_ms + pieces * step_ms(row, streams)


def step_ms(row, streams):
    """Return how long one step of a batch of ``streams`` takes."""
    return row.step_ms + row.step_ms_a_stream * streams


def transfer_ms(row, tokens):
    """Return how long the memory of a prompt takes to another engine."""
    return (
        REMOTE_TRANSFER_FACTOR
        * tokens
        * row.kv_token_bytes
        * 8
        / (row.link_mbps * 1_000)
    )


def _compute_ms(row, tokens, cached):
    new_tokens = max(0, tokens - cached)
    pairs = new_tokens * (cached + new_tokens / 2) / 1e6
    return new_tokens / row.tokens_a_ms + pairs * row.pairs_ms_a_million
