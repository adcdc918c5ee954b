"""What is kept of a request while it is carried."""

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
    """The text of an event."""

    @hypothesis.given(st.text())
    def test_both_forms(self, text):
        """Completions and chat completions carry it differently."""
        for choice in ({"text": text}, {"delta": {"content": text}}):
            data = json.dumps({"choices": [choice]}).encode()
            self.assertEqual(text, progress.text_of(event(data)))

    @hypothesis.given(st.binary(max_size=40))
    def test_what_cannot_be_read_is_not_empty(self, raw):
        """An engine sends a broken event.

        Taken for empty, its text would be missing from a whole answer and
        the caller would not know.
        """
        try:
            is_object = isinstance(json.loads(raw), dict)
        except (ValueError, RecursionError):
            is_object = False
        found = progress.text_of(event(raw))
        if not is_object and raw != sse.DONE:
            self.assertIsNone(found)

    def test_events_without_text(self):
        """The end, and the counts that some engines send."""
        for data in (b"[DONE]", b'{"choices": [], "usage": {}}'):
            self.assertEqual("", progress.text_of(event(data)))


if __name__ == "__main__":
    unittest.main()
