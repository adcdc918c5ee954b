"""How often each rule of the users' platform was put to the test.

Usage:
  rules [--journal=FOLDER]

Options:
  --journal=FOLDER  Where the entries are [default: journal].

Prints a Markdown table: for each rule the days played with at least one kind
of trouble that attacks it, and those of them on which the rule was broken;
days with faults and days of planned work alone apart.
"""

import json
import pathlib
import typing

import docopt

# Planned work of operators.  The journal doesn't record variants of a kind,
# so a kind that is planned in only some variants counts as a fault.
PLANNED = frozenset(
    (
        "add_nodes",
        "big_config",
        "config_change",
        "config_storm",
        "hup",
        "release",
        "roll_term",
        "scale_in",
        "scale_out",
    )
)
# Actions of callers: neither planned work nor a fault.
CALLERS = frozenset(("burst", "give_up", "retry_abuse", "shift"))

ATTACKS_BY_RULE = {
    "MIXED": (
        "answer_lost",
        "garble",
        "handle_short",
        "reset_conns",
        "srv_crash",
    ),
    "UNASKED": ("answer_lost", "garble", "reset_conns"),
    "TWICE": (
        "answer_lost",
        "node_freeze",
        "reset_conns",
        "srv_cut",
        "srv_grey",
        "srv_slow",
    ),
    "REFUSED": ("answer_lost", "burst", "roll_term", "srv_cut", "srv_grey"),
    "DENIED": (
        "big_config",
        "config_change",
        "config_storm",
        "node_kill",
        "platform_down",
    ),
    "BUDGET": (
        "answer_lost",
        "release",
        "retry_abuse",
        "srv_crash",
        "srv_grey",
    ),
    "GONE": ("burst", "give_up", "node_slow"),
    "LOST": (
        "big_config",
        "config_change",
        "config_storm",
        "hup",
        "release",
        "roll_term",
        "scale_in",
    ),
    "CONFIG": (
        "after_ack_kill",
        "big_config",
        "config_change",
        "config_storm",
        "core_cut",
        "node_freeze",
        "platform_compact",
        "platform_slow",
    ),
    "ROUTE": ("config_change", "config_storm", "replace_with_reuse"),
    "DRAIN": (
        "core_cut",
        "platform_down",
        "platform_lost",
        "release",
        "roll_term",
        "scale_in",
    ),
    "ORDER": ("garble", "reset_conns", "srv_crash", "srv_cut", "srv_grey"),
    "RECOVER": (
        "after_ack_kill",
        "herd_kill",
        "node_cut",
        "node_kill",
        "platform_down",
    ),
    "ONE": (
        "applied_late",
        "core_cut",
        "node_freeze",
        "node_kill",
        "platform_lost",
    ),
}


class Day(typing.NamedTuple):
    """One day that was played to its end."""

    kinds: frozenset
    broken: frozenset

    @property
    def has_faults(self):
        """Return whether the day had a fault."""
        return bool(self.kinds - PLANNED - CALLERS)


class Count(typing.NamedTuple):
    """Days played, and those of them on which the rule was broken."""

    played: int
    broken: int

    def __str__(self):
        """Return it as a cell of the table."""
        return f"{self.played}, {self.broken}" if self.played else "–"


def days(folder):
    """Yield the days of all entries; those without an end are left out.

    A day that was given up says nothing about whether a rule was kept.
    """
    for path in sorted(pathlib.Path(folder).glob("*.json")):
        entry = json.loads(path.read_text())
        for row in entry.get("days") or ():
            if row.get("G") is None or row.get("fault"):
                continue
            yield Day(
                frozenset(row.get("troubles") or ()),
                frozenset(row.get("rules") or ()),
            )


def count(rule, played):
    """Return the :class:`Count` of ``rule`` over the days given."""
    kinds = ATTACKS_BY_RULE[rule]
    attacked = [day for day in played if not day.kinds.isdisjoint(kinds)]
    return Count(len(attacked), sum(rule in day.broken for day in attacked))


def table(played):
    """Return the lines of the table."""
    played = list(played)
    faulty = [day for day in played if day.has_faults]
    planned = [day for day in played if not day.has_faults]
    yield "| rule | with faults | without faults |"
    yield "|---|---|---|"
    for rule in ATTACKS_BY_RULE:
        yield f"| {rule} | {count(rule, faulty)} | {count(rule, planned)} |"


def main():
    """Print the table."""
    options = docopt.docopt(__doc__)
    print("\n".join(table(days(options["--journal"]))))


if __name__ == "__main__":
    main()
