"""Cells: which gateways and engines work together, as a pure function.

Gateways that share an engine have to send each other every prompt that they
place there.  Among all gateways of a large deployment that traffic grows with
the square of their number.  So gateways and engines are assigned to cells of
about the size of a small deployment, and the cost for each gateway stays the
same however many there are.  The drawback is that a cell's engines can't serve
another cell; callers choose gateways at random, so the cells' loads differ
little.

All gateways that see the same members compute the same assignment.  While
their views differ, they briefly misjudge some engine's load, and nothing else.
"""

import typing
import zlib

# In smaller cells fewer gateways share an engine, but there are fewer engines
# to choose from.
GATEWAYS_PER_CELL = 8


class Cell(typing.NamedTuple):
    """The members of one cell."""

    gateways: frozenset
    engines: frozenset


class Engine(typing.NamedTuple):
    """An engine to assign; each service and stage is spread evenly."""

    id: str
    service: str
    stage: str


def count(gateways, engines):
    """Return how many cells there are."""
    by_gateways = round(gateways / GATEWAYS_PER_CELL)
    # A cell needs an engine of each stage and a second one as a spare.
    by_engines = engines // 4
    return max(1, min(by_gateways, by_engines))


def assign(own, gateways, engines):
    """Return the cell of the gateway ``own``, one of ``gateways``.

    ``engines`` are :class:`Engine`; the result names them by id.
    """
    names = sorted(gateways)
    cells = count(len(names), len(engines))
    cell_by_gateway = _fill(names, _quotas(len(names), cells, 0))
    mine = cell_by_gateway[own]
    return Cell(
        frozenset(n for n in names if cell_by_gateway[n] == mine),
        frozenset(_engines(mine, cells, engines)),
    )


def _engines(mine, cells, engines):
    """Yield the ids of a cell's engines, a share of each service and stage.

    The larger shares of a stage go to the cells after those that got the
    larger shares of the stage before, so that the totals are even too.
    """
    ids_by_kind = {}
    for engine in engines:
        kind = engine.service, engine.stage
        ids_by_kind.setdefault(kind, []).append(engine.id)
    first = 0
    for kind in sorted(ids_by_kind):
        ids = sorted(ids_by_kind[kind])
        cell_by_id = _fill(ids, _quotas(len(ids), cells, first))
        first += len(ids) % cells
        yield from (name for name in ids if cell_by_id[name] == mine)


def _quotas(items, cells, first):
    """Return the number of items per cell, larger ones from ``first`` on."""
    base, larger = divmod(items, cells)
    return [base + ((cell - first) % cells < larger) for cell in range(cells)]


def _fill(names, quotas):
    """Return the cell of each name: by its hash, or the next that isn't full.

    If they were assigned round-robin in sorted order, one lost engine would
    move all that follow it to other cells, whose gateways know nothing of
    their caches and work.
    """
    free = list(quotas)
    cell_by_name = {}
    for name in names:
        cell = zlib.crc32(name.encode()) % len(free)
        while not free[cell]:
            cell = (cell + 1) % len(free)
        free[cell] -= 1
        cell_by_name[name] = cell
    return cell_by_name
