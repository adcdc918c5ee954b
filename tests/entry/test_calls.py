"""What an entry tells the copies of a booking that another one runs."""

import types
import unittest

import anyio

from clementinewall import clock
from clementinewall.entry import calls
from clementinewall import errors
from clementinewall.membership import members
from clementinewall.records import bookings
from tests.membership import test_members

OTHER = test_members.row(1, "home")
CALL = calls.Call(
    "r", "clinic", "booking", "orders", "POST", "/", "k", "", "", 20_000
)
RUN_MS = 1_000


class _Partition:
    """A partition with one intent, whose outcome comes after a time."""

    def __init__(self, ticker):
        self._clock = ticker
        self._ends_at = ticker.now() + RUN_MS
        self._intent = bookings.Intent("i", "k", "d")
        self.is_lost = False

    def booking(self, _key):
        """Return the booking as the log has it now."""
        found = bookings.Booking(self._intent, 0, OTHER.boot)
        if self.is_lost or self._clock.now() < self._ends_at:
            return found
        outcome = bookings.Outcome("i", "k", "ran", 200, "done")
        return found._replace(state="ran", outcome=outcome)

    async def wait_change(self, timeout_ms):
        """Let time pass."""
        self._clock.advance(timeout_ms)


class Copies(unittest.TestCase):
    """An entry that has just started, and a booking that runs elsewhere."""

    def setUp(self):
        """Know no other entry."""
        self.clock = clock.ManualClock(100_000)
        self.members = members.Members(
            test_members.row(0, "home"), test_members.LIMITS, self.clock.now
        )
        node = types.SimpleNamespace(clock=self.clock, members=self.members)
        self.calls = calls.Calls(node, None, None)
        self.partition = _Partition(self.clock)

    def answer(self):
        """Return what a copy of the booking gets."""
        return anyio.run(self.calls._await_outcome, self.partition, CALL)

    def test_an_entry_that_has_heard_nobody_waits_for_the_outcome(self):
        # Guards against 409 while a process that isn't heard yet runs it.
        self.assertEqual(self.answer().body, "done")

    def test_a_booking_of_a_process_that_has_ended_is_in_doubt(self):
        # Guards against copies that wait for an outcome which never comes.
        self.members.merge_row(OTHER)
        self.partition.is_lost = True
        begun_at = self.clock.now()
        with self.assertRaises(errors.BookingInDoubt) as caught:
            self.answer()
        self.assertIsNone(caught.exception.retry_after_ms)
        self.assertLess(
            self.clock.now() - begun_at,
            test_members.LIMITS.dead_after_ms
            + 2 * calls.OWNER_CHECK_INTERVAL_MS,
        )
