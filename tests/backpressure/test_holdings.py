"""What is held for callers, and which connections are closed beyond."""

import contextlib
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.backpressure import holdings
from clementinewall import clock
from clementinewall import errors

MEMORY_MB = 80.0
LIMIT = int(MEMORY_MB * holdings.BYTES_PER_MB * holdings.MEMORY_FRACTION)
WHOLE_LIMIT = int(LIMIT * holdings.WHOLE_FRACTION)


class FakeConnection:
    """A connection whose peer reads only what a test lets it."""

    def __init__(self):
        """Start open, with nothing to send."""
        self.unsent_bytes = 0
        self.is_closed = False

    def abort(self):
        """Close."""
        self.is_closed = True


class HoldingsCase(unittest.TestCase):
    """The holdings of one process."""

    def setUp(self):
        """Start without connections."""
        self.ticker = clock.ManualClock(100_000)
        self.holdings = holdings.Holdings(MEMORY_MB, self.ticker.now)

    def waiting(self, size, found=None):
        """Return a connection of which ``size`` bytes are not read."""
        connection = FakeConnection()
        connection.unsent_bytes = size
        (found or self.holdings).begin_wait(connection, 0)
        return connection


class Waiting(HoldingsCase):
    """Connections whose peers take no more bytes."""

    def test_the_one_that_has_waited_longest_is_closed(self):
        # Guards against a process that grows until it is killed, and against
        # callers that are closed in place of those that read nothing.
        rows = []
        for _ in range(4):
            rows.append(self.waiting(LIMIT // 4))
            self.ticker.advance(10)
        self.assertFalse(any(row.is_closed for row in rows))
        rows.append(self.waiting(LIMIT // 8))
        self.assertEqual([row.is_closed for row in rows], [True, *[False] * 4])

    def test_a_caller_that_reads_goes_after_one_that_does_not(self):
        # Guards against closing the caller of a large answer that reads it.
        reads = self.waiting(LIMIT // 2)
        self.ticker.advance(10)
        stalls = self.waiting(LIMIT // 2)
        self.ticker.advance(10)
        reads.unsent_bytes -= 1_000
        self.waiting(LIMIT // 4)
        self.assertTrue(stalls.is_closed)
        self.assertFalse(reads.is_closed)

    def test_what_was_sent_counts_no_more(self):
        # Guards against closing callers for what was read long ago.
        first = self.waiting(LIMIT)
        self.holdings.end_wait(first)
        self.assertEqual(self.holdings.held_bytes, 0)
        second = self.waiting(LIMIT)
        self.assertFalse(first.is_closed or second.is_closed)
        self.holdings.forget(second)
        self.assertEqual(self.holdings.held_bytes, 0)

    def test_without_a_known_limit_nothing_is_closed(self):
        # Guards against a bound of zero where settings name no memory.
        found = holdings.Holdings(0, self.ticker.now)
        rows = [self.waiting(10**9, found) for _ in range(9)]
        self.assertFalse(any(row.is_closed for row in rows))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("wait", "end", "forget", "read")),
                strategies.integers(0, 4),
                strategies.integers(0, LIMIT),
            ),
            max_size=40,
        )
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_the_bound_holds_and_nothing_is_left(self, steps):
        # Guards against a sum that drifts, after which all callers are closed
        # or none.
        found = holdings.Holdings(MEMORY_MB, self.ticker.now)
        rows = [FakeConnection() for _ in range(5)]
        for action, index, size in steps:
            self.ticker.advance(5)
            connection = rows[index]
            if action == "wait":
                connection.unsent_bytes = size
                found.begin_wait(connection, size // 2)
            elif action == "read":
                connection.unsent_bytes = min(connection.unsent_bytes, size)
            elif action == "end":
                connection.unsent_bytes = 0
                found.end_wait(connection)
            else:
                found.forget(connection)
            self.assertLessEqual(found.held_bytes, LIMIT)
            self.assertGreaterEqual(found.held_bytes, 0)
        for connection in rows:
            found.forget(connection)
        self.assertEqual(found.held_bytes, 0)


class Holding(HoldingsCase):
    """Large answers that are kept whole."""

    def test_small_answers_always_have_room(self):
        # Guards against ordinary callers that notice others' answers.
        self.assertTrue(self.holdings.hold(FakeConnection(), WHOLE_LIMIT))
        self.assertTrue(
            self.holdings.hold(
                FakeConnection(), holdings.MIN_RESERVED_BYTES - 1
            )
        )

    def test_answers_beyond_the_bound_are_not_kept(self):
        # Guards against answers that together exceed the memory, and against
        # closing callers that read.
        first = FakeConnection()
        self.assertTrue(self.holdings.hold(first, WHOLE_LIMIT))
        second = FakeConnection()
        self.assertFalse(self.holdings.hold(second, WHOLE_LIMIT // 2))
        self.assertFalse(first.is_closed)
        self.assertEqual(self.holdings.held_bytes, WHOLE_LIMIT)
        self.holdings.forget(first)
        self.assertTrue(self.holdings.hold(second, WHOLE_LIMIT // 2))

    def test_an_answer_grows_until_there_is_no_room(self):
        # Guards against answers whose length is known only once they are
        # read, which count as nothing until then.
        first, second = FakeConnection(), FakeConnection()
        half = WHOLE_LIMIT // 2
        self.assertTrue(self.holdings.hold(first, half))
        sizes = range(holdings.MIN_RESERVED_BYTES, WHOLE_LIMIT, 10_000)
        held = [size for size in sizes if self.holdings.hold(second, size)]
        self.assertLessEqual(self.holdings.held_bytes, WHOLE_LIMIT)
        self.assertLess(half - held[-1], 10_000)
        # It becomes less while it is sent.
        self.assertTrue(self.holdings.hold(second, half // 2))
        self.assertEqual(self.holdings.held_bytes, half + half // 2)
        self.holdings.forget(first)
        self.holdings.forget(second)
        self.assertEqual(self.holdings.held_bytes, 0)

    def test_slow_callers_of_kept_answers_are_not_closed(self):
        # Guards against callers that are closed while they read, though their
        # answers were within the bound.
        rows = [FakeConnection() for _ in range(4)]
        for row in rows:
            self.assertTrue(self.holdings.hold(row, WHOLE_LIMIT // 4))
        for row in rows:
            row.unsent_bytes = 65_536
            self.holdings.begin_wait(row, 131_072)
            self.ticker.advance(10)
        self.waiting(LIMIT // 4)
        self.assertFalse(any(row.is_closed for row in rows))

    def test_a_caller_that_stopped_reading_makes_room(self):
        # Guards against a process that grows since callers left their
        # connections open.
        first = FakeConnection()
        self.assertTrue(self.holdings.hold(first, WHOLE_LIMIT))
        first.unsent_bytes = 1_000
        self.holdings.begin_wait(first, WHOLE_LIMIT)
        self.ticker.advance(10)
        self.waiting(LIMIT - WHOLE_LIMIT + 1)
        self.assertTrue(first.is_closed)

    def test_a_second_attempt_replaces_the_answer_of_the_first(self):
        # Guards against a call that finds no room beside its own answer.
        connection = FakeConnection()
        for _ in range(2):
            self.assertTrue(self.holdings.hold(connection, WHOLE_LIMIT))
        self.assertEqual(self.holdings.held_bytes, WHOLE_LIMIT)

    def test_without_a_known_limit_all_is_kept(self):
        # Guards against a bound of zero where settings name no memory.
        found = holdings.Holdings(0, self.ticker.now)
        self.assertTrue(found.hold(FakeConnection(), 10**9))


class Bodies(unittest.TestCase):
    """The bodies of open requests."""

    def setUp(self):
        """Start without requests."""
        self.ticker = clock.ManualClock(100_000)
        self.bodies = holdings.RequestBodies(MEMORY_MB, self.ticker.now)
        limit = MEMORY_MB * holdings.BYTES_PER_MB * holdings.BODIES_FRACTION
        # So many of one service fit.
        self.size = int(limit * holdings.SERVICE_FRACTION / 3)

    def test_slow_endpoints_of_a_service_leave_room_for_others(self):
        # Guards against a process that grows until it is killed, with all its
        # requests, while some endpoints read slowly.
        with contextlib.ExitStack() as held:
            for _ in range(3):
                held.enter_context(self.bodies.hold("slow", self.size))
                self.ticker.advance(1_000)
            with self.assertRaises(errors.NoRoom) as caught:
                held.enter_context(self.bodies.hold("slow", self.size))
            self.assertEqual(caught.exception.retry_after_ms, 1_000)
            held.enter_context(self.bodies.hold("other", self.size))
            with self.assertRaises(errors.NoRoom):
                held.enter_context(self.bodies.hold("third", self.size))
            for service in ("slow", "third"):
                with self.bodies.hold(service, 1_000):
                    pass
        self.assertEqual(self.bodies.held_bytes, 0)
        with self.bodies.hold("slow", self.size):
            self.assertEqual(self.bodies.held_bytes, self.size)

    def test_a_body_beyond_the_bound_is_held_alone(self):
        # Guards against requests that are refused without end.
        with self.bodies.hold("a", 9 * self.size):
            with self.assertRaises(errors.NoRoom):
                with self.bodies.hold("b", self.size):
                    pass
        with holdings.RequestBodies(0, self.ticker.now).hold("a", 10**12):
            pass
