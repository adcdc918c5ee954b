"""Inject random faults into running gateways and check the guarantees.

Usage:
  soak [--seed=N] [--minutes=M] [--gateways=G] [--only=KIND]... [--planned]
       [--versions] [--processors=K]

Options:
  --seed=N      Seed of the faults [default: 1].
  --minutes=M   How long to run [default: 1].
  --gateways=G  How many gateways [default: 3].
  --only=KIND   Only faults of this kind.
  --processors=K  The gateways share so many processors; by default all.
  --versions    Engines of several software versions, whose streams callers
                take up again.
  --planned     Only planned work: stops, SIGHUP, new configurations and
                endpoints that drain, and sound endpoints that ask for rest,
                announce that they leave or fall silent for a second.

Exit codes: 0 no guarantee broken, 1 some were.
"""

import collections
import sys

import docopt

from bench.soak import faults
from bench.soak import lateness


def main():
    """Run one seed and print the guarantees that were broken."""
    options = docopt.docopt(__doc__)
    soak = faults.Soak(
        int(options["--seed"]),
        float(options["--minutes"]) * 60,
        int(options["--gateways"]),
        tuple(options["--only"]),
        options["--planned"],
        options["--versions"],
        int(options["--processors"]) if options["--processors"] else None,
    )
    monitor = lateness.LatenessMonitor()
    monitor.start()
    violations = soak.run()
    delay = monitor.stop()
    history = soak.history
    count_by_end = collections.Counter(
        sent.failure.value if sent.failure else str(sent.status)
        for sent in history.sent
    )
    ends = ", ".join(
        f"{end}: {number}" for end, number in sorted(count_by_end.items())
    )
    print(
        f"seed {options['--seed']}: {len(history.faults)} faults, "
        f"{len(history.sent)} requests ({ends}), "
        f"{len(history.orders)} orders, {len(violations)} guarantees broken; "
        f"own threads up to {delay.seconds:.2f} s late, at {delay.at:.1f} s"
    )
    for at, what in history.faults if violations else ():
        print(f"  {at:7.2f} s {what}")
    for sentence in violations:
        print(f"BROKEN {sentence}")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
