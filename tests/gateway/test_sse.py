"""Cutting streams into events, whatever the pieces."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.gateway import sse


def event(number):
    """Return one event."""
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class Events(unittest.TestCase):
    """``feed`` with the same bytes in different pieces."""

    @hypothesis.given(
        strategies.integers(0, 8),
        strategies.lists(strategies.integers(0, 200)),
    )
    @hypothesis.settings(derandomize=True)
    def test_any_cut_gives_the_same_events(self, count, cuts):
        whole = b"".join(event(n) for n in range(1, count + 1))
        events = sse.Events(None)
        places = sorted({min(cut, len(whole)) for cut in cuts})
        seen = b""
        for start, end in zip(
            [0, *places], [*places, len(whole)], strict=True
        ):
            seen += events.feed(whole[start:end])
        self.assertEqual(seen, whole)
        self.assertTrue(events.is_whole)

    def test_repeated_events_are_dropped(self):
        events = sse.Events(3)
        fresh = events.feed(b"".join(event(n) for n in (2, 3, 4, 5)))
        self.assertEqual(fresh, event(4) + event(5))

    def test_a_gap_is_an_error(self):
        events = sse.Events(1)
        with self.assertRaises(sse.BadEvent):
            events.feed(event(3))

    def test_half_an_event_is_not_whole(self):
        events = sse.Events(None)
        self.assertEqual(events.feed(event(1)[:-1]), b"")
        self.assertFalse(events.is_whole)
        events.restart()
        self.assertTrue(events.is_whole)
