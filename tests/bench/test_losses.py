"""Where the worth of a played day was lost, from its logs."""

import json
import pathlib
import tempfile
import unittest

from bench import losses

GOAL = {"goal_ms": 300}
PLACED = {"left_ms": 500, "first_ms": 120, "cached": 0}
STORIES = {
    "fine": [
        ("stream: placed", PLACED),
        ("stream: first event", {"took_ms": 130}),
        ("gateway: answered", {"took_ms": 900}),
    ],
    "late": [
        ("stream: placed", PLACED),
        ("stream: first event", {"took_ms": 730}),
        ("gateway: answered", {"took_ms": 900}),
    ],
    "broken": [
        ("stream: placed", PLACED),
        ("stream: attempt failed", {"why": "silent for 700 ms"}),
        ("gateway: failed", {"why": "silent for 700 ms"}),
    ],
    "refused": [("gateway: failed", {"why": "too late on each way"})],
    "killed": [("stream: placed", PLACED)],
    "call": [("gateway: answered", {"took_ms": 400})],
}
REPORT = {
    "all": {"late": 2, "refused": 1, "failed": 3},
    "windows": [{"name": "0", "worth": 0.4}, {"name": "2", "worth": 1.0}],
}


def log_text():
    """Return a run's output: log lines behind the second of the day."""
    rows = ["a line of the bench's own {"]
    for request, story in STORIES.items():
        for message, fields in [("gateway: accepted", GOAL), *story]:
            line = {"time": 5.0, "instance": "g", "message": message}
            line.update(fields, request=request)
            rows.append(f"   1.5 g {json.dumps(line)}")
    return "\n".join(rows)


class Losses(unittest.TestCase):
    """A day of six requests, each lost or served in another way."""

    def setUp(self):
        """Read the log of the day."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text(log_text())
            self.found = list(losses.losses(losses.read_log(path)))

    def test_each_request_has_one_cause(self):
        causes = sorted(loss.cause for loss in self.found)
        self.assertEqual(
            causes,
            [
                "attempt failed: silent for ms",
                "late call",
                "late stream, mispredicted, nothing cached",
                "no end in the logs (the gateway was killed)",
                "refused or failed: too late on each way",
                losses.SERVED,
            ],
        )

    def test_the_table_adds_up_to_what_the_report_misses(self):
        rows = losses.by_cause(self.found, REPORT)
        self.assertEqual(rows[-1], ("not explained", 1))
        self.assertEqual(len(rows), 6)
        self.assertEqual({count for _, count in rows}, {1})

    def test_windows_name_their_chief_causes(self):
        rows = list(losses.by_window(self.found, REPORT, 2.0))
        self.assertEqual(rows[0][:2], ("0", 0.4))
        self.assertIn("1 attempt failed: silent for ms", rows[0][2])
        self.assertEqual(rows[1], ("2", 1.0, ""))
