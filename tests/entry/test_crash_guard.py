"""Copies of crashing work, sent through all entries at once."""

import unittest

from clementinewall import clock
from clementinewall.entry import crash_guard
from clementinewall.entry import loads
from clementinewall import errors
from clementinewall.membership import crashes
from clementinewall.membership import members
from clementinewall import verdicts

ENGINES = [f"engine-{number}" for number in range(1, 6)]
WORKS = 20


class _Loads:
    """The endpoints of one service, in the order of the real loads."""

    def preference_order(self, kind, name, text):
        """Return all engines; all entries know the same ones."""
        return members.rendezvous(f"{name}|{text}", ENGINES)


class _Node:
    """The table of marks of one entry."""

    def __init__(self, crashed):
        """Know that the work crashed the engines ``crashed``."""
        self.crashes = crashes.CrashTable(clock.ManualClock().now)
        for digest, engine in crashed:
            self.crashes.add(digest, engine)


class RemainingEndpointTest(unittest.TestCase):
    """A caller sends crashing work to all addresses together.

    The copies begin at one of the two engines that equal work prefers.
    While the marks are under way each entry knows of the crash of its own
    copy only.  If entries then chose by an order of their own, three of
    five engines went down within 100 ms, and every caller of that model
    was refused until they were back.
    """

    def choice(self, work, crashed):
        """Return what an entry that knows of ``crashed`` chooses."""
        node = _Node([(work.digest, engine) for engine in crashed])
        guard = crash_guard.CrashGuard(node, _Loads())
        return guard.remaining_endpoint(work, set(), verdicts.Verdict.NOT_RUN)

    def test_copies_that_know_different_crashes_meet(self):
        """Each of the two crashed ones leads to the other, to no third."""
        for number in range(WORKS):
            work = crash_guard.Work(
                f"{number:02x}", "engine", "m", f"{number}"
            )
            order = _Loads().preference_order(work.kind, work.name, work.text)
            pair = order[: loads.PREFERRED_ENDPOINTS]
            touched = {self.choice(work, [crashed]) for crashed in pair}
            self.assertEqual(set(pair), touched)

    def test_sound_work_may_go_anywhere(self):
        """Work without a mark is not led to one engine."""
        work = crash_guard.Work("00", "engine", "m", "sound")
        self.assertIsNone(self.choice(work, []))

    def test_the_other_one_failed_too(self):
        """An entry doesn't go on to a third engine on its own."""
        work = crash_guard.Work("00", "engine", "m", "text")
        first, second = _Loads().preference_order("engine", "m", "text")[:2]
        node = _Node([(work.digest, first)])
        guard = crash_guard.CrashGuard(node, _Loads())
        with self.assertRaises(errors.NoEndpoint):
            guard.remaining_endpoint(work, {second}, verdicts.Verdict.NOT_RUN)
