"""Cut gateways off from all endpoints, and show what their callers get.

Usage:
  cut [--gateways=N] [--processors=K] [--engines=E] [--callers=C]
      [--whom=WHOM] [--mode=MODE] [--seconds=S] [--after=S] [--busy=N]
      [--revision=R] [--logs=DIR]

Options:
  --gateways=N    How many gateways, spread over three data centres
                  [default: 71].
  --processors=K  The gateways share so many processors [default: 5].
  --engines=E     Model engines, beside three plain services [default: 45].
  --callers=C     Callers, in turn in each data centre [default: 36].
  --whom=WHOM     Who is cut off: a data centre by its name, two such as ab,
                  or a share such as 0.5 of each [default: a].
  --mode=MODE     Links hang, are reset, or are refused when new: hang, reset
                  or refuse [default: hang].
  --seconds=S     How long the cut lasts [default: 14].
  --after=S       How long callers are watched after its end [default: 10].
  --busy=N        So many further processes keep the processors busy
                  [default: 0].
  --revision=R    What git has under this name is run [default: HEAD].
  --logs=DIR      Keep the gateways' logs in this folder.

The gateways run by the command of ``deploy/system.toml`` in a clean,
read-only checkout after its build; only their connections to endpoints pass a
stand-in for the network.

Exit codes: 0 callers of the gateways that were cut off were served as others
were, during the cut and after its end; 1 they weren't.
"""

import collections
import os
import shutil
import statistics
import subprocess
import sys
import tempfile
import time

import docopt

from bench import deployed
from bench import slopes_processes
from bench.soak import bounds
from bench.soak import history as history_module
from bench.soak import recovery
from standins import bringup
from standins import checkout

SERVED_BEFORE_SECONDS = 8.0
OTHERS = "others"
# So many gateways share a stand-in for the network.
GROUP_SIZE = 6


class Cut:
    """A fleet some of whose gateways are cut off for a while."""

    def __init__(self, built, processors, gateways, whom):
        """Prepare gateways in three data centres."""
        names = [f"gateway-{n + 1}" for n in range(gateways)]
        centres = deployed.DATA_CENTRES
        data_centre_by_name = {
            name: centres[number * len(centres) // gateways]
            for number, name in enumerate(names)
        }
        self.cut_names = _cut_names(data_centre_by_name, whom)
        self.group_by_name = {
            name: f"{name in self.cut_names}-{number // GROUP_SIZE}"
            for number, name in enumerate(names)
        }
        self.fleet = deployed.DeployedFleet(
            built, processors, names, self.group_by_name
        )
        self.fleet.case.data_centre_by_gateway = data_centre_by_name
        self.history = self.fleet.history
        self.cpu_rows = []
        # Processor seconds of each gateway when the cut began and ended.
        self.cpu_at_ends = []

    def play(self, mode, cut_seconds, after_seconds):
        """Cut some gateways off, and heal that."""
        time.sleep(SERVED_BEFORE_SECONDS)
        self.wall = time.time()
        self.start = time.monotonic()
        self.cpu_at_ends.append(self._cpu_by_name())
        self._set_mode(mode)
        cut = history_module.Cut(
            tuple(self.cut_names), self.start, self.start + cut_seconds
        )
        self.history.add(self.history.cuts, cut)
        for name in self.cut_names:
            self.history.record_disturbance(
                history_module.CUT, name, cut_seconds + after_seconds
            )
        self._watch(cut.end)
        self.cpu_at_ends.append(self._cpu_by_name())
        self._set_mode("ok")
        # Gateways have as long after the end as they have after the start.
        healed = history_module.Cut(
            tuple(self.cut_names), cut.end, cut.end + after_seconds
        )
        self._watch(healed.end)
        self.history.add(self.history.cuts, healed)

    def _cpu_by_name(self):
        return {
            name: slopes_processes.cpu_ticks(
                self.fleet.dep.process_by_name[name].pid
            )
            / slopes_processes.TICKS
            for name in self.fleet.names
        }

    def _print_cpu(self, seconds):
        """Print what a gateway took of a processor while the cut lasted."""
        before, after = self.cpu_at_ends
        for what, is_cut in (("cut off", True), ("others", False)):
            used = [
                1_000 * (after[name] - before[name]) / seconds
                for name in self.fleet.names
                if (name in self.cut_names) is is_cut
            ]
            if used:
                mean = statistics.mean(used)
                print(f"{what}: {mean:.0f} ms of a processor a second each")

    def _set_mode(self, mode):
        for group in sorted({self.group_by_name[n] for n in self.cut_names}):
            self.fleet.case.cut(group, mode)

    def _watch(self, end):
        while time.monotonic() < end:
            self.cpu_rows.append(
                (time.monotonic() - self.start, self.fleet.cpu_seconds())
            )
            time.sleep(min(1.0, max(0.0, end - time.monotonic())))

    def report(self):
        """Print what happened second by second; return the violations."""
        spans = collections.defaultdict(collections.Counter)
        for sent in list(self.history.sent):
            if sent.kind not in bounds.RESTART_KINDS:
                continue
            group = "cut" if sent.gateway in self.cut_names else OTHERS
            span = spans[int((sent.at - self.start) // 1)]
            span[f"{group} sent"] += 1
            is_served = sent.status == 200 and sent.is_correct
            span[f"{group} served"] += is_served
            if not is_served:
                span[f"{group} {sent.status or sent.failure.value}"] += 1
        reaches = self._reaches()
        cpu_by_second = {int(at): cpu for at, cpu in self.cpu_rows}
        print("second   cut off     others  CPU  what else")
        for second in sorted(spans):
            span = spans[second]
            used = cpu_by_second.get(second + 1, 0) - cpu_by_second.get(
                second, 0
            )
            more = {
                key: count
                for key, count in sorted(span.items())
                if not key.endswith((" sent", " served"))
                or key.endswith("not sent")
            }
            more.update(sorted(reaches[second].items()))
            print(
                f"{second:6d} {span['cut served']:4d}/{span['cut sent']:4d}"
                f" {span['others served']:5d}/{span['others sent']:4d}"
                f" {max(used, 0):4.1f}  {more or ''}"
            )
        self._print_cpu(self.history.cuts[0].end - self.start)
        return list(recovery.find_violations(self.history))

    def _reaches(self):
        """Return how often each reach was found, by second."""
        found = collections.defaultdict(collections.Counter)
        for name in self.fleet.names:
            group = "cut" if name in self.cut_names else OTHERS
            for row in self.fleet.rows_since(name, self.wall):
                what = row["message"].partition(": ")[2]
                if what.startswith(("reach is", "search")):
                    second = int(row["time"] - self.wall)
                    found[second][f"{group} {what}"] += 1
        return found


def _cut_names(data_centre_by_name, whom):
    """Return the names of the gateways to cut off."""
    if set(whom) <= {*deployed.DATA_CENTRES}:
        return [
            n for n, centre in data_centre_by_name.items() if centre in whom
        ]
    share = float(whom)
    return [
        name
        for number, name in enumerate(data_centre_by_name)
        if int((number + 1) * share) > int(number * share)
    ]


def main():
    """Play one cut and print what happened when."""
    options = docopt.docopt(__doc__)
    shared = bringup.last_processors(int(options["--processors"]))
    with tempfile.TemporaryDirectory() as folder:
        built = checkout.Checkout(folder, options["--revision"])
        busy = [
            subprocess.Popen([sys.executable, "-c", "while True: pass"])
            for _ in range(int(options["--busy"]))
        ]
        others = os.sched_getaffinity(0) - {*shared}
        os.sched_setaffinity(0, others or shared)
        cut = Cut(built, shared, int(options["--gateways"]), options["--whom"])
        try:
            cut.fleet.bring_up(int(options["--engines"]))
            cut.fleet.start_clients(
                int(options["--callers"]), deployed.DATA_CENTRES
            )
            cut.play(
                options["--mode"],
                float(options["--seconds"]),
                float(options["--after"]),
            )
            violations = cut.report()
        finally:
            for process in busy:
                process.kill()
            if options["--logs"]:
                shutil.copytree(cut.fleet.dep.folder, options["--logs"])
            cut.fleet.close()
            built.remove()
    for violation in violations:
        # Without the names of all gateways that were cut off.
        print(violation.rpartition(", ")[2])
    if not violations:
        print("served as others were")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
