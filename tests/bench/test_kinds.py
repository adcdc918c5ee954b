"""The table of what has been played."""

import json
import pathlib
import tempfile
import unittest

from bench import kinds

ROW = {"G": 0.5, "troubles": []}


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

    def planned_table(self):
        """Return the rows of the table of planned work, without its head."""
        played = kinds.days(self.folder)
        work_by_name = kinds.planned_work(self.folder)
        return list(kinds.planned_table(played, work_by_name))[2:]

    def day_file(self, name, *plan, faults=()):
        """Write the file of a day."""
        rows = {"plan": plan, "faults": faults}
        text = f"name = {json.dumps(name)}\n"
        for key, entries in rows.items():
            inner = ", ".join(f"{{ at = 1.0, {entry} }}" for entry in entries)
            text += f"{key} = [{inner}]\n"
        (self.folder / f"{name}.toml").write_text(text)

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

    def test_entries_before_a_time_are_left_out(self):
        text = json.dumps(
            {"site": "north", "at": ["2026-01-02T00:00:00Z"], "days": [ROW]}
        )
        (self.folder / "1.json").write_text(text)
        for since, count in (("2026-01-02", 1), ("2026-01-03", 0)):
            played = list(kinds.days(self.folder, since))
            self.assertEqual(len(played), count)

    def test_planned_work_is_counted_by_kind_and_variant(self):
        self.day_file(
            "stops",
            'kind = "roll_term", how = "busy drain", x = 2.0',
            'kind = "hup", x = 1.0',
        )
        self.entry("1", "north", ROW | {"name": "stops"})
        self.entry(
            "2",
            "north",
            ROW | {"name": "deploy/days/stops.toml --vary --seed 7"},
            ROW | {"name": "stops", "rules": {"LOST": 1}},
            ROW | {"name": "mix --seed 7"},
        )
        self.assertEqual(
            self.planned_table(),
            [
                "| `hup` | – | 3, 1 |",
                "| `roll_term` | busy, drain, x = 2 | 3, 1 |",
            ],
        )

    def test_a_trial_is_not_counted_as_planned_work(self):
        self.day_file("stops", 'kind = "hup"')
        day = ROW | {"name": "stops"}
        text = json.dumps(
            {"site": "north", "why": "trial: waits less", "days": [day]}
        )
        (self.folder / "1.json").write_text(text)
        self.assertEqual(self.planned_table(), [])

    def test_work_planned_after_the_traffic_is_not_counted(self):
        (self.folder / "late.toml").write_text(
            'plan = [{ at = 46.0, kind = "roll_term" }]\nfaults = []\n'
        )
        self.entry("1", "north", ROW | {"name": "late"})
        self.assertEqual(self.planned_table(), [])

    def test_a_day_with_faults_is_not_planned_work(self):
        self.day_file("mixed", 'kind = "hup"', faults=['kind = "lossy"'])
        self.entry("1", "north", ROW | {"name": "mixed"})
        self.assertEqual(self.planned_table(), [])
