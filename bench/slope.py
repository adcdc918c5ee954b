"""How a slope is measured: processor time and memory of a piece of work."""

import gc
import time
import tracemalloc
import typing


REPEATS = 5
MICRO = 1_000_000


class Slope(typing.NamedTuple):
    """A measured slope with its unit and how it was measured."""

    name: str
    unit: str
    per: str
    how: str
    points: tuple[tuple[float, float], ...]


def cpu_us(work, rounds):
    """Return the processor time of one call of ``work``, in us.

    The minimum of several repeats, since other load on the machine can only
    lengthen a repeat.
    """
    best = None
    for _ in range(REPEATS):
        begin = time.process_time()
        for _ in range(rounds):
            work()
        took = (time.process_time() - begin) / rounds * MICRO
        best = took if best is None else min(best, took)
    return best


def memory_bytes(build):
    """Return the memory of the object that ``build`` returns, in bytes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return after - before
