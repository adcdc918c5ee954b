"""What the stand-in of the duty service flags."""

import unittest

from standins import duty_service


def call(holder, token, at_ms, window=1, counts=None):
    """Return a report as the service records it."""
    return {
        "path": "/usage",
        "holder": holder,
        "token": token,
        "at_ms": at_ms,
        "body": {"window": window, "counts": counts or {}},
    }


class Violations(unittest.TestCase):
    """Calls in their order."""

    def why(self, *calls):
        """Return the violations of calls."""
        judge = duty_service.Judge()
        for found in calls:
            judge.take(found)
        return [row["why"] for row in judge.violations]

    def test_an_orderly_handover_is_none(self):
        # Guards against a check that flags what is allowed.
        self.assertEqual(
            self.why(
                call("a", 1, 0), call("a", 3, 5), call("b", 4, 10),
                call("a", 9, 3_005),
            ),
            [],
        )  # fmt: skip

    def test_each_violation_is_flagged(self):
        # Guards against tests of the duties that pass whatever happens.
        cases = {
            "token decreases": (call("a", 2, 0), call("a", 1, 9_000)),
            "two holders with one token": (
                call("a", 1, 0),
                call("b", 1, 9_000),
            ),
            "A, B, A within the lease": (
                call("a", 1, 0),
                call("b", 2, 1_000),
                call("a", 3, 2_999),
            ),
            "two reports of a window": (
                call("a", 1, 0, 7, {"x": 1}),
                call("a", 1, 1, 7, {"x": 2}),
            ),
        }
        for why, calls in cases.items():
            with self.subTest(why):
                self.assertEqual(self.why(*calls), [why])
