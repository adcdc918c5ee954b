"""The story of a request from the logs of several processes."""

import io
import json
import pathlib
import tempfile
import unittest

from clementinewall.operator import main
from clementinewall.operator import story


def line(time, instance, message, **fields):
    """Return one log line as a process writes it."""
    row = {"time": time, "level": "INFO", "instance": instance}
    return json.dumps({**row, "message": message, **fields}) + "\n"


class Story(unittest.TestCase):
    """``tell`` over logs that are mixed, torn and out of order."""

    def setUp(self):
        """Write the logs of two gateways."""
        self.one = (
            line(10.0, "g1", "gateway: accepted", request="r1")
            + "not a log line\n"
            + line(10.1, "g1", "stream: placed", request="r1", decode="e1")
            + line(10.2, "g1", "belief: endpoint gone", endpoint="e1")
            + line(10.2, "g1", "belief: endpoint gone", endpoint="e9")
            + line(
                10.3, "g1", "stream: attempt failed", request="r1", why="reset"
            )
            + line(10.4, "g1", "gateway: failed", request="r1", why="reset")
            + '{"time": "torn'
        )
        self.two = line(10.0, "g2", "gateway: accepted", request="r2")

    def tell(self, request):
        """Tell a request from both logs, given in the wrong order."""
        files = [io.StringIO(self.two), io.StringIO(self.one)]
        return story.tell(story.read(files), request)

    def test_own_lines_and_changes_of_its_endpoint_in_order(self):
        found, decider = self.tell("r1")
        self.assertEqual(
            [row.message.split(": ")[1] for row in found],
            [
                "accepted",
                "placed",
                "endpoint gone",
                "attempt failed",
                "failed",
            ],
        )
        self.assertEqual(decider.message, "stream: attempt failed")
        self.assertIn(">      300 ms  g1", story.text(found, decider))

    def test_unknown_request(self):
        found, decider = self.tell("r3")
        self.assertEqual((found, decider), ([], None))
        self.assertIn("no line", story.text(found, decider))

    def test_missing_file_is_named(self):
        options = {"LOG": ["/nowhere/x.log"], "REQUEST": "r", "--json": None}
        with self.assertRaisesRegex(main.errors.SettingsError, "/nowhere"):
            main.anyio.run(main._story, options, None)

    def test_command_reads_files(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "g1.log"
            path.write_text(self.one)
            options = {
                "LOG": [str(path)],
                "REQUEST": "r1",
                "--json": None,
            }
            text, code = main.anyio.run(main._story, options, None)
        self.assertEqual(code, 0)
        self.assertIn("endpoint gone", text)
