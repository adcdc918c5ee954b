"""Which gateways to ask for a tunnel to an endpoint, as a pure function."""

import typing

# So many gateways are asked for one connection.
MAX_ASKED = 8


class Candidate(typing.NamedTuple):
    """A gateway that may be asked.

    ``has_failed`` tells that it lately could not connect to the endpoint, and
    ``is_proven`` that it could.
    """

    ip: str
    data_centre: str
    has_failed: bool = False
    is_proven: bool = False


def order(candidates, data_centre, rng):
    """Return the addresses of the gateways to ask, the best first.

    Gateways of the own ``data_centre`` come before others, since bytes between
    data centres are charged.  Those that are equally good are drawn by
    ``rng``, so that no gateway carries the tunnels of all others.
    """
    drawn = rng.sample(candidates, len(candidates))
    drawn.sort(
        key=lambda each: (
            each.has_failed,
            not each.is_proven,
            each.data_centre != data_centre,
        )
    )
    return [each.ip for each in drawn[:MAX_ASKED]]
