"""Assignment of gateways and engines to cells."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import cells


def fleet(gateways, prefill_count, decode_count):
    """Return names of gateways and engines of both stages."""
    names = [f"10.0.0.{n}" for n in range(gateways)]
    engines = [
        cells.Engine(f"{stage}-{n}", "model", stage)
        for stage, number in (
            ("prefill", prefill_count),
            ("decode", decode_count),
        )
        for n in range(number)
    ]
    return names, engines


class Assign(unittest.TestCase):
    """``assign`` as each gateway calls it for itself."""

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
    def test_cells_are_consistent_and_of_even_size(
        self, gateways, prefill_count, decode_count
    ):
        names, engines = fleet(gateways, prefill_count, decode_count)
        cells_found = [cells.assign(name, names, engines) for name in names]
        # All gateways of a cell compute the same cell.
        for name, cell in zip(names, cells_found, strict=True):
            self.assertIn(name, cell.gateways)
            for other in cell.gateways:
                self.assertEqual(cells_found[names.index(other)], cell)
        distinct = set(cells_found)
        sizes = [len(cell.engines) for cell in distinct]
        self.assertEqual(sum(sizes), len(engines))
        self.assertLessEqual(max(sizes) - min(sizes), 1)

    @hypothesis.given(strategies.integers(0, 44), strategies.integers(0, 60))
    @hypothesis.settings(derandomize=True, max_examples=100)
    def test_removal_of_one_member_moves_few_others(
        self, lost_engine, lost_gateway
    ):
        # An engine crashes, or a gateway is removed.  If all members were
        # reassigned, gateways would miss cached prompts and take busy engines
        # for idle ones.
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
        # Gateways of a cell send each other every prompt: if cells grew with
        # the deployment, so would the traffic of each gateway.
        names, engines = fleet(gateways, 3 * gateways, 3 * gateways)
        cell = cells.assign(names[0], names, engines)
        self.assertLessEqual(len(cell.gateways), 2 * cells.GATEWAYS_PER_CELL)
