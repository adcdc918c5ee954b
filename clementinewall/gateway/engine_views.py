"""What the placement is told of the engines of one gateway's fleet view."""

from clementinewall import domain
from clementinewall.policy import placement
from clementinewall.policy import prefill_queue

# Makes an engine that failed or is unresponsive the last choice.
UNUSABLE_SLOWNESS = 10.0


def views(states, prompt, urgency, peers, speeds, scale, now):
    """Return the :class:`placement.Engine` of each state.

    ``urgency`` is that of the prompt, ``peers`` are the states of the other
    gateways of the cell, and ``speeds`` those of the engines by id, empty
    where no engine tells its pace.
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
            now,
        )
        for state in states
    ]


def _view(state, prompt, urgency, peers, usable_stages, speed, scale, now):
    endpoint = state.endpoint
    jobs = list(state.jobs)
    streams = state.streams
    last_prefill_end = state.last_prefill_end
    for peer in peers:
        work = peer.work_by_endpoint_id.get(endpoint.id)
        if work is not None:
            jobs.extend(work.jobs)
            streams += work.streams
            last_prefill_end = max(last_prefill_end, work.last_prefill_end)
    relative_time = pace = 1.0
    if speed is not None:
        relative_time = speed.relative_time(scale, now)
        pace = speed.pace(now)
        # Job costs contain the long-term time of the engine already.
        jobs = [job._replace(cost_ms=job.cost_ms * pace) for job in jobs]
    wait_ms = prefill_queue.wait_ms(jobs, last_prefill_end, now, urgency)
    return placement.Engine(
        id=endpoint.id,
        prefill=endpoint.stage == domain.PREFILL,
        wait_ms=wait_ms,
        streams=streams,
        slots=max(1, endpoint.slots),
        cached=state.cache.cached_prefix_tokens(prompt.parts[:-1]),
        slowness=_slowness(state, usable_stages),
        unreachable=state.is_unavailable(),
        rest_ms=state.rest_ms,
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
