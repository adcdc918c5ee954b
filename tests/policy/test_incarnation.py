"""When a new connection asks which process answers."""

import itertools
import unittest

from clementinewall.policy import incarnation

Doubt = incarnation.Doubt
NOW = 100_000
TIMES = (
    None,
    NOW - incarnation.MIN_RESTART_MS,
    NOW - incarnation.MIN_RESTART_MS + 1,
    NOW,
)
EVIDENCE = [
    incarnation.Evidence(*row)
    for row in itertools.product((False, True), TIMES, (False, True))
]


def needs_report(evidence, doubt=Doubt.RESTARTED):
    """Return what is decided at ``NOW``."""
    return incarnation.needs_report(evidence, doubt, NOW)


class NeedsReport(unittest.TestCase):
    """All combinations of what may be known."""

    def test_without_doubt_nothing_is_asked(self):
        # Guards against reports at services whose streams nobody takes up.
        for evidence in EVIDENCE:
            self.assertFalse(needs_report(evidence, Doubt.NONE))

    def test_beside_several_versions_each_connection_asks(self):
        # Guards against a process that is replaced faster than it is noticed.
        for evidence in EVIDENCE:
            self.assertTrue(needs_report(evidence, Doubt.EACH_CONNECTION))

    def test_a_record_alone_is_trusted(self):
        # Guards against a report from each engine to each gateway that starts.
        for is_connected in (False, True):
            evidence = incarnation.Evidence(is_connected, None, False)
            self.assertFalse(needs_report(evidence))

    def test_a_sign_of_its_end_outweighs_all_else(self):
        # Guards against trust in a process that refused a connection.
        for evidence in EVIDENCE:
            if evidence.has_ended:
                self.assertTrue(needs_report(evidence))

    def test_an_open_connection_spares_the_report(self):
        # Guards against a report for each connection.
        for seen_at in TIMES[1:]:
            evidence = incarnation.Evidence(True, seen_at, False)
            self.assertFalse(needs_report(evidence))

    def test_without_connections_it_is_trusted_for_a_restart_only(self):
        # Guards against a process that came between two connections.
        asked = [
            needs_report(incarnation.Evidence(False, seen_at, False))
            for seen_at in TIMES
        ]
        self.assertEqual(asked, [False, True, False, False])
