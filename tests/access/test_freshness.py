"""For how long keys are served without word from the store."""

import math
import types
import unittest
from unittest import mock

from clementinewall.access import confirmation
from clementinewall.access import freshness
from clementinewall.access import peer_clocks
from clementinewall import clock
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import peer_messages

LIMIT_MS = 5_000
BOUNDS = domain.Bounds(revocation_ms=LIMIT_MS)


class Freshness(unittest.TestCase):
    """A gateway whose last confirmation gets older."""

    def setUp(self):
        """Start without a confirmation."""
        self.clock = clock.ManualClock(70_000)
        self.freshness = freshness.Freshness(BOUNDS, self.clock)

    def test_nothing_is_served_before_the_first_confirmation(self):
        with self.assertRaises(errors.StaleKeys):
            self.freshness.check()

    def test_keys_are_refused_once_a_removal_may_be_too_old(self):
        # A key that was removed right after the last read still runs when its
        # bound is over, at an instance that is cut off from the store.
        self.freshness.confirm(self.clock.now_with_suspend())
        self.clock.advance(LIMIT_MS - freshness.MARGIN_MS - 1)
        self.freshness.check()
        self.clock.advance(1)
        with self.assertRaises(errors.StaleKeys) as caught:
            self.freshness.check()
        self.assertEqual(503, caught.exception.status)
        self.assertEqual("not_run", caught.exception.verdict.value)
        self.freshness.confirm(self.clock.now_with_suspend())
        self.freshness.check()

    def test_time_spent_suspended_counts(self):
        # The monotonic clock stops while a machine is suspended: it wakes and
        # takes an old confirmation for a new one.
        self.freshness.confirm(self.clock.now_with_suspend())
        self.clock.suspended += LIMIT_MS
        with self.assertRaises(errors.StaleKeys):
            self.freshness.check()

    def test_a_late_answer_confirms_what_was_so_when_it_was_asked_for(self):
        asked_at = self.clock.now_with_suspend()
        self.clock.advance(LIMIT_MS)
        self.freshness.confirm(asked_at)
        self.assertFalse(self.freshness.is_current)

    def test_an_older_confirmation_takes_nothing_back(self):
        now = self.clock.now_with_suspend()
        self.freshness.confirm(now)
        self.freshness.confirm(now - LIMIT_MS)
        self.assertTrue(self.freshness.is_current)

    def test_unknown_keys_are_final_only_while_the_newest_are_known(self):
        # A new key is refused for good by an instance that has not heard of
        # it, since callers don't return after a 401.
        with self.assertRaises(errors.StaleKeys):
            self.freshness.check_unknown()
        self.freshness.confirm(self.clock.now_with_suspend())
        self.clock.advance(BOUNDS.configuration_ms)
        self.freshness.check_unknown()
        self.clock.advance(1)
        with self.assertRaises(errors.StaleKeys):
            self.freshness.check_unknown()

    def test_each_transition_is_logged_once_without_any_request(self):
        # An instance isn't ready, gets no request, and its log doesn't say
        # why.
        with mock.patch.object(freshness, "_log", autospec=True) as log:
            self.freshness.confirm(self.clock.now_with_suspend())
            self.freshness.log_if_stale()
            self.assertEqual([], log.mock_calls)
            self.clock.advance(LIMIT_MS)
            self.freshness.log_if_stale()
            self.freshness.log_if_stale()
            self.freshness.confirm(self.clock.now_with_suspend())
            self.freshness.confirm(self.clock.now_with_suspend())
        self.assertEqual(1, log.warning.call_count)
        self.assertEqual(1, log.info.call_count)

    def test_deployments_without_the_bound_refuse_nothing(self):
        found = freshness.Freshness(domain.Bounds(), self.clock)
        found.check()
        found.check_unknown()
        self.assertTrue(found.is_current)


class PeerClocks(unittest.TestCase):
    """Two gateways whose clocks differ, with datagrams that are late."""

    def setUp(self):
        """Start with no word between them."""
        self.own = clock.ManualClock(5_000)
        self.other = clock.ManualClock(900_000)
        self.sent = []
        self.clocks = self.make("10.0.0.1", self.own)
        self.reader = self.make("10.0.0.2", self.other)

    def make(self, ip, ticker):
        """Return the clocks of a gateway that sends to ``self.sent``."""
        return peer_clocks.PeerClocks(
            ip, ticker, lambda raw, ips: self.sent.append(raw)
        )

    def advance(self, ms):
        """Let time pass for both."""
        self.own.advance(ms)
        self.other.advance(ms)

    def compare(self, ask_late_ms=0, reply_late_ms=0):
        """Exchange readings with these delays."""
        self.clocks.earliest(self.reader.reading(0))
        self.advance(ask_late_ms)
        self.reader.take(peer_messages.load(self.sent.pop()), "10.0.0.1")
        self.advance(reply_late_ms)
        self.clocks.take(peer_messages.load(self.sent.pop()), "10.0.0.2")

    def test_an_update_that_waited_in_a_socket_is_as_old_as_it_is(self):
        # A suspended gateway wakes, reads a datagram that has lain in its
        # socket, and serves a key that was removed long ago.
        self.compare(1, 1)
        reading = self.reader.reading(self.other.now_with_suspend())
        self.other.advance(20_000)
        self.own.suspended += 20_000
        age = self.own.now_with_suspend() - self.clocks.earliest(reading)
        self.assertGreaterEqual(age, 20_000)
        self.assertLessEqual(age, 20_002)

    def test_late_datagrams_make_a_reading_older_and_never_newer(self):
        for ask_late_ms, reply_late_ms in ((0, 900), (900, 0), (400, 500)):
            with self.subTest((ask_late_ms, reply_late_ms)):
                self.setUp()
                self.compare(ask_late_ms, reply_late_ms)
                reading = self.reader.reading(self.other.now_with_suspend())
                age = self.own.now_with_suspend() - self.clocks.earliest(
                    reading
                )
                self.assertEqual(ask_late_ms, age)

    def test_a_restarted_process_has_another_clock(self):
        self.compare()
        restarted = self.make("10.0.0.2", clock.ManualClock(1))
        self.assertIsNone(self.clocks.earliest(restarted.reading(1)))

    def test_a_reply_to_a_question_of_before_is_ignored(self):
        self.clocks.earliest(self.reader.reading(0))
        message = {peer_clocks.REPLY_KEY: ["x", 1, 123]}
        self.clocks.take(message, "10.0.0.2")
        self.assertIsNone(
            self.clocks.earliest(peer_clocks.Reading("x", "10.0.0.2", 1))
        )

    def test_a_bound_that_is_not_renewed_is_no_longer_used(self):
        # Datagrams of one direction get lost, the clocks drift apart, and a
        # reading is taken for newer than it is.
        self.compare()
        self.advance(peer_clocks.MAX_BOUND_AGE_MS)
        reading = self.reader.reading(self.other.now_with_suspend())
        self.assertIsNotNone(self.clocks.earliest(reading))
        self.advance(1)
        self.assertIsNone(self.clocks.earliest(reading))

    def test_without_customers_gateways_compare_no_clocks(self):
        # A deployment without customers pays for messages that it needs not.
        found = types.SimpleNamespace(confirm=self.fail)
        confirming = confirmation.Confirmation(
            found, self.clocks, self.own, lambda: False
        )
        self.assertIsNone(confirming.reading(1))
        confirming.record_update(self.reader.reading(900_000))
        self.assertEqual(math.inf, confirming.own_read_due_ms)
        self.assertEqual(math.inf, confirming.max_retry_ms)
        self.assertEqual([], self.sent)

    def test_nothing_is_confirmed_by_an_unknown_clock(self):
        found = freshness.Freshness(BOUNDS, self.own)
        confirming = confirmation.Confirmation(
            found, self.clocks, self.own, lambda: True
        )
        confirming.record_update(self.reader.reading(900_000))
        self.assertIsNone(found.age_ms)
        self.compare()
        confirming.record_update(self.reader.reading(900_000))
        self.assertTrue(found.is_current)

    def test_an_update_without_a_reading_confirms_nothing(self):
        found = types.SimpleNamespace(confirm=self.fail)
        confirmation.Confirmation(
            found, self.clocks, self.own, lambda: True
        ).record_update(None)


if __name__ == "__main__":
    unittest.main()
