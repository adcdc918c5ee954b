"""Dealing gateways and engines into cells."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import cells


def fleet(gateways, reading, decoding):
    """Return names of gateways and engines of both stages."""
    names = [f"10.0.0.{n}" for n in range(gateways)]
    engines = [
        cells.Engine(f"{stage}-{n}", "model", stage)
        for stage, number in (("prefill", reading), ("decode", decoding))
        for n in range(number)
    ]
    return names, engines


class Deal(unittest.TestCase):
    """``deal`` as each gateway calls it for itself."""

    def test_a_small_deployment_is_one_cell(self):
        names, engines = fleet(8, 2, 3)
        cell = cells.assign(names[0], names, engines)
        self.assertEqual(cell.gateways, set(names))
        self.assertEqual(len(cell.engines), 5)

    @hypothesis.given(
        strategies.integers(1, 80),
        strategies.integers(1, 60),
        strategies.integers(1, 60),
    )
    @hypothesis.settings(derandomize=True, max_examples=200)
    def test_cells_part_the_fleet_evenly(self, gateways, reading, decoding):
        names, engines = fleet(gateways, reading, decoding)
        dealt = [cells.assign(name, names, engines) for name in names]
        # Whoever I share engines with shares them with me.
        for name, cell in zip(names, dealt, strict=True):
            self.assertIn(name, cell.gateways)
            for other in cell.gateways:
                self.assertEqual(dealt[names.index(other)], cell)
        distinct = set(dealt)
        sizes = [len(cell.engines) for cell in distinct]
        self.assertEqual(sum(sizes), len(engines))
        self.assertLessEqual(max(sizes) - min(sizes), 1)

    @hypothesis.given(strategies.integers(0, 44), strategies.integers(0, 60))
    @hypothesis.settings(derandomize=True, max_examples=100)
    def test_one_loss_moves_few_others(self, lost_engine, lost_gateway):
        # An engine crashes, or a gateway is removed.  If all cells were
        # dealt anew, gateways would find no cached prompt where they look
        # for it, and take busy engines for idle ones.
        names, engines = fleet(61, 22, 23)
        left = [e for n, e in enumerate(engines) if n != lost_engine]
        rest = [e for n, e in enumerate(names) if n != lost_gateway]
        moved = {"engines": 0, "gateways": 0}
        for name in rest:
            before = cells.assign(name, names, engines)
            fewer = cells.assign(name, names, left)
            alone = cells.assign(name, rest, engines)
            moved["engines"] += len(fewer.engines - before.engines)
            moved["gateways"] += len(alone.gateways - before.gateways)
        # Each engine is counted once for each of its cell's gateways.
        self.assertLess(moved["engines"] / len(rest) * 8, 45 / 3)
        self.assertLess(moved["gateways"] / len(rest), 8 / 3)

    @hypothesis.given(strategies.integers(8, 400))
    @hypothesis.settings(derandomize=True)
    def test_a_cell_stays_small_however_many_gateways(self, gateways):
        # Its gateways tell each other every prompt: were a cell to grow with
        # the deployment, so would what each gateway sends.
        names, engines = fleet(gateways, 3 * gateways, 3 * gateways)
        cell = cells.assign(names[0], names, engines)
        self.assertLessEqual(len(cell.gateways), 2 * cells.GATEWAYS_PER_CELL)
