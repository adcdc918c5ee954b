"""What has been played, by kind of trouble: a table from the journal.

Usage:
  kinds [--journal=FOLDER]

Options:
  --journal=FOLDER  Where the entries are [default: journal].

Prints a Markdown table: for each kind and site the days played with it, those
on which a rule was broken or a fault occurred, and their mean worth.
"""

import collections
import json
import pathlib
import typing

import docopt


class Day(typing.NamedTuple):
    """One played day."""

    site: str
    kinds: tuple[str, ...]
    broken: bool
    worth: float


def days(folder):
    """Yield the days of all entries; those without a result are left out."""
    for path in sorted(pathlib.Path(folder).glob("*.json")):
        entry = json.loads(path.read_text())
        for row in entry.get("days") or ():
            if row.get("G") is None or not entry.get("site"):
                continue
            yield Day(
                entry["site"],
                tuple(row.get("troubles") or ()),
                bool(row.get("rules") or row.get("fault")),
                row["G"],
            )


def table(played):
    """Return the lines of the table."""
    by_cell = collections.defaultdict(list)
    for day in played:
        for kind in set(day.kinds):
            by_cell[kind, day.site].append(day)
    sites = sorted({site for _, site in by_cell})
    yield "| kind | " + " | ".join(sites) + " |"
    yield "|" + "---|" * (len(sites) + 1)
    for kind in sorted({kind for kind, _ in by_cell}):
        cells = [_cell(by_cell.get((kind, site), [])) for site in sites]
        yield f"| `{kind}` | " + " | ".join(cells) + " |"


def _cell(found):
    if not found:
        return "–"
    broken = sum(day.broken for day in found)
    worth = sum(day.worth for day in found) / len(found)
    return f"{len(found)}, {broken}, {worth:.2f}"


def main():
    """Print the table."""
    options = docopt.docopt(__doc__)
    print("\n".join(table(days(options["--journal"]))))


if __name__ == "__main__":
    main()
