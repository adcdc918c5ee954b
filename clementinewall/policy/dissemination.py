"""How news spreads among all gateways: whom to tell, what, and how old it is.

Each gateway counts heartbeats of its own.  In each round it sends the newest
heartbeats that it knows, of whichever gateway, to two others: to the next in
the ring of all and to the second, then to the fourth and the eighth, and so
on.  How many know a heartbeat nearly doubles with each of these steps, so it
reaches all after little more steps than their number has binary digits, while
each gateway sends and receives as many datagrams per second however many
there are.

Only a gateway itself increases its count, so an old copy that arrives late is
never taken for news, by whichever way it came.
"""

import heapq
import random
import typing

from clementinewall import clock

ROUND_INTERVAL_MS = 200
TARGETS_PER_ROUND = 2
# After this many cycles on average a gateway goes on with any step, so that
# no order of all gateways' steps is a bad one for long.
CYCLES_PER_SHIFT = 8
# One further target in this number of rounds is a gateway that isn't heard:
# it may have started, or been cut off, and know nobody.
ROUNDS_PER_SILENT_TARGET = 5
# Rows per message, so that it fits into a few packets.
MAX_BEATS = 400
MAX_FACTS = 32
# Facts are passed on for this time after they were learned.
FACTS_SPREAD_MS = 1_500


class Facts(typing.NamedTuple):
    """What stays the same for one process of a gateway.

    ``incarnation`` grows with each process, ``callers`` is the address for
    callers.
    """

    ip: str
    incarnation: int
    callers: str
    data_centre: str


class Beat(typing.NamedTuple):
    """A heartbeat of a gateway's process; ``count`` grows with each one.

    ``sent_at`` is when it was sent, by the clock of the process that knows it:
    ages are passed on, and the time on the way is taken for none.
    """

    ip: str
    incarnation: int
    count: int
    is_ready: bool
    sent_at: clock.Millis


class OwnProcess:
    """The facts of this process and the count of its heartbeats."""

    def __init__(self, facts, now):
        """Start to count; ``now`` returns the time in milliseconds."""
        self.facts = facts
        self.started_at = now()
        self._now = now
        self._count = 0

    def beat(self, is_ready):
        """Return a heartbeat to send now."""
        self._count += 1
        return Beat(
            self.facts.ip,
            self.facts.incarnation,
            self._count,
            is_ready,
            self._now(),
        )

    def outdo(self, beat):
        """Start anew above ``beat`` if it isn't from this process.

        Others would take the heartbeats of this process for old ones if the
        time of day was set back since the process before.  Return whether.
        """
        own = self.facts.incarnation, self._count
        if (beat.incarnation, beat.count) <= own:
            return False
        self.facts = self.facts._replace(incarnation=beat.incarnation + 1)
        self.started_at = self._now()
        return True


class Targets:
    """Chooses the gateways to send to."""

    def __init__(self, own, rng=None):
        """Choose for the gateway ``own``; draw silent ones from ``rng``."""
        self._own = own
        self._rng = rng or random.Random()
        self._rounds = 0
        self._step = 0
        self._silent = []

    def next_round(self, ring, silent):
        """Return the addresses to send to in this round.

        ``ring`` are all live gateways with the own one, in an order that all
        share, ``silent`` those that are not known to be alive.
        """
        self._rounds += 1
        found = []
        if len(ring) > 1:
            place = ring.index(self._own)
            for _ in range(TARGETS_PER_ROUND):
                step = 1 << self._next_step(len(ring))
                found.append(ring[(place + step) % len(ring)])
        if self._rounds % ROUNDS_PER_SILENT_TARGET == 0 or not found:
            found += self._next_silent(silent)
        return [ip for ip in dict.fromkeys(found) if ip != self._own]

    def _next_step(self, size):
        """Return the next power of two to step by in a ring of ``size``."""
        steps = (size - 1).bit_length()
        self._step = (self._step + 1) % steps
        if not self._step and not self._rng.randrange(CYCLES_PER_SHIFT):
            self._step = self._rng.randrange(steps)
        return self._step

    def _next_silent(self, silent):
        """Return one silent gateway, each in turn."""
        while silent:
            if not self._silent:
                self._silent = sorted(silent)
                self._rng.shuffle(self._silent)
            ip = self._silent.pop()
            if ip in silent:
                return [ip]
        return []


def children(own, origin, names):
    """Return to whom ``own`` passes on what ``origin`` sends to ``names``.

    All are placed in a binary tree with ``origin`` at its root, in an order
    that all with the same ``names`` share.
    """
    ring = sorted({own, origin, *names})
    root = ring.index(origin)
    places = ring[root:] + ring[:root]
    first = 2 * places.index(own) + 1
    return places[first : first + 2]


def freshest(beats, since, limit=MAX_BEATS):
    """Return the newest heartbeats, of those sent at ``since`` or later.

    Older ones are left out: those who need them have them already.
    """
    recent = [beat for beat in beats if beat.sent_at >= since]
    if len(recent) > limit:
        recent = heapq.nlargest(limit, recent, key=lambda b: b.sent_at)
    return recent
