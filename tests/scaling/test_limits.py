"""The operator's own bounds on the command line."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import errors
from clementinewall.scaling import limits


class Parse(unittest.TestCase):
    """Texts like ``NAME=4`` and ``NAME=4-9``."""

    def test_a_range_and_a_pinned_number(self):
        # Guards against a pin that is read as a lower bound only.
        found = limits.parse(["chat=4-9", "draw=3"])
        self.assertEqual(found["chat"], limits.Limits(4, 9))
        self.assertEqual(found["draw"], limits.Limits(3, 3))
        self.assertEqual(limits.parse([]), {})

    def test_malformed_texts_are_refused(self):
        # Guards against a gateway that starts without the bound that its
        # operator meant to set.
        for text in (
            "",
            "chat",
            "chat=",
            "=4",
            "chat=4-",
            "chat=-4",
            "chat=4-9-12",
            "chat=9-4",
            "chat=four",
            "chat=4.5",
            "chat=1234567",
            "chat=4 ",
            "a chat=4",
        ):
            with self.assertRaises(errors.SettingsError, msg=text):
                limits.parse([text])

    def test_a_service_named_twice_is_refused(self):
        # Guards against two bounds of which one silently counts.
        with self.assertRaises(errors.SettingsError):
            limits.parse(["chat=4", "chat=5"])

    @hypothesis.given(strategies.lists(strategies.text(max_size=12)))
    @hypothesis.settings(derandomize=True)
    def test_any_text_is_read_or_refused(self, texts):
        # Guards against a traceback in place of an error message.
        try:
            found = limits.parse(texts)
        except errors.SettingsError:
            return
        for bound in found.values():
            self.assertLessEqual(bound.least, bound.most)
