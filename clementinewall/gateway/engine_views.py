"""What the placement is told of the engines of one gateway's fleet view."""

from clementinewall.backpressure import engine_memory
from clementinewall import domain
from clementinewall.gateway import peer_messages
from clementinewall.policy import placement
from clementinewall.policy import prefill_queue

# Makes an engine that failed or is unresponsive the last choice.
UNUSABLE_SLOWNESS = 10.0


def views(states, prompt, urgency, peers, speeds, scale, capacity, now):
    """Return the :class:`placement.Engine` of each state.

    ``urgency`` is that of the prompt, ``peers`` are the states of the other
    gateways of the cell, and ``speeds`` those of the engines by id, empty
    where no engine tells its pace.  ``capacity`` is the memory of an engine
    in tokens, 0 if it isn't known.
    """
    usable_stages = {
        state.endpoint.stage for state in states if state.is_usable()
    }
    return [
        _view(
            state,
            prompt,
            urgency,
            peers,
            usable_stages,
            speeds.get(state.endpoint.id),
            scale,
            capacity,
            now,
        )
        for state in states
    ]


def _view(
    state, prompt, urgency, peers, usable_stages, speed, scale, capacity, now
):
    endpoint = state.endpoint
    work = peer_messages.all_work(state.own_work(), peers, endpoint.id)
    peer_tokens = work.tokens - state.tokens
    # Engines that tell no pace preempt requests instead of crashing, and
    # gateways report no tokens there.
    if speed is None and not peer_tokens:
        capacity = 0
    jobs = work.jobs
    is_prefill = endpoint.stage == domain.PREFILL
    relative_time = pace = 1.0
    if speed is not None:
        relative_time = speed.relative_time(scale, now)
        pace = speed.pace(now)
        # Job costs contain the long-term time of the engine already.
        jobs = [job._replace(cost_ms=job.cost_ms * pace) for job in jobs]
    wait_ms = prefill_queue.wait_ms(jobs, work.last_prefill_end, now, urgency)
    return placement.Engine(
        id=endpoint.id,
        prefill=is_prefill,
        wait_ms=wait_ms,
        streams=work.streams,
        slots=endpoint.slots,
        cached=state.cache.cached_prefix_tokens(prompt.parts[:-1]),
        slowness=_slowness(state, usable_stages),
        unreachable=state.is_unavailable(),
        rest_ms=state.rest_ms,
        has_room=engine_memory.has_room(
            capacity,
            state.tokens,
            peer_tokens,
            engine_memory.tokens(prompt, not is_prefill),
            bool(peers),
        ),
        relative_time=relative_time,
        pace=pace,
    )


def _slowness(state, usable_stages):
    """Return the slowness to predict the times of an engine with.

    A pausing engine is the last choice while others of its stage respond.  If
    none does, its pause must not make every request seem late.
    """
    is_only_choice = state.endpoint.stage not in usable_stages
    if state.is_usable() or (is_only_choice and state.may_be_pausing()):
        return state.health.slowness
    return UNUSABLE_SLOWNESS
