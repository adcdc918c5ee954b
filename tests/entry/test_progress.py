"""Extracting the text of events."""

import json
import unittest

import hypothesis
from hypothesis import strategies as st

from clementinewall.endpoints import sse
from clementinewall.entry import progress


def event(data):
    """Return an event with the data."""
    return sse.Event(b"", 1, data)


class TextTest(unittest.TestCase):
    """The text that an event adds to the answer."""

    @hypothesis.given(st.text())
    def test_completion_and_chat_events(self, text):
        """Completions and chat completions have different members."""
        for choice in ({"text": text}, {"delta": {"content": text}}):
            data = json.dumps({"choices": [choice]}).encode()
            self.assertEqual(text, progress.text_of(event(data)))

    @hypothesis.given(st.binary(max_size=40))
    def test_malformed_events_are_not_empty(self, raw):
        """Guards against answers that lack text unnoticed.

        An engine sends a malformed event that is taken for an empty one.
        """
        try:
            is_object = isinstance(json.loads(raw), dict)
        except (ValueError, RecursionError):
            is_object = False
        found = progress.text_of(event(raw))
        if not is_object and raw != sse.DONE:
            self.assertIsNone(found)

    def test_events_without_text(self):
        """The end marker and usage counts, which some engines send."""
        for data in (b"[DONE]", b'{"choices": [], "usage": {}}'):
            self.assertEqual("", progress.text_of(event(data)))


if __name__ == "__main__":
    unittest.main()
