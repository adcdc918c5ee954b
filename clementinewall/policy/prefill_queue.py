"""When an engine starts on a prompt, predicted from its known queue.

Engines take the most urgent waiting prompt, in order of arrival among equals,
and prefill it without preemption: an urgent prompt doesn't interrupt a long
one that has begun.
"""

import typing

# An answer arrives this long after the end of the prefill, when the engine is
# already at the next prompt.
ANSWER_MS = 28


class Job(typing.NamedTuple):
    """A prompt at an engine: its urgency, 0 first, and its prefill time."""

    urgency: int
    cost_ms: float
    sent_at: float


def wait_ms(jobs, last_end, now, urgency):
    """Return how long a new prompt waits until its prefill begins.

    ``jobs`` are those that were sent and not answered, ``last_end`` is when
    the last answer arrived; all times are in milliseconds.
    """
    if not jobs:
        return 0.0
    free_at = last_end - ANSWER_MS
    waiting = list(jobs)
    while waiting and free_at <= now:
        free_at, job = _next(waiting, free_at)
        if free_at > now and job.sent_at > now:
            break
        waiting.remove(job)
        free_at += job.cost_ms
    ahead = sum(job.cost_ms for job in waiting if job.urgency <= urgency)
    return max(0.0, free_at - now) + ahead


def _next(waiting, free_at):
    """Return when the next prefill begins, and its job."""
    start = max(free_at, min(job.sent_at for job in waiting))
    there = [job for job in waiting if job.sent_at <= start]
    return start, min(there, key=lambda job: (job.urgency, job.sent_at))
