"""Splitting a stream into events."""

import time
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.gateway import sse

# Of a processor, for a stream that is given up.
MAX_SECONDS = 0.3


def event(number):
    """Return one event."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class Events(unittest.TestCase):
    """The events that ``feed`` returns."""

    def test_a_long_event_in_many_pieces_takes_little_time(self):
        # Guards against work that grows with the square of an event.
        events = sse.Events(None)
        began = time.process_time()
        with self.assertRaises(sse.BadEvent):
            while True:
                events.feed(b"x" * 1_024)
        self.assertLess(time.process_time() - began, MAX_SECONDS)

    @hypothesis.given(
        strategies.integers(0, 8),
        strategies.lists(strategies.integers(0, 200)),
    )
    @hypothesis.settings(derandomize=True)
    def test_events_do_not_depend_on_the_chunks(self, count, cuts):
        whole = b"".join(event(n) for n in range(1, count + 1))
        events = sse.Events(None)
        places = sorted({min(cut, len(whole)) for cut in cuts})
        seen = b""
        for start, end in zip(
            [0, *places], [*places, len(whole)], strict=True
        ):
            seen += events.feed(whole[start:end])
        self.assertEqual(seen, whole)
        self.assertTrue(events.is_complete)

    def test_repeated_events_are_dropped(self):
        events = sse.Events(3)
        fresh = events.feed(b"".join(event(n) for n in (2, 3, 4, 5)))
        self.assertEqual(fresh, event(4) + event(5))

    def test_what_has_no_number_comes_with_the_next_event(self):
        # Guards against a stream of comments that is taken for an answer.
        events = sse.Events(None)
        self.assertEqual(events.feed(b": ping\n\n"), b"")
        first = events.feed(event(1) + b"data: end\n\n")
        self.assertEqual(first, b": ping\n\n" + event(1))
        self.assertEqual(events.take_rest(), b"data: end\n\n")
        self.assertEqual(events.take_rest(), b"")

    def test_what_has_no_number_is_dropped_with_its_engine(self):
        events = sse.Events(None)
        events.feed(b": ping\n\n")
        events.reset()
        self.assertEqual(events.feed(event(1)), event(1))

    def test_too_much_without_a_numbered_event_is_an_error(self):
        events = sse.Events(None)
        with self.assertRaises(sse.BadEvent):
            events.feed(b": ping\n\n" * sse.MAX_UNNUMBERED_BYTES)

    def test_missing_event_is_an_error(self):
        events = sse.Events(1)
        with self.assertRaises(sse.BadEvent):
            events.feed(event(3))

    def test_partial_event_is_incomplete_until_reset(self):
        events = sse.Events(None)
        self.assertEqual(events.feed(event(1)[:-1]), b"")
        self.assertFalse(events.is_complete)
        events.reset()
        self.assertTrue(events.is_complete)
