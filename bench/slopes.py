"""The slopes from which docs/CAPACITY.md is worked out.

Usage:
  slopes [--json] [--only=NAME]

Options:
  --json       Print JSON.
  --only=NAME  Measure one slope only.

Each slope is measured at four sizes or more and printed with its points, a
straight line through them and the largest deviation from it.  In-process
measurements say so; ``idle`` and ``propagation`` use real processes.
"""

import json

import docopt

from bench import fit
from bench import slope as slope_module
from bench import slopes_membership
from bench import slopes_policy
from bench import slopes_processes
from bench import slopes_records

IN_PROCESS = (
    slopes_membership.gossip_bytes,
    slopes_membership.gossip_cpu,
    slopes_membership.member_memory,
    slopes_records.renewal_cpu,
    slopes_records.renewal_bytes,
    slopes_records.change_cpu,
    slopes_records.view_cost,
    slopes_records.endpoint_memory,
    slopes_records.snapshot_bytes,
    slopes_records.commit_cpu,
    slopes_records.commit_bytes,
    slopes_records.key_memory,
    slopes_policy.routing_cpu,
    slopes_policy.subset_cpu,
    slopes_policy.hint_memory,
    slopes_policy.share_cpu,
    slopes_membership.crash_cpu,
)


def main():
    """Measure and print."""
    options = docopt.docopt(__doc__)
    only = options["--only"]
    slopes = [
        measure() for measure in IN_PROCESS if only in (None, measure.__name__)
    ]
    for name, measure in slopes_processes.MEASURES.items():
        if only in (None, name):
            slopes.extend(slope_module.Slope(*row) for row in measure())
    if options["--json"]:
        print(json.dumps([slope._asdict() for slope in slopes], indent=1))
        return
    for slope in slopes:
        print(render(slope))


def render(slope):
    """Return a slope as a line of text."""
    found = fit.line(slope.points)
    points = ", ".join(f"{x:g}: {y:.4g}" for x, y in slope.points)
    return (
        f"{slope.name}: {found.base:.4g} + {found.slope:.4g} {slope.unit} a "
        f"{slope.per}, residual {found.residual:.0%} ({slope.how}; {points})"
    )


if __name__ == "__main__":
    main()
