"""Which gateway polls the store, and when others read it."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import store_polling

CYCLE = store_polling.PollCycle(0, 500)


class Polling(unittest.TestCase):
    """Gateways that receive each other's heartbeats, and some that don't."""

    @hypothesis.given(strategies.integers(1, 400))
    @hypothesis.settings(derandomize=True, max_examples=60)
    def test_one_gateway_of_each_group_polls(self, gateways):
        names = [f"10.0.{n // 200}.{n % 200}" for n in range(gateways)]
        groups = {
            tuple(store_polling.group(n, names, gateways)) for n in names
        }
        self.assertEqual(sorted(sum(map(list, groups), [])), sorted(names))
        self.assertLess(max(map(len, groups)), 1.5 * store_polling.GROUP_SIZE)
        readers = [
            n for n in names if store_polling.rank(n, names, gateways) == 0
        ]
        self.assertEqual(len(readers), len(groups))

    def test_a_gateway_that_only_some_hear_moves_nobody(self):
        # Guards against gateways that wait for updates of a reader which
        # counts them to another group.
        names = [f"10.0.{n // 200}.{n % 200}" for n in range(195)]
        whole = store_polling.group(names[7], names, len(names))
        for missing in names:
            if missing != names[7]:
                seen = [name for name in names if name != missing]
                found = store_polling.group(names[7], seen, len(names))
                self.assertEqual(found, [n for n in whole if n != missing])

    def test_an_isolated_gateway_polls(self):
        # A gateway that is partitioned from all others receives no updates.
        # If it waited for them, it would serve with an old configuration.
        self.assertEqual(store_polling.rank("10.0.0.7", [], 1), 0)

    def test_the_time_out_is_bounded_at_any_rank(self):
        # All gateways but the last are killed at once, and it still counts
        # them as live: it must read before the deployment's bound, which is
        # four cycles for the fleet.
        waits = [store_polling.max_age_ms(CYCLE, n) for n in range(100)]
        self.assertEqual(waits, sorted(waits))
        self.assertEqual(waits[0], CYCLE.gap_ms)
        self.assertGreater(waits[1], CYCLE.cycle_ms)
        self.assertLessEqual(max(waits), 2 * CYCLE.cycle_ms)

    def test_an_unreachable_store_is_retried_by_few(self):
        # The store is unreachable for nine seconds.  If all of 61 gateways
        # retried five times a second, each refused call would be billed.
        waits = [store_polling.retry_ms(CYCLE, n) for n in range(61)]
        calls_a_second = sum(1_000 / wait for wait in waits)
        self.assertLess(calls_a_second, 61 * 2.1)
        self.assertEqual(waits[0], store_polling.RETRY_MS)

    @hypothesis.given(
        strategies.integers(0, 2_000),
        strategies.integers(0, 2_000),
        strategies.integers(0, 63),
    )
    @hypothesis.settings(derandomize=True)
    def test_no_retry_delay_exceeds_a_cycle(self, wait_ms, gap_ms, rank):
        # Announcements may be lost when the store is back; then each gateway
        # has to find out itself, within the deployment's bound.
        cycle = store_polling.PollCycle(wait_ms, gap_ms)
        found = store_polling.retry_ms(cycle, rank)
        self.assertGreaterEqual(found, store_polling.RETRY_MS)
        longest = max(cycle.cycle_ms, store_polling.RETRY_MS)
        self.assertLessEqual(found, longest)


class LineTest(unittest.TestCase):
    """Gateways in three data centres."""

    def setUp(self):
        """Have a large data centre and two small ones."""
        self.data_centre_by_name = {f"a{n}": "a" for n in range(24)}
        self.data_centre_by_name.update({"b1": "b", "b2": "b", "c1": "c"})

    def order(self, names=None):
        """Return the line, by default of all."""
        names = self.data_centre_by_name if names is None else names
        return store_polling.in_turns(names, self.data_centre_by_name)

    def test_the_loss_of_a_data_centre_costs_few_places(self):
        # Guards against a line whose whole front shares a fault.
        self.assertEqual(self.order()[:5], ["a0", "b1", "c1", "a1", "b2"])

    def test_all_stand_in_it_once_whatever_order_they_are_known_in(self):
        known = list(self.data_centre_by_name)
        random.Random(1).shuffle(known)
        self.assertEqual(self.order(known), self.order())
        self.assertEqual(sorted(self.order()), sorted(known))

    def test_one_data_centre_stands_by_name(self):
        self.assertEqual(self.order(["a2", "a0", "a1"]), ["a0", "a1", "a2"])
