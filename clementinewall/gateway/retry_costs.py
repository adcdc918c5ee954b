"""What the sends of a request cost of the retry budget of its service."""


def budgeted_sends(exchange, plan):
    """Return how many sends of a plan draw on the retry budget.

    Only the first prefill of a request is free.  A retry with a prefill
    reaches two engines: counted as one send, retries exceeded the
    deployment's bound when decode engines were replaced under load.
    """
    sends = 0
    if exchange.reached_sends:
        sends += 1
    if exchange.prefills and plan.prefill_engine is not None:
        sends += 1
    return sends


def refundable_sends(plan, spent, failure):
    """Return how many of the budgeted sends reached no engine."""
    reached = 1 if failure.reached else 0
    prefill_engine = plan.prefill_engine
    if (
        prefill_engine is not None
        and failure.endpoint_id == prefill_engine.endpoint.id
    ):
        # The prefill failed, so the request was not sent for decode.
        return max(0, spent - reached)
    return min(spent, 1 - reached)


def retry_reason(exchange):
    """Return the reason for further sends, as a metrics label."""
    if exchange.first_event_ms is not None:
        return "resume"
    return "read again" if exchange.prefills else "send again"
