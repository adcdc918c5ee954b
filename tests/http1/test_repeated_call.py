"""Calls that are repeated while their answer is overdue."""

import time
import unittest

import anyio

from clementinewall import clock
from clementinewall.http1 import repeated_call


class Refused(Exception):
    """A call was refused."""


class Peer:
    """Answers calls after times that a test sets."""

    def __init__(self, *delays_ms):
        """Answer the calls in turn; ``None`` is refused, ``inf`` is lost."""
        self._delays_ms = list(delays_ms)
        self.waits_ms = []
        self.open = 0
        self.most_open = 0

    async def send(self, wait_ms):
        """Return the number of the call that is answered."""
        self.waits_ms.append(wait_ms)
        number = len(self.waits_ms)
        delay_ms = self._delays_ms[min(number, len(self._delays_ms)) - 1]
        if delay_ms is None:
            raise Refused(number)
        self.open += 1
        self.most_open = max(self.most_open, self.open)
        try:
            await anyio.sleep(clock.seconds(delay_ms))
        finally:
            self.open -= 1
        return number


class RepeatedCalls(unittest.TestCase):
    """One call to a peer, with short times."""

    def setUp(self):
        """Shorten all times to a tenth."""
        for name in (
            "MIN_OVERDUE_MS",
            "REPEAT_INTERVAL_MS",
            "MAX_FIRST_INTERVAL_MS",
            "LIMIT_MS",
            "FIRST_LIMIT_MS",
        ):
            value = getattr(repeated_call, name)
            self.addCleanup(setattr, repeated_call, name, value)
            setattr(repeated_call, name, value // 10)
        self.times = repeated_call.AnswerTimes()
        self.overdue = 0

    def call(self, peer, wait_ms=0, **more):
        """Return the answer to a call."""
        call = repeated_call.RepeatedCall(
            peer.send, Refused, self.times, clock.Clock().now, wait_ms, **more
        )
        return anyio.run(call.run, self._on_overdue)

    def _on_overdue(self):
        self.overdue += 1

    def test_an_answer_in_time_is_not_asked_for_again(self):
        peer = Peer(10)
        self.assertEqual(self.call(peer), 1)
        self.assertEqual(len(peer.waits_ms), 1)
        self.assertEqual(self.overdue, 0)

    def test_a_late_answer_counts(self):
        # Guards against answers that never come in time from a slow peer.
        peer = Peer(250, float("inf"))
        self.assertEqual(self.call(peer), 1)
        self.assertEqual(self.overdue, 1)

    def test_a_lost_answer_is_asked_for_again(self):
        # Guards against waiting for an answer that was lost.
        self.assertEqual(self.call(Peer(float("inf"), 10)), 2)

    def test_repeats_are_as_frequent_as_asked_for_after_slow_answers(self):
        # Guards against keys that stay refused for seconds after the store is
        # back, since it was slow before it fell silent.
        self.times.record(3_000)
        began = time.monotonic()
        lost = [float("inf")] * 3
        found = self.call(Peer(*lost, 10), max_repeat_ms=100)
        self.assertEqual(4, found)
        self.assertLess(time.monotonic() - began, 1)

    def test_first_calls_are_repeated_less_and_less_often(self):
        # Guards against a peer that is kept busy by the repeats of all that
        # start together.
        peer = Peer(2_000, float("inf"))
        self.assertEqual(self.call(peer), 1)
        self.assertLessEqual(len(peer.waits_ms), 8)

    def test_later_calls_are_repeated_as_often_as_before(self):
        # Guards against a store that is read late after it was silent.
        self.times.record(5)
        peer = Peer(*[float("inf")] * 5, 10)
        began = time.monotonic()
        self.assertEqual(self.call(peer), 6)
        self.assertLess(time.monotonic() - began, 0.95)

    def test_a_slow_peer_gets_no_repeats_once_it_is_known(self):
        # Guards against repeats that keep a slow peer slow.
        self.call(Peer(150))
        peer = Peer(150)
        self.call(peer)
        self.assertEqual(len(peer.waits_ms), 1)

    def test_few_calls_are_open_at_once(self):
        # Guards against calls to a silent peer that pile up.
        peer = Peer(float("inf"))
        with self.assertRaises(repeated_call.Unanswered):
            self.call(peer)
        self.assertEqual(peer.most_open, repeated_call.MAX_OPEN_CALLS)
        self.assertEqual(peer.open, 0)

    def test_the_first_call_stays_open(self):
        # Guards against giving up the call that is answered first by a peer
        # that works off its calls in turn.
        self.assertEqual(self.call(Peer(800, float("inf"))), 1)

    def test_a_refusal_fails_at_once(self):
        peer = Peer(None)
        with self.assertRaises(Refused):
            self.call(peer)
        self.assertEqual(len(peer.waits_ms), 1)

    def test_a_refused_repeat_leaves_the_first_call_open(self):
        # Guards against losing the turn at a peer that refuses new calls.
        self.assertEqual(self.call(Peer(250, None)), 1)

    def test_a_call_that_fails_while_it_is_cancelled(self):
        # Guards against an error that ends the process.
        peer = Peer(float("inf"))

        async def send(wait_ms):
            try:
                return await peer.send(wait_ms)
            except anyio.get_cancelled_exc_class() as exc:
                raise Refused from exc

        call = repeated_call.RepeatedCall(
            send, Refused, self.times, clock.Clock().now
        )
        with self.assertRaises(repeated_call.Unanswered):
            anyio.run(call.run, self._on_overdue)

    def test_a_peer_holds_back_the_answer_to_the_first_call_only(self):
        # Guards against waiting for a change when nothing is known of late.
        peer = Peer(float("inf"), 10)
        self.call(peer, wait_ms=50)
        self.assertEqual(peer.waits_ms, [50, 0])


class Times(unittest.TestCase):
    """When an answer is overdue."""

    def setUp(self):
        """Start without answers."""
        self.times = repeated_call.AnswerTimes()

    def test_quick_answers_leave_the_shortest_time(self):
        self.times.record(5)
        self.assertEqual(self.times.overdue_ms(), repeated_call.MIN_OVERDUE_MS)

    def test_one_slow_answer_lengthens_it_at_once(self):
        self.times.record(2_000)
        self.assertGreaterEqual(self.times.overdue_ms(), 2_000)

    def test_it_has_a_limit(self):
        self.times.record(60_000)
        self.assertEqual(self.times.overdue_ms(), repeated_call.MAX_OVERDUE_MS)

    def test_quick_answers_shorten_it_again(self):
        # Guards against waiting long for lost answers ever after.
        self.times.record(2_000)
        for _ in range(16):
            self.times.record(5)
        self.assertEqual(self.times.overdue_ms(), repeated_call.MIN_OVERDUE_MS)


if __name__ == "__main__":
    unittest.main()
