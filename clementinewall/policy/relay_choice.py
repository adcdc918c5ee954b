"""Which gateways to ask for a tunnel to an endpoint, as a pure function."""

import math
import typing

# So many gateways are asked for one connection.
MAX_ASKED = 8
# Of those that may be cut off themselves, so many may stand in the own data
# centre: what cuts it off mostly cuts all of it off.
MAX_NEAR = 4
# Who was asked within this time, and has not connected, is asked again last.
ASKED_LATELY_MS = 10_000


class Candidate(typing.NamedTuple):
    """A gateway that may be asked.

    ``has_failed`` tells that it lately could not connect to the endpoint, and
    ``is_proven`` that it could; ``connects`` that it lately connected to any
    endpoint.  It was not asked for ``asked_ms``, infinite if never.
    """

    ip: str
    data_centre: str
    has_failed: bool = False
    is_proven: bool = False
    connects: bool = False
    asked_ms: float = math.inf


def order(candidates, data_centre, rng):
    """Return the addresses of the gateways to ask, the best first.

    Those that reach this endpoint or others come first, of them the gateways
    of the own ``data_centre``, since bytes between data centres are charged.
    Then come those that were not asked lately, so that the searches for
    several endpoints, and one after the other, ask all gateways before any
    twice, and last those that failed.  Those that are equally good are drawn
    by ``rng``, so that no gateway carries the tunnels of all others.
    """
    drawn = rng.sample(candidates, len(candidates))
    reaching = [c for c in drawn if _reaches(c)]
    reaching.sort(
        key=lambda each: (not each.is_proven, each.data_centre != data_centre)
    )
    others = [c for c in drawn if not _reaches(c)]
    ordered = reaching
    for group in (
        [c for c in others if not c.has_failed and not _is_asked_lately(c)],
        [c for c in others if not c.has_failed and _is_asked_lately(c)],
        [c for c in others if c.has_failed],
    ):
        ordered += _spread(group, data_centre)
    return [each.ip for each in ordered[:MAX_ASKED]]


def _reaches(candidate):
    return not candidate.has_failed and (
        candidate.is_proven or candidate.connects
    )


def _is_asked_lately(candidate):
    return candidate.asked_ms < ASKED_LATELY_MS


def _spread(candidates, data_centre):
    """Return a few of the own data centre, then as many of others, ..."""
    ordered = sorted(candidates, key=lambda each: -each.asked_ms)
    near = [each for each in ordered if each.data_centre == data_centre]
    far = [each for each in ordered if each.data_centre != data_centre]
    far_first = far[: MAX_ASKED - MAX_NEAR]
    return [
        *near[:MAX_NEAR],
        *far_first,
        *near[MAX_NEAR:],
        *far[len(far_first) :],
    ]
