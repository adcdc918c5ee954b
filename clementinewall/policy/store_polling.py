"""Which gateway reads the store, and when others read for themselves.

Load this answers: calls to the store are paid for, and grow with the number
of gateways if each one reads each topic.  So one gateway reads and tells the
others, and each of the others reads for itself only when it heard nothing for
too long.  Nobody is elected: the gateways that hear each other stand in a
line, by address, and each one's patience grows with its place.  Lost
datagrams, a dead or cut off reader and views of the line that differ cost a
few more calls, and never more than one bounded delay.
"""

import typing

# Gateways for which one reads.  What the reader sends grows with their number.
GROUP_SIZE = 64
# A gateway that isn't the first in line waits for so many cycles of the
# reader, and each one further back longer by this part, up to a limit: if
# the first few die together, all others read for themselves once.
PATIENCE = 1.4
STEP = 0.1
MOST_STEPS = 4
# The first in line asks a store that is away this often, and tells the others
# when it is back.  These ask less often, since each call is paid for.
RETRY_MS = 200


class PollCycle(typing.NamedTuple):
    """How a topic is read: how long a read may wait, and the gap after it."""

    wait_ms: int
    gap_ms: int

    @property
    def cycle_ms(self):
        """Return the time from one read to the next."""
        return self.wait_ms + self.gap_ms


def group(own, others):
    """Return the gateways that one of them reads for, in their line."""
    names = sorted({own, *others})
    groups = max(1, round(len(names) / GROUP_SIZE))
    return names[names.index(own) % groups :: groups]


def rank(own, others):
    """Return the place of ``own`` in line; the first, 0, reads.

    ``others`` are the addresses of the gateways that are heard and serve.
    """
    return group(own, others).index(own)


def max_age_ms(pace, rank_in_group):
    """Return how old the last known read may get before the next own one."""
    if rank_in_group == 0:
        return pace.gap_ms
    steps = min(rank_in_group - 1, MOST_STEPS)
    return pace.cycle_ms * (PATIENCE + STEP * steps)


def retry_ms(pace, rank_in_group):
    """Return how long to wait after a call that failed."""
    return min(max(RETRY_MS, pace.cycle_ms), RETRY_MS * (1 + rank_in_group))
