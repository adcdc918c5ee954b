"""Bookings streams: at most one dispatch per key, by log order alone."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from clementinewall import _schema
from clementinewall.records import bookings

KEYS = ["k1"]
PROCESSES = ["p", "q"]


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Processes append intents, read with delays, dispatch and crash.

    Appends may be lost or duplicated.  A process dispatches a call only when
    its own intent is the open one for the key in what it has read.
    """

    def __init__(self):
        """Start with an empty stream and readers at its start."""
        super().__init__()
        self.stream = []
        self.serial = 0
        self.table = {p: bookings.Table(100) for p in PROCESSES}
        self.own = {p: {} for p in PROCESSES}
        self.runs = {}

    @stateful.rule(
        p=st.sampled_from(PROCESSES),
        key=st.sampled_from(KEYS),
        copies=st.sampled_from([1, 2, 0]),
    )
    def append_intent(self, p, key, copies):
        """Append an intent, or append it twice, or lose it."""
        booking = self.table[p].booking_by_key.get(key)
        if booking is not None and booking.state != "not_run":
            return
        self.serial += 1
        intent = bookings.Intent(str(self.serial), key, "d")
        self.own[p][intent.id] = intent
        commit = bookings.Commit(p, (intent,))
        self.stream.extend([_schema.plain(commit)] * copies)

    @stateful.precondition(lambda self: self._behind())
    @stateful.rule(data=st.data(), count=st.sampled_from([1, 2, 9]))
    def read(self, data, count):
        """Read some records, then dispatch the calls that are allowed."""
        p = data.draw(st.sampled_from(self._behind()))
        table = self.table[p]
        for offset in range(table.next, table.next + count):
            if offset < len(self.stream):
                table.apply(offset, self.stream[offset])
        self._dispatch(p, data.draw(st.sampled_from([True, False])))

    def _behind(self):
        end = len(self.stream)
        return [p for p in PROCESSES if self.table[p].next < end]

    def _dispatch(self, p, ran):
        for key, booking in self.table[p].booking_by_key.items():
            intent = self.own[p].pop(booking.intent.id, None)
            if intent is None or booking.state != "open":
                continue
            if ran:
                self.runs[key] = self.runs.get(key, 0) + 1
            state = "ran" if ran else "not_run"
            outcome = bookings.Outcome(intent.id, key, state)
            commit = bookings.Commit(p, (), (outcome,))
            self.stream.append(_schema.plain(commit))

    @stateful.rule(p=st.sampled_from(PROCESSES))
    def crash(self, p):
        """Lose all memory; a new process reads from the start."""
        self.own[p] = {}
        self.table[p] = bookings.Table(100)

    @stateful.invariant()
    def at_most_once(self):
        """No key ran twice."""
        assert all(count <= 1 for count in self.runs.values()), self.runs


AtMostOnceTest = AtMostOnce.TestCase
AtMostOnceTest.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=25
)


class TableTest(unittest.TestCase):
    """Dropped keys, tickets and outcomes of other intents."""

    def test_a_ticket_whose_intent_was_dropped_is_expired(self):
        """A call could run twice if its dropped ticket were taken for new.

        The caller resends with a ticket after the log dropped its intent.
        """
        table = bookings.Table(10)
        ticket = "caller/" + bookings.make_ticket(3, 5, "r")
        intent = bookings.Intent("1", ticket, "d")
        table.begin(5)
        table.apply(5, _schema.plain(bookings.Commit("p", (intent,))))
        self.assertFalse(table.is_expired(ticket))
        table.begin(6)
        self.assertNotIn(ticket, table.booking_by_key)
        self.assertTrue(table.is_expired(ticket))
        self.assertEqual(3, bookings.partition_of(ticket))

    def test_an_outcome_of_another_intent_leaves_the_booking_open(self):
        """A running call could be marked as not run and dispatched again.

        A process appends the outcome of an intent that lost its key to
        another one, which must stay open.
        """
        table = bookings.Table(10)
        first = bookings.Intent("1", "k", "d")
        late = bookings.Outcome("2", "k", "not_run")
        table.apply(0, _schema.plain(bookings.Commit("p", (first,))))
        table.apply(1, _schema.plain(bookings.Commit("q", (), (late,))))
        self.assertEqual("open", table.booking_by_key["k"].state)

    @hypothesis.given(st.text(max_size=40))
    def test_any_key_has_a_partition(self, key):
        """Every key that a caller may send maps to a valid partition."""
        partition = bookings.partition_of(key)
        self.assertIn(partition, range(bookings.PARTITIONS))


if __name__ == "__main__":
    unittest.main()
