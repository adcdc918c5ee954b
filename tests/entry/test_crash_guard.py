"""Copies of a crashing request, sent through all entries at once."""

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
    """Orders the endpoints of one model as ``loads.Loads`` does."""

    def preference_order(self, kind, name, text):
        """Return all engines, the same for every entry."""
        return members.rendezvous(f"{name}|{text}", ENGINES)


class _Node:
    """An entry with its table of crash records."""

    def __init__(self, crashed):
        """Record ``crashed``, pairs of digest and engine id."""
        self.crashes = crashes.CrashTable(clock.ManualClock().now)
        for digest, engine in crashed:
            self.crashes.add(digest, engine)


class RemainingEndpointTest(unittest.TestCase):
    """Guards against copies of a request that crash more than two engines.

    Copies sent to all entries at once start at the two preferred engines.
    Until crash records arrive, each entry knows only of its own copy's crash.
    When each entry retried in an order of its own, three of five engines went
    down within 100 ms and all callers of the model were refused.
    """

    def choice(self, work, crashed):
        """Return the choice of an entry with crash records of ``crashed``."""
        node = _Node([(work.digest, engine) for engine in crashed])
        guard = crash_guard.CrashGuard(node, _Loads())
        return guard.remaining_endpoint(work, set(), verdicts.Verdict.NOT_RUN)

    def test_retries_go_to_the_other_preferred_engine(self):
        """A copy that crashed one preferred engine gets the other one."""
        for number in range(WORKS):
            work = crash_guard.Work(
                f"{number:02x}", "engine", "m", f"{number}"
            )
            order = _Loads().preference_order(work.kind, work.name, work.text)
            pair = order[: loads.PREFERRED_ENDPOINTS]
            touched = {self.choice(work, [crashed]) for crashed in pair}
            self.assertEqual(set(pair), touched)

    def test_a_request_without_crash_record_is_not_restricted(self):
        """Every engine remains allowed."""
        work = crash_guard.Work("00", "engine", "m", "sound")
        self.assertIsNone(self.choice(work, []))

    def test_no_third_engine_after_two_failures(self):
        """After a crash and a failure, the entry tries no third engine."""
        work = crash_guard.Work("00", "engine", "m", "text")
        first, second = _Loads().preference_order("engine", "m", "text")[:2]
        node = _Node([(work.digest, first)])
        guard = crash_guard.CrashGuard(node, _Loads())
        with self.assertRaises(errors.NoEndpoint):
            guard.remaining_endpoint(work, {second}, verdicts.Verdict.NOT_RUN)
