"""Cells: which gateways and engines work together, as a pure function.

Gateways that share an engine have to tell each other every prompt they send
there.  Among all gateways of a large deployment that grows with the square of
their number: 61 of them, each at its limit of 500 datagrams a second, are
worked out at 30,000 a second.  So gateways and
engines are dealt into cells of about the size of a small deployment, and the
cost for each gateway stays the same however many there are.  The price is
that a cell's engines can't help another cell; callers spread over gateways at
random, so the cells' loads differ little.

All gateways that see the same members deal alike; while their views differ,
they misjudge some engine's load for a moment, and nothing else.
"""

import typing

# Gateways in a cell.  Seven and eight gateways in front of five and six
# engines were measured; smaller cells leave an engine's load to fewer
# gateways but have fewer engines to choose from.
GATEWAYS = 8


class Cell(typing.NamedTuple):
    """The members of one cell."""

    gateways: frozenset
    engines: frozenset


class Engine(typing.NamedTuple):
    """An engine to be dealt: those of each service and stage evenly."""

    id: str
    service: str
    stage: str


def count(gateways, engines):
    """Return how many cells there are."""
    by_gateways = round(gateways / GATEWAYS)
    # A cell needs an engine of each stage, and another one beside it.
    by_engines = engines // 4
    return max(1, min(by_gateways, by_engines))


def deal(own, gateways, engines):
    """Return the cell of the gateway ``own``, one of ``gateways``.

    ``engines`` are :class:`Engine`; the result names them by id.
    """
    names = sorted(gateways)
    cells = count(len(names), len(engines))
    mine = names.index(own) % cells
    return Cell(
        frozenset(names[mine::cells]),
        frozenset(_dealt(mine, cells, engines)),
    )


def _dealt(mine, cells, engines):
    """Deal the engines in turn, going on where the last group ended."""
    ordered = sorted(engines, key=lambda e: (e.service, e.stage, e.id))
    return (engine.id for engine in ordered[mine::cells])
