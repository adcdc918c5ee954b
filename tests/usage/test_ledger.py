"""What a candidate knows of the counts of all gateways."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall import domain
from clementinewall.usage import counter
from clementinewall.usage import ledger
from clementinewall.usage import window_clock

WINDOW_MS = 5_000
FIRST, SECOND = "10.0.0.1", "10.0.0.2"


class Counts(unittest.TestCase):
    """A ledger in window 100."""

    def setUp(self):
        """Begin at the start of a window."""
        self.clock = clock.ManualClock(100 * WINDOW_MS)
        self.windows = window_clock.WindowClock(self.clock, WINDOW_MS)
        self.ledger = ledger.Ledger(self.windows)

    def take(self, ip, process, window, rows, size=None):
        """Take in a message; return whether its window is known in full."""
        return self.ledger.take(ip, [process, window, rows, size])[-1]

    @hypothesis.given(strategies.integers(0, 10**6))
    @hypothesis.settings(derandomize=True, max_examples=40)
    def test_any_order_and_loss_gives_the_true_totals(self, seed):
        # Guards against counts that are lost or doubled by datagrams that
        # are lost, doubled or out of order: what is said to be complete is.
        rng = random.Random(seed)
        self.setUp()
        counters = {
            ip: counter.Counter(self.windows) for ip in (FIRST, SECOND)
        }
        true = {}
        waiting = []
        for step in range(8):
            for ip, source in counters.items():
                for _ in range(rng.randrange(120)):
                    name = f"c{rng.randrange(90)}"
                    source.count(domain.Customer(name, None))
                    if step < 5:
                        true[name] = true.get(name, 0) + 1
                waiting += [(ip, m) for m in source.messages(FIRST)] * 2
            rng.shuffle(waiting)
            for ip, message in waiting[: len(waiting) // 2]:
                reply = self.ledger.take(ip, message)
                if rng.random() < 0.5:
                    counters[ip].confirm(FIRST, reply)
            waiting = waiting[len(waiting) // 2 :]
            if self.ledger.is_complete(100, counters):
                self.assertEqual(
                    self.ledger.totals(100), dict(sorted(true.items()))
                )
            self.clock.advance(1_000)

    def test_rows_of_an_open_window_do_not_make_it_complete(self):
        # Guards against counts that are too low when one of several
        # datagrams of the final counts was lost.
        self.take(FIRST, "p", 100, [["a", 1], ["b", 1]])
        self.assertFalse(self.take(FIRST, "p", 100, [["a", 5]], 2))
        self.assertFalse(self.ledger.is_complete(100, [FIRST]))
        self.assertTrue(self.take(FIRST, "p", 100, [["b", 7]], 2))
        self.assertEqual(self.ledger.totals(100), {"a": 5, "b": 7})

    def test_counts_of_a_killed_process_remain_beside_the_next(self):
        # Guards against the loss of what a gateway counted before a restart.
        self.take(FIRST, "old", 100, [["a", 3]])
        self.assertFalse(self.ledger.is_complete(100, [FIRST]))
        self.take(FIRST, "new", 100, [["a", 2]], 1)
        self.assertEqual(self.ledger.totals(100), {"a": 5})
        self.assertTrue(self.ledger.is_complete(100, [FIRST]))

    def test_each_live_gateway_is_waited_for(self):
        # Guards against a report without a gateway that is late.
        self.take(FIRST, "p", 100, [], 0)
        self.assertTrue(self.ledger.is_complete(100, [FIRST]))
        self.assertFalse(self.ledger.is_complete(100, [FIRST, SECOND]))

    def test_malformed_messages_change_nothing(self):
        # Guards against a datagram that breaks the counts of others.
        bad = (
            [],
            ["p", "100", [], 0],
            ["p", True, [], 0],
            ["p", 100, [["a", -1]], 1],
            ["p", 100, [["a", 1.5]], 1],
            ["p", 100, [["", 1]], 1],
            ["p", 100, [["a"]], 1],
            ["p", 10_000, [], 0],
            ["p", 100, None, 0],
        )
        for data in bad:
            with self.subTest(data):
                with self.assertRaises((TypeError, ValueError)):
                    self.ledger.take(FIRST, data)
        self.assertIsNone(self.ledger.first_window)

    def test_old_windows_are_dropped(self):
        # Guards against memory that grows with time.
        for _ in range(40):
            self.take(FIRST, "p", self.windows.window(), [], None)
            self.clock.advance(WINDOW_MS)
        self.assertGreater(self.ledger.first_window, 120)
