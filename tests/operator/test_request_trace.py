"""Traces of a request from the logs of several processes."""

import io
import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

from clementinewall.operator import main
from clementinewall.operator import request_trace


def line(time, instance, message, **fields):
    """Return one log line as a process writes it."""
    row = {"time": time, "level": "INFO", "instance": instance}
    return json.dumps({**row, "message": message, **fields}) + "\n"


class RequestTrace(unittest.TestCase):
    """``collect`` over logs that are mixed, truncated and out of order."""

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

    def collect(self, request):
        """Collect a request from both logs, given in the wrong order."""
        files = [io.StringIO(self.two), io.StringIO(self.one)]
        return request_trace.collect(request_trace.read(files), request)

    def test_request_lines_and_endpoint_changes_are_in_order(self):
        found, deciding_line = self.collect("r1")
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
        self.assertEqual(deciding_line.message, "stream: attempt failed")
        self.assertIn(
            ">      300 ms  g1", request_trace.render(found, deciding_line)
        )

    def collect_lines(self, *lines):
        """Collect the request ``r1`` from lines of one gateway."""
        return request_trace.collect(
            request_trace.read([io.StringIO("".join(lines))]), "r1"
        )

    def test_a_failed_attempt_passed_on_to_the_caller_is_the_cause(self):
        # Two endpoints answer 500 and the caller gets the second 500.  With
        # "answered" as the deciding line, the failure would not be seen.
        _, deciding_line = self.collect_lines(
            line(1.0, "g1", "gateway: accepted", request="r1"),
            line(1.1, "g1", "plain: sent", request="r1", endpoint="e1"),
            line(1.2, "g1", "plain: attempt failed", request="r1", why="500"),
            line(1.3, "g1", "plain: sent", request="r1", endpoint="e2"),
            line(1.4, "g1", "plain: attempt failed", request="r1", why="500"),
            line(1.5, "g1", "gateway: answered", request="r1"),
        )
        self.assertEqual(deciding_line.time, 1.4)

    def test_a_successful_second_attempt_is_no_failure(self):
        _, deciding_line = self.collect_lines(
            line(1.1, "g1", "plain: sent", request="r1", endpoint="e1"),
            line(1.2, "g1", "plain: attempt failed", request="r1", why="500"),
            line(1.3, "g1", "plain: sent", request="r1", endpoint="e2"),
            line(1.5, "g1", "gateway: answered", request="r1"),
        )
        self.assertEqual(deciding_line.message, "gateway: answered")

    def test_a_killed_process_is_found_by_its_next_start(self):
        # A gateway loses power during a stream and logs nothing about it, so
        # that the trace would end with the first event and show no cause.
        found, deciding_line = self.collect_lines(
            line(1.0, "g1", "gateway: accepted", request="r1"),
            line(1.1, "g1", "stream: first event", request="r1"),
            line(2.0, "g2", "gateway: started"),
            line(3.0, "g1", "gateway: started"),
            line(9.0, "g1", "gateway: started"),
        )
        self.assertEqual(
            (deciding_line.instance, deciding_line.time), ("g1", 3.0)
        )
        self.assertIs(found[-1], deciding_line)

    def test_a_cut_at_the_end_of_the_process_is_the_cause(self):
        _, deciding_line = self.collect_lines(
            line(1.0, "g1", "gateway: accepted", request="r1"),
            line(
                1.1, "g1", "stream: attempt failed", request="r1", why="reset"
            ),
            line(
                2.0,
                "g1",
                "gateway: cut at the end of the process",
                request="r1",
            ),
        )
        self.assertEqual(
            deciding_line.message, "gateway: cut at the end of the process"
        )

    def test_unknown_request(self):
        found, deciding_line = self.collect("r3")
        self.assertEqual((found, deciding_line), ([], None))
        self.assertIn("no line", request_trace.render(found, deciding_line))

    def test_missing_file_is_named(self):
        options = {"LOG": ["/nowhere/x.log"], "REQUEST": "r", "--json": None}
        with self.assertRaisesRegex(main.errors.SettingsError, "/nowhere"):
            main.anyio.run(main._request_trace, options, None)

    def test_command_reads_files(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "g1.log"
            path.write_text(self.one)
            options = {
                "LOG": [str(path)],
                "REQUEST": "r1",
                "--json": None,
            }
            text, code = main.anyio.run(main._request_trace, options, None)
        self.assertEqual(code, 0)
        self.assertIn("endpoint gone", text)

    def test_the_command_prints_the_trace(self):
        # Guards against a command that ends with a traceback while its
        # functions pass their tests: runs it in a process of its own.
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "g1.log"
            row = {
                "time": 1.0,
                "level": "INFO",
                "instance": "g1",
                "message": "gateway: failed",
                "request": "r1",
                "why": "no route leads there",
            }
            path.write_text(json.dumps(row) + "\n")
            done = subprocess.run(
                [
                    sys.executable,
                    "-c",
                    "from clementinewall.operator import main; main.main()",
                    "story",
                    "r1",
                    str(path),
                ],
                capture_output=True,
                text=True,
                check=False,
            )
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("why=no route leads there", done.stdout)
