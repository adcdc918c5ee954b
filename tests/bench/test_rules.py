"""The table of how often each rule was put to the test."""

import json
import pathlib
import tempfile
import unittest

from bench import rules


class RulesTest(unittest.TestCase):
    """Entries as the journal holds them."""

    def setUp(self):
        """Make an empty journal."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def rows(self, *days):
        """Write an entry and return its table by rule."""
        text = json.dumps({"site": "north", "days": days})
        (self.folder / "1.json").write_text(text)
        lines = list(rules.table(rules.days(self.folder)))[2:]
        cells = [line.strip("| ").split(" | ") for line in lines]
        return {rule: tuple(counts) for rule, *counts in cells}

    def test_days_with_faults_are_counted_apart(self):
        rows = self.rows(
            {"G": 0.5, "troubles": ["hup", "hup"], "rules": {"LOST": 2}},
            {"G": 0.5, "troubles": ["hup", "burst"], "rules": {}},
            {"G": 0.5, "troubles": ["hup", "node_kill"], "rules": {}},
        )
        self.assertEqual(rows["LOST"], ("1, 0", "2, 1"))
        self.assertEqual(rows["ONE"], ("1, 0", "–"))

    def test_only_the_broken_rule_counts_as_broken(self):
        rows = self.rows(
            {"G": 0.5, "troubles": ["roll_term"], "rules": {"LOST": 1}}
        )
        self.assertEqual(rows["LOST"], ("–", "1, 1"))
        self.assertEqual(rows["DRAIN"], ("–", "1, 0"))

    def test_days_without_an_end_are_left_out(self):
        rows = self.rows(
            {"G": None, "troubles": ["hup"]},
            {"G": 0.1, "troubles": ["hup"], "fault": "too slow"},
        )
        self.assertEqual(set(rows.values()), {("–", "–")})


if __name__ == "__main__":
    unittest.main()
