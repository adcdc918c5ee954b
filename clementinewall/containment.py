"""Containment of exceptions that nobody expected.

The background tasks of a process share a task group, so an exception that
leaves one of them ends the process.  What others write is read by every
process, and one record would end them all.  A contained fault costs the step
in which it came about: a record, a poll, an endpoint.

Mistakes of the operator (:class:`errors.SettingsError`) are not contained,
since they end a start with a message.
"""

import contextlib

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics

# A step that fails each time is logged once in this time.
LOG_INTERVAL_MS = 10_000
# A task that failed starts again after this time, and after twice the time
# before if it fails soon again.
MIN_RESTART_DELAY_MS = 100
MAX_RESTART_DELAY_MS = 1_600

_now = clock.Clock().now
_silent_until_by_step = {}
_unlogged_by_step = {}


@contextlib.contextmanager
def contained(part, step, **fields):
    """Log an unexpected exception of a step, and go on without it.

    ``part`` is the :class:`logs.PartLog` of the component, ``step`` names
    what is given up, one of a few texts, and ``fields`` what it was about.
    """
    try:
        yield
    except errors.SettingsError:
        raise
    except Exception as exc:
        record(part, step, exc, **fields)


def record(part, step, exc, **fields):
    """Count an unexpected exception and, unless one was just, log it."""
    metrics.count("contained_faults", step=step)
    now = _now()
    if now < _silent_until_by_step.get(step, now):
        _unlogged_by_step[step] = _unlogged_by_step.get(step, 0) + 1
        return
    _silent_until_by_step[step] = now + LOG_INTERVAL_MS
    part.error(
        f"{step} failed unexpectedly",
        why=repr(exc),
        unlogged_before=_unlogged_by_step.pop(step, 0),
        **fields,
    )
    logs.traceback(part)


async def run_once(part, step, function, *args):
    """Run a coroutine function of a shared task group, contained."""
    with contained(part, step):
        await function(*args)


async def keep_running(part, name, function):
    """Run a background task, again and again if it fails unexpectedly.

    ``function`` is a coroutine function that can be called again: what it
    has to remember is in its object.  A task that returns has ended.

    :raises SettingsError: the task found a mistake of the operator.
    """
    delay_ms = MIN_RESTART_DELAY_MS
    while True:
        began_at = _now()
        with contained(part, name):
            await function()
            return
        if _now() - began_at > MAX_RESTART_DELAY_MS:
            delay_ms = MIN_RESTART_DELAY_MS
        await anyio.sleep(clock.seconds(delay_ms))
        delay_ms = min(MAX_RESTART_DELAY_MS, 2 * delay_ms)
