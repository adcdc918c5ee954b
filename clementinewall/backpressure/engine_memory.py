"""Whether an engine has memory for one more request, as pure functions.

An engine crashes if the requests that it holds exceed its memory.  Each
gateway knows its own and those that the others of its cell last reported.
"""

# What others have placed since they reported, of what they reported: an
# answer is generated for seconds, and reports come several times a second.
UNREPORTED_FRACTION = 0.1


def tokens(prompt, with_answer=True):
    """Return the tokens for which a request takes an engine's memory."""
    if prompt is None:
        return 0
    return prompt.tokens_in + (prompt.tokens_out if with_answer else 0)


def has_room(capacity, own, others, request, is_shared):
    """Return whether an engine of ``capacity`` tokens takes a request.

    ``own`` and ``others`` are the tokens that this gateway and its peers have
    there.  With ``is_shared``, a peer may place a request of the same size at
    the same time.  A ``capacity`` of 0 is unknown and bounds nothing.
    """
    if capacity <= 0:
        return True
    if not own and not others:
        # The largest requests would be served nowhere with a margin.
        return request <= capacity
    margin = others * UNREPORTED_FRACTION
    if is_shared:
        margin = max(margin, request)
    return own + others + request + margin <= capacity
