"""The software versions that serve, or served lately."""

import unittest

from clementinewall import clock
from clementinewall.gateway import software_versions
from tests.gateway import test_placing


class Versions(unittest.TestCase):
    """Endpoints of a service that appear and leave."""

    def setUp(self):
        """Start with one engine of v1."""
        self.ticker = clock.ManualClock(1_000)
        self.versions = software_versions.SoftwareVersions(self.ticker.now)
        self.first = test_placing.engine(1, "decode", version="v1")
        self.versions.apply(None, self.first)

    def recent(self):
        """Return the versions of the service, sorted."""
        return sorted(self.versions.recent("model"))

    def test_a_version_that_left_is_recent_for_a_while(self):
        second = test_placing.engine(1, "decode", version="v2")
        self.versions.apply(self.first, second)
        self.assertEqual(self.recent(), ["v1", "v2"])
        self.ticker.advance(software_versions.MIN_RETENTION_MS)
        self.versions.expire()
        self.assertEqual(self.recent(), ["v2"])

    def test_an_unchanged_record_changes_nothing(self):
        for _ in range(3):
            self.versions.apply(self.first, self.first)
        self.versions.apply(self.first, None)
        self.ticker.advance(software_versions.MIN_RETENTION_MS)
        self.assertEqual(self.recent(), [])

    def test_a_version_that_comes_back_is_recent_without_end(self):
        self.versions.apply(self.first, None)
        self.versions.apply(None, self.first)
        self.ticker.advance(software_versions.MIN_RETENTION_MS)
        self.versions.expire()
        self.assertEqual(self.recent(), ["v1"])
        self.assertFalse(self.versions.are_several("model"))

    def test_a_version_is_recent_while_its_answers_may_last(self):
        # Guards against a stream that outlives what is known of its version.
        longest_ms = 2 * software_versions.MIN_RETENTION_MS
        self.versions.set_longest_answer(longest_ms)
        self.versions.apply(self.first, None)
        self.ticker.advance(longest_ms - 1)
        self.assertEqual(self.recent(), ["v1"])
        self.ticker.advance(1)
        self.assertEqual(self.recent(), [])
