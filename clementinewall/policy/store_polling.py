"""Which gateway polls the store, and when others read it themselves.

Calls to the store are billed, and grow with the number of gateways if each one
polls each topic.  So one gateway of a group polls and announces what it read,
and each of the others reads only when it has received nothing for too long.
There is no election: gateways that receive each other's heartbeats are ranked
by address, and the time-out of each grows with its rank.  Lost datagrams, a
dead or partitioned reader and differing views of the ranks cost a few more
calls, and never more than one bounded delay.
"""

import collections
import functools
import math
import random
import typing
import zlib

# Gateways for which one polls.  What it sends grows with their number.
GROUP_SIZE = 128
# Time-out, in poll cycles, of the gateway at rank 1.  Each further rank waits
# longer by this many cycles, up to a limit: if the first few gateways die
# together, all others read once.
TIMEOUT_CYCLES = 1.4
TIMEOUT_STEP_CYCLES = 0.1
MAX_STEPS = 4
# Interval at which the gateway at rank 0 retries an unreachable store; it
# announces when the store is back.  Others retry less often, since each call
# is billed.
RETRY_MS = 200
# A gateway that starts retries its first calls after half of this time to all
# of it: others may have started at once.
MAX_FIRST_RETRY_MS = 300
# For so long after its start a gateway that has read a topic leaves a store
# that refuses calls to others that may have started with it.  Its next call
# comes after so many cycles, which is less than the deployment's bounds.
START_MS = 15_000
START_RETRY_CYCLES = 2
MAX_START_RETRY_MS = 2_000


class PollCycle(typing.NamedTuple):
    """How long a read of a topic may wait, and the pause after it, in ms."""

    wait_ms: int
    gap_ms: int

    @property
    def cycle_ms(self):
        """Return the time from one read to the next."""
        return self.wait_ms + self.gap_ms


def group(own, others, size):
    """Return the gateways of the group of ``own``, by rank.

    ``size`` is how many gateways are registered, dead ones included.  A
    gateway's group follows from its address and ``size`` alone, so that a
    gateway that only some hear changes nobody else's group.
    """
    groups = max(1, round(size / GROUP_SIZE))
    number = _hash(own) % groups
    return sorted(
        name for name in {own, *others} if _hash(name) % groups == number
    )


def rank(own, others, size):
    """Return the rank of ``own`` in its group; the gateway at 0 polls.

    ``others`` are the addresses of the live gateways that serve callers.
    """
    return group(own, others, size).index(own)


def in_turns(names, data_centre_by_name):
    """Return the names in line: data centres take turns, then by name.

    A fault often hits all gateways of a data centre.  Who is next in line
    after such a fault then stands in another one, and waits for one place.
    """
    places = collections.Counter()
    keys = []
    for name in sorted(names):
        data_centre = data_centre_by_name[name]
        keys.append((places[data_centre], data_centre, name))
        places[data_centre] += 1
    return [name for _, _, name in sorted(keys)]


@functools.lru_cache(maxsize=4_096)
def _hash(name):
    return zlib.crc32(name.encode())


def max_age_ms(cycle, rank_in_group):
    """Return the age in ms of the last known read at which to read again."""
    if rank_in_group == 0:
        return cycle.gap_ms
    steps = min(rank_in_group - 1, MAX_STEPS)
    return cycle.cycle_ms * (TIMEOUT_CYCLES + TIMEOUT_STEP_CYCLES * steps)


def retry_ms(cycle, rank_in_group, age_ms=math.inf):
    """Return the delay in ms before the next call after a failed one.

    ``age_ms`` is for how long the gateway has run.
    """
    if age_ms < START_MS:
        delay_ms = START_RETRY_CYCLES * cycle.cycle_ms
        return min(MAX_START_RETRY_MS, max(RETRY_MS, delay_ms))
    return min(max(RETRY_MS, cycle.cycle_ms), RETRY_MS * (1 + rank_in_group))


def first_read_retry_ms():
    """Return the delay in ms before a first call that failed is repeated."""
    return random.uniform(0.5, 1.0) * MAX_FIRST_RETRY_MS
