"""Faults that nobody expected, in tasks that share a task group."""

import ast
import pathlib
import unittest
from unittest import mock

import anyio

import clementinewall
from clementinewall import clock
from clementinewall import containment
from clementinewall import errors
from clementinewall import logs

ROOT = pathlib.Path(clementinewall.__file__).resolve().parent
_log = logs.PartLog("test")
# Tasks of a task group that is not the process's: what leaves them is handled
# where the group is.  docs/design/tasks.md says by whom.
OWN_GROUPS = {
    ("entry.app", "_cancel_on_disconnect"),
    ("gateway.relay_server", "_forward_requests"),
    ("gateway.relays", "self._ask"),
    ("gateway.stream_origins", "self._read_versions"),
    ("http1.repeated_call", "self._run_one"),
    ("membership.gossip", "self._announce_to"),
    ("membership.gossip", "self._receive"),
    ("membership.gossip", "self._write"),
}
# Ends the process on purpose: nothing can be served without the listener.
LISTENERS = {"_web.serve"}


class Containment(unittest.TestCase):
    """A step that fails is given up, and a task goes on."""

    def setUp(self):
        """Use a clock of its own, and a step that hasn't failed."""
        self.ticker = clock.ManualClock(1_000)
        for name, value in (
            ("_now", self.ticker.now),
            ("_silent_until_by_step", {}),
            ("_unlogged_by_step", {}),
            ("MIN_RESTART_DELAY_MS", 1),
        ):
            patch = mock.patch.object(containment, name, value)
            patch.start()
            self.addCleanup(patch.stop)

    def test_a_task_that_fails_ends_no_other(self):
        # Guards against one fault that ends all tasks of a process.
        calls = []

        async def fail_twice():
            calls.append("failing")
            if len(calls) < 3:
                raise UnicodeError("unexpected")

        async def run():
            with anyio.fail_after(5):
                async with anyio.create_task_group() as group:
                    for step in (fail_twice, anyio.lowlevel.checkpoint):
                        group.start_soon(
                            containment.keep_running, _log, "x", step
                        )

        anyio.run(run)
        self.assertEqual(len(calls), 3)

    def test_a_mistake_of_the_operator_ends_the_task(self):
        # Guards against a process that runs on without its listener.
        async def fail():
            raise errors.SettingsError("taken")

        with self.assertRaises(errors.SettingsError):
            anyio.run(containment.keep_running, _log, "x", fail)

    def test_a_step_that_always_fails_is_logged_now_and_then(self):
        # Guards against logs that one record fills.
        with (
            mock.patch.object(_log, "error", autospec=True) as error,
            mock.patch.object(
                containment.metrics, "count", autospec=True
            ) as count,
        ):
            for _ in range(201):
                with containment.contained(_log, "x", at=1):
                    raise KeyError("unexpected")
                self.ticker.advance(100)
        logged = [c for c in error.mock_calls if "failed" in c.args[0]]
        self.assertEqual(len(logged), 3)
        self.assertEqual(logged[1].kwargs["unlogged_before"], 99)
        self.assertEqual(count.call_count, 201)


class Tasks(unittest.TestCase):
    """Which tasks the programs start."""

    def test_no_background_task_can_end_the_process(self):
        # Guards against the next task whose exception nobody expected.
        found = set()
        for path in ROOT.rglob("*.py"):
            module = ".".join(path.relative_to(ROOT).with_suffix("").parts)
            for node in ast.walk(ast.parse(path.read_text())):
                name = _started(node)
                if name is not None and not name.startswith("containment."):
                    found.add((module, name))
        found = {row for row in found if row[1] not in LISTENERS}
        self.assertEqual(found, OWN_GROUPS)


def _started(node):
    """Return what a call starts as a task, ``None`` if it starts none."""
    if (
        isinstance(node, ast.Call)
        and isinstance(node.func, ast.Attribute)
        and node.func.attr == "start_soon"
    ):
        return ast.unparse(node.args[0])
    return None
