"""The table of what has been played."""

import json
import pathlib
import tempfile
import unittest

from bench import kinds


class KindsTest(unittest.TestCase):
    """Entries as the journal holds them."""

    def setUp(self):
        """Make an empty journal."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def entry(self, name, site, *days):
        """Write an entry."""
        text = json.dumps({"site": site, "days": days})
        (self.folder / f"{name}.json").write_text(text)

    def table(self):
        """Return the rows of the table, without its head."""
        return list(kinds.table(kinds.days(self.folder)))[2:]

    def test_days_are_counted_by_kind_and_site(self):
        self.entry(
            "1",
            "north",
            {"G": 0.5, "troubles": ["burst", "burst"], "rules": {}},
            {"G": 0.3, "troubles": ["burst"], "rules": {"LOST": 4}},
        )
        self.entry("2", "south", {"G": 0.2, "troubles": [], "fault": "slow"})
        self.entry("3", "south", {"G": 0.7, "troubles": ["hup"]})
        self.assertEqual(
            self.table(),
            ["| `burst` | 2, 1, 0.40 | – |", "| `hup` | – | 1, 0, 0.70 |"],
        )

    def test_runs_that_did_not_finish_are_left_out(self):
        self.entry("1", None)
        self.entry("2", "north", {"G": None, "troubles": ["burst"]})
        self.assertEqual(self.table(), [])
