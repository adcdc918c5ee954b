"""Spreads starts that share a processor.

Where many processes start at the same moment on few processors, these are
shared evenly, and nobody is ready before all starts have been paid for.  So a
process that finds little of a processor left for it waits for a random part of
the time that all starts take: those that don't wait long are ready early and
serve, and the work of all is done in the same time.

Loaded before everything else, so it imports next to nothing.
"""

import os
import time

# Processor time that is spent to find out how much of one there is.  It spans
# several turns of a process among others.
PROBE_MS = 8
# With fewer processes that share a processor all have started soon anyhow, and
# spread starts find a busy store busy with those that serve already.
MIN_CROWD = 10
# With fewer that are left, waiting again gains nothing.
MIN_SHARERS = 4
# What a start still takes of a processor after the probe, and over which part
# of what all starts take they are spread.
START_MS = 200
SPREAD = 0.9
# Those that still find many wait again, within the same time, unless it wasn't
# a crowd: a slow machine stays as slow.
MAX_WAITS = 4
CROWD_FRACTION = 0.8
MAX_WAIT_MS = 12_000


def window_ms(sharers):
    """Return for how many ms the starts of so many processes are spread.

    ``sharers`` is the number of processes that share the processor.
    """
    if sharers < MIN_SHARERS:
        return 0.0
    return min(MAX_WAIT_MS, SPREAD * (sharers - 1) * START_MS)


def count_sharers(
    monotonic_ns=time.monotonic_ns, process_time_ns=time.process_time_ns
):
    """Return how many processes seem to share the processor, 1 or more."""
    began, used = monotonic_ns(), process_time_ns()
    spent = 0
    while spent < PROBE_MS * 1_000_000:
        spent = process_time_ns() - used
    return max(1.0, (monotonic_ns() - began) / spent)


def pace(wait, sharers=count_sharers):
    """Wait while a crowd starts here; return the ms that were due.

    ``wait(seconds)`` may return early if the process has to stop.
    """
    before = sharers()
    if before < MIN_CROWD:
        return 0.0
    end_ms = window_ms(before)
    waited_ms = 0.0
    found = before
    for _ in range(MAX_WAITS):
        left_ms = min(window_ms(found) * _random_part(), end_ms - waited_ms)
        if left_ms <= 0:
            break
        wait(left_ms / 1_000)
        waited_ms += left_ms
        found = sharers()
        if found > CROWD_FRACTION * before:
            break
        before = found
    return waited_ms


def _random_part():
    return int.from_bytes(os.urandom(4), "big") / 2**32
