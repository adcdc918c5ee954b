"""Random faults over running gateways, then the checks.

Usage:
  soak [--seed=N] [--minutes=M] [--gateways=G] [--only=KIND]... [--planned]

Options:
  --seed=N      Seed of the faults [default: 1].
  --minutes=M   How long to run [default: 1].
  --gateways=G  How many gateways [default: 3].
  --only=KIND   Only faults of this kind.
  --planned     Only planned work: stops, hang-ups, new configurations and
                endpoints that leave.

Exit codes: 0 no promise broken, 1 some were.
"""

import collections
import sys

import docopt

from bench.soak import faults
from bench.soak import lateness


def main():
    """Run one seed and print what was broken."""
    options = docopt.docopt(__doc__)
    run = faults.Soak(
        int(options["--seed"]),
        float(options["--minutes"]) * 60,
        int(options["--gateways"]),
        tuple(options["--only"]),
        options["--planned"],
    )
    watch = lateness.Watch()
    watch.start()
    broken = run.go()
    late = watch.stop()
    ledger = run.ledger
    told = collections.Counter(
        sent.failure.value if sent.failure else str(sent.status)
        for sent in ledger.sent
    )
    ends = ", ".join(
        f"{end}: {number}" for end, number in sorted(told.items())
    )
    print(
        f"seed {options['--seed']}: {len(ledger.faults)} faults, "
        f"{len(ledger.sent)} requests ({ends}), "
        f"{len(ledger.orders)} orders, {len(broken)} promises broken; "
        f"own threads late by {late.seconds:.2f} s at {late.at:.1f} s"
    )
    for at, what in ledger.faults if broken else ():
        print(f"  {at:7.2f} s {what}")
    for sentence in broken:
        print(f"BROKEN {sentence}")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
