"""What has been played, by kind of trouble: tables from the journal.

Usage:
  kinds [--journal=FOLDER] [--since=TIME]
  kinds --planned [--journal=FOLDER] [--since=TIME] [--files=FOLDER]

Options:
  --journal=FOLDER  Where the entries are [default: journal].
  --since=TIME      Leave out entries begun before this time, in UTC and as in
                    the entries: 2026-12-03T07:40:00Z [default: 0].
  --planned         Only days of planned work, by kind and variant. Trials are
                    left out: their code is not that of a commit.
  --files=FOLDER    Where the days of planned work are [default: deploy/days].

Prints a Markdown table: for each kind and site the days played with it, those
on which a rule was broken or a fault occurred, and their mean worth. With
--planned: days played and days broken.
"""

import collections
import json
import pathlib
import tomllib
import typing

import docopt

# How long the sites' days have traffic (length_s of each site file), in
# seconds: work planned for later never happens.
TRAFFIC_S = 34


class Day(typing.NamedTuple):
    """One played day."""

    site: str
    name: str
    kinds: tuple[str, ...]
    broken: bool
    worth: float
    trial: bool


def days(folder, since="0"):
    """Yield the days of all entries; those without a result are left out."""
    for path in sorted(pathlib.Path(folder).glob("*.json")):
        entry = json.loads(path.read_text())
        if not entry.get("site") or entry.get("at", [since])[0] < since:
            continue
        for row in entry.get("days") or ():
            if row.get("G") is None:
                continue
            yield Day(
                entry["site"],
                _file_name(row.get("name") or ""),
                tuple(row.get("troubles") or ()),
                bool(row.get("rules") or row.get("fault")),
                row["G"],
                (entry.get("why") or "").startswith("trial"),
            )


def _file_name(name):
    """Return the name of a day without the options of a varied run."""
    return pathlib.PurePath(name.partition(" ")[0]).stem


def planned_work(folder):
    """Return kinds with their variants, by the name of the day.

    Only days without faults count: elsewhere a fault may excuse what planned
    work broke, and entries of the journal don't hold variants.
    """
    work_by_name = {}
    for path in sorted(pathlib.Path(folder).glob("*.toml")):
        day = tomllib.loads(path.read_text())
        if day.get("plan") and not day.get("faults"):
            work_by_name[path.stem] = {
                _label(row) for row in day["plan"] if row["at"] < TRAFFIC_S
            }
    return work_by_name


def _label(row):
    """Return a kind and its variant as one cell of the table."""
    variants = row.get("how", "").split()
    if row.get("x", 1) != 1:
        variants.append(f"x = {row['x']:g}")
    return f"`{row['kind']}` | {', '.join(variants) or '–'}"


def table(played):
    """Return the lines of the table by kind."""
    by_cell = collections.defaultdict(list)
    for day in played:
        for kind in set(day.kinds):
            by_cell[f"`{kind}`", day.site].append(day)
    return _lines("kind", by_cell, _counts_and_worth)


def planned_table(played, work_by_name):
    """Return the lines of the table of planned work."""
    by_cell = collections.defaultdict(list)
    for day in played:
        if day.trial:
            continue
        for label in work_by_name.get(day.name, ()):
            by_cell[label, day.site].append(day)
    return _lines("kind | how", by_cell, _counts)


def _lines(head, by_cell, show):
    sites = sorted({site for _, site in by_cell})
    head = f"| {head} | " + " | ".join(sites) + " |"
    yield head
    yield "|" + "---|" * (head.count("|") - 1)
    for label in sorted({label for label, _ in by_cell}):
        cells = [show(by_cell.get((label, site), [])) for site in sites]
        yield f"| {label} | " + " | ".join(cells) + " |"


def _counts(found):
    if not found:
        return "–"
    return f"{len(found)}, {sum(day.broken for day in found)}"


def _counts_and_worth(found):
    if not found:
        return "–"
    worth = sum(day.worth for day in found) / len(found)
    return f"{_counts(found)}, {worth:.2f}"


def main():
    """Print the table."""
    options = docopt.docopt(__doc__)
    played = days(options["--journal"], options["--since"])
    if options["--planned"]:
        lines = planned_table(played, planned_work(options["--files"]))
    else:
        lines = table(played)
    print("\n".join(lines))


if __name__ == "__main__":
    main()
