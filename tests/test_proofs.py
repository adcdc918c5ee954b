"""The table of rules in docs/PROOFS.md names what exists."""

import ast
import pathlib
import re
import unittest

from bench import rules

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEADING = "## Rules of the users' platform"
COLUMNS = 7


def table_rows():
    """Return the cells of each row below the heading."""
    text = (ROOT / "docs" / "PROOFS.md").read_text()
    section = text.partition(HEADING)[2].partition("\n## ")[0]
    lines = [line for line in section.splitlines() if line.startswith("|")]
    return [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in lines[2:]
    ]


def quoted(cell):
    """Return the names in a cell that are marked as code."""
    return re.findall(r"`([^`]+)`", cell)


def functions(path):
    """Return the names of all functions in a file."""
    return {
        node.name
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.FunctionDef)
    }


class RulesTable(unittest.TestCase):
    """A reader finds each rule, its code and its tests."""

    def setUp(self):
        """Read the table."""
        self.rows = table_rows()

    def test_each_rule_has_one_row(self):
        self.assertEqual(
            [row[0] for row in self.rows], list(rules.ATTACKS_BY_RULE)
        )
        self.assertEqual(14, len(self.rows))
        for row in self.rows:
            self.assertEqual(COLUMNS, len(row), row[0])
            self.assertNotIn("", row)

    def test_the_files_exist(self):
        for rule, _, files, *_ in self.rows:
            self.assertTrue(quoted(files), rule)
            for name in quoted(files):
                path = ROOT / "clementinewall" / name
                self.assertTrue(path.is_file(), f"{rule}: {name}")

    def test_the_tests_exist(self):
        for rule, _, _, tests, *_ in self.rows:
            known = set()
            names = quoted(tests)
            self.assertTrue(any(n.startswith("test_") for n in names), rule)
            for name in names:
                if name.endswith(".py"):
                    path = ROOT / "tests" / name
                    self.assertTrue(path.is_file(), f"{rule}: {name}")
                    known = functions(path)
                else:
                    self.assertIn(name, known, rule)

    def test_the_attacks_are_those_that_are_counted(self):
        for rule, _, _, _, attacks, *_ in self.rows:
            self.assertEqual(
                tuple(quoted(attacks)), rules.ATTACKS_BY_RULE[rule], rule
            )


if __name__ == "__main__":
    unittest.main()
