"""What the holder decides, writes and sends."""

import json
import unittest

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.platform import duty_calls
from clementinewall.usage import ledger
from clementinewall.usage import reporting
from clementinewall.usage import window_clock

WINDOW_MS = 5_000
FIRST, SECOND = "10.0.0.1", "10.0.0.2"
Outcome = duty_calls.Outcome


class FakeHolder:
    """The values under the lease, shared by all holders of a test."""

    def __init__(self, store):
        """Use ``store``, a dict that all holders share."""
        self._store = store
        self.value_by_key = {}
        self.may_hold = True
        self.is_store_up = True
        self.loses_answers = False

    def is_acting(self):
        """Return whether this one has claimed."""
        return self.may_hold and bool(self.value_by_key)

    async def ensure(self):
        """Claim the lease, which reads the values."""
        if self.may_hold:
            self.value_by_key = dict(self._store)
        return self.may_hold

    async def write(self, key, value, previous):
        """Write a value."""
        if not self.is_store_up:
            raise errors.LogUnavailable("no answer")
        if self._store.get(key) != previous:
            return False
        self._store[key] = value
        if self.loses_answers:
            raise errors.LogUnavailable("no answer")
        self.value_by_key[key] = value
        return True


class FakeClient:
    """The duty service; all reports that came, in their order."""

    def __init__(self):
        """Accept everything."""
        self.outcome = Outcome.ACCEPTED
        self.sent = []

    async def send(self, call):
        """Take in a call."""
        self.sent.append(json.loads(call.body))
        return self.outcome


class Reports(unittest.TestCase):
    """Two gateways that may report."""

    def setUp(self):
        """Begin at the start of window 100."""
        self.clock = clock.ManualClock(100 * WINDOW_MS)
        self.windows = window_clock.WindowClock(self.clock, WINDOW_MS)
        self.store = {}
        self.live = {FIRST}
        self.service = FakeClient()
        self.first = self.reporter()
        self.second = self.reporter()

    def reporter(self):
        """Return a reporter with a ledger and a holder of its own."""
        found = reporting.UsageReporter(
            FakeHolder(self.store),
            self.service,
            ledger.Ledger(self.windows),
            self.windows,
            lambda: self.live,
            self.clock,
        )
        return found

    def take(self, reporter, rows, size=None, window=None):
        """Give counts of the current window to a reporter."""
        window = self.windows.window() if window is None else window
        reporter._ledger.take(FIRST, ["p", window, rows, size])

    def poll(self, reporter, ms=0):
        """Poll, after ``ms`` in steps."""
        for _ in range(0, ms, 250):
            self.clock.advance(250)
            anyio.run(reporter.poll)
        anyio.run(reporter.poll)

    def windows_sent(self):
        """Return the windows of the reports sent."""
        return [body["window"] for body in self.service.sent]

    def assert_reports_agree(self):
        """Check that all reports of a window are the same."""
        known = {}
        for body in self.service.sent:
            counts = known.setdefault(body["window"], body["counts"])
            self.assertEqual(counts, body["counts"])

    def test_complete_window_is_reported_early_and_once(self):
        # Guards against reports before the last counts, and repeated ones.
        self.take(self.first, [["a", 2]], 1)
        self.poll(self.first, WINDOW_MS)
        self.assertEqual(self.service.sent, [])
        self.poll(self.first, 1_000)
        self.poll(self.first, 1_000)
        self.assertEqual(
            self.service.sent, [{"window": 100, "counts": {"a": 2}}]
        )

    def test_missing_gateway_is_waited_for_six_seconds(self):
        # Guards against reports without a late gateway, and against a report
        # that a silent gateway holds up beyond the time it is due.
        self.live = {FIRST, SECOND}
        self.take(self.first, [["a", 2]], 1)
        self.poll(self.first, WINDOW_MS + 5_500)
        self.assertEqual(self.service.sent, [])
        self.poll(self.first, 1_000)
        self.assertEqual(self.windows_sent(), [100])

    def test_nothing_is_sent_that_is_not_written(self):
        # Guards against two reports of a window, one of them unwritten.
        self.first._holder.is_store_up = False
        self.take(self.first, [["a", 2]], 1)
        self.poll(self.first, WINDOW_MS + 4_000)
        self.assertEqual(self.service.sent, [])
        self.first._holder.is_store_up = True
        self.poll(self.first, 2_500)
        self.assertEqual(self.windows_sent(), [100])

    def test_next_holder_sends_what_was_written(self):
        # Guards against two different reports: the holder ends after it has
        # written, and the next one has other counts.
        self.take(self.first, [["a", 2]], 1)
        self.take(self.second, [["a", 9]], 1)
        self.service.outcome = Outcome.LOST
        self.poll(self.first, WINDOW_MS + 1_000)
        self.service.outcome = Outcome.ACCEPTED
        self.take(self.second, [["a", 9]], 1)
        self.poll(self.second, WINDOW_MS + 1_000)
        self.assert_reports_agree()
        self.assertIn({"window": 100, "counts": {"a": 2}}, self.service.sent)

    def test_write_without_an_answer_is_found_by_the_next_claim(self):
        # Guards against a decision that is taken twice, as the answer to its
        # write was lost.
        self.first._holder.loses_answers = True
        self.take(self.first, [["a", 2]], 1)
        self.poll(self.first, WINDOW_MS + 1_000)
        self.first._holder.loses_answers = False
        self.take(self.first, [["a", 7]], 1, window=100)
        self.poll(self.first, 3_000)
        self.assertEqual(
            self.service.sent, [{"window": 100, "counts": {"a": 2}}]
        )

    def test_decision_on_an_outdated_record_is_not_written(self):
        # Guards against a write over what another holder has decided since.
        self.take(self.first, [["a", 2]], 1)
        self.take(self.second, [["a", 9]], 1)
        self.clock.advance(WINDOW_MS + 600)
        holder = self.first._holder
        read = holder.ensure

        async def ensure_then_lose():
            found = await read()
            await self.second.poll()
            return found

        holder.ensure = ensure_then_lose
        self.poll(self.first)
        holder.ensure = read
        self.poll(self.first, 3_000)
        self.assert_reports_agree()

    def test_service_that_is_down_costs_no_window(self):
        # Guards against a window that is dropped from the record before the
        # service, which was down for a while, has accepted it.
        self.service.outcome = Outcome.LOST
        for _ in range(6):
            self.take(self.first, [["a", 1]], 1)
            self.poll(self.first, WINDOW_MS)
        # Window 100 ended 25 s ago.
        self.service.sent.clear()
        self.service.outcome = Outcome.ACCEPTED
        self.poll(self.first, 2_500)
        self.assertEqual(
            sorted(self.windows_sent()), [100, 101, 102, 103, 104, 105]
        )

    def test_next_holder_sends_windows_that_were_never_accepted(self):
        # Guards against the loss of a window whose holder ended while the
        # service was down.
        self.service.outcome = Outcome.LOST
        for _ in range(6):
            self.take(self.first, [["a", 1]], 1)
            self.poll(self.first, WINDOW_MS)
        self.service.sent.clear()
        self.service.outcome = Outcome.ACCEPTED
        # The next one has read the record, which lacks the last window.
        self.second._holder.value_by_key = dict(self.store)
        self.second._holder.is_acting = lambda: False
        self.take(self.second, [["a", 1]], 1, window=105)
        self.poll(self.second, 1_000)
        self.assertEqual(self.windows_sent()[:5], [100, 101, 102, 103, 104])

    def test_window_that_the_next_holder_heard_nothing_of_is_reported(self):
        # Guards against a gap between the last written window and the first
        # one that the next holder has counts of.
        self.take(self.first, [["a", 1]], 1)
        self.poll(self.first, WINDOW_MS + 1_000)
        self.clock.advance(2 * WINDOW_MS)
        self.take(self.second, [["a", 3]], 1)
        self.poll(self.second, WINDOW_MS + 6_000)
        self.assertEqual(
            sorted(set(self.windows_sent())), [100, 101, 102, 103]
        )

    def test_windows_of_a_long_pause_are_not_reported(self):
        # Guards against hundreds of late reports after a loss of all.
        self.take(self.first, [["a", 1]], 1)
        self.poll(self.first, WINDOW_MS + 1_000)
        self.clock.advance(100 * WINDOW_MS)
        self.take(self.second, [["a", 3]], 1)
        self.poll(self.second, WINDOW_MS + 6_000)
        self.assertLess(len(self.service.sent), 12)

    def test_each_window_is_tried_while_the_service_gives_no_answer(self):
        # Guards against windows that wait for the oldest one's answer,
        # though the service carries out what it gets.
        self.service.outcome = Outcome.LOST
        for _ in range(4):
            self.take(self.first, [["a", 1]], 1)
            self.poll(self.first, WINDOW_MS)
        self.assertEqual(set(self.windows_sent()), {100, 101, 102})

    def test_rejected_report_is_not_repeated(self):
        # Guards against calls for ever that the service never accepts.
        self.service.outcome = Outcome.REJECTED
        self.take(self.first, [["a", 2]], 1)
        self.poll(self.first, WINDOW_MS + 3_000)
        self.assertEqual(self.windows_sent(), [100])

    def test_repeats_back_off_and_end(self):
        # Guards against a service that retries keep down.
        self.service.outcome = Outcome.THROTTLED
        self.take(self.first, [["a", 2]], 1)
        self.poll(self.first, WINDOW_MS + 10_000)
        self.assertLess(len(self.service.sent), 10)
        self.clock.advance(reporting.GIVE_UP_MS)
        self.service.sent.clear()
        self.poll(self.first, 5_000)
        self.assertNotIn(100, self.windows_sent())

    def test_without_the_lease_nothing_is_decided(self):
        # Guards against a gateway that reports beside the holder.
        self.first._holder.may_hold = False
        self.take(self.first, [["a", 2]], 1)
        self.poll(self.first, WINDOW_MS + 8_000)
        self.assertEqual((self.service.sent, self.store), ([], {}))

    def test_unreadable_record_is_not_written_over(self):
        # Guards against a second report of windows that the record names in
        # a form of another build.
        self.store[reporting.VALUE_KEY] = b"?"
        self.take(self.first, [["a", 2]], 1)
        self.poll(self.first, WINDOW_MS + 1_000)
        self.assertEqual(self.service.sent, [])
