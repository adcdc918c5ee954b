"""Durations of the simulated engines' work, from a deployment file.

This module is separate from :mod:`clementinewall.policy.engine_time`, with
which gateways predict: if both shared one model, the lab could not show
errors of the prediction.  All results are milliseconds; ``row`` is
:class:`clementinewall.lab.deployment.Engines`.
"""

# A cache transfer between data centres takes this many times as long as one
# within a data centre; the lab assumes that all engines are in different ones.
REMOTE_TRANSFER_FACTOR = 2.0


def prefill_ms(row, tokens, cached):
    """Return the prefill time of a prompt on an idle prefill engine."""
    pieces = max(0, tokens - cached) / row.piece_tokens
    return (
        row.prompt_base_ms
        + _compute_ms(row, tokens, cached)
        + pieces * row.step_ms
    )


def decode_engine_prefill_ms(row, tokens, cached, streams):
    """Return the prefill time on an engine that decodes ``streams``."""
    pieces = max(0, tokens - cached) / row.decode_piece_tokens
    compute_ms = _compute_ms(row, tokens, cached) * row.decode_slowdown
    return row.prompt_base_ms + compute_ms + pieces * step_ms(row, streams)


def step_ms(row, streams):
    """Return the duration of one step of a batch of ``streams``."""
    return row.step_ms + row.step_ms_a_stream * streams


def transfer_ms(row, tokens):
    """Return how long the cache of ``tokens`` takes to another engine."""
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
