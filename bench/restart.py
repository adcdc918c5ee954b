"""Kill all gateways at once on few processors and time their return.

Usage:
  restart [--gateways=N] [--processors=K] [--engines=E] [--callers=C]
          [--seconds=S] [--down=S] [--again=S] [--store-calls=N]
          [--loses-engines] [--revision=R] [--logs=DIR]

Options:
  --gateways=N    How many gateways [default: 71].
  --processors=K  The gateways share so many processors [default: 2].
  --engines=E     Model engines, beside three plain services [default: 45].
  --callers=C     Callers that ask for addresses [default: 30].
  --seconds=S     How long callers call after the return [default: 25].
  --down=S        Seconds between the kill and the start [default: 1].
  --again=S       Kill all once more, so many seconds after the start.
  --store-calls=N  The store works off so many calls a second, in turn, from
                  the kill on.
  --loses-engines  All engines crash with the gateways; others come 8 s later.
  --revision=R    What git has under this name is run [default: HEAD].
  --logs=DIR      Keep the gateways' logs in this folder.

The gateways run as operators run them: the command of ``deploy/system.toml``
in a clean, read-only checkout after its build.  All else (store, endpoints,
callers, readiness checks) runs on the other processors, if there are any.

Exit codes: 0 service returned in time, 1 it didn't.
"""

import collections
import os
import shutil
import statistics
import sys
import tempfile
import threading
import time

import docopt

from bench import deployed
from bench.soak import bounds
from standins import bringup
from standins import checkout

SERVED_BEFORE_SECONDS = 6.0
ENGINES_AWAY_SECONDS = 8.0
RECOVER_SECONDS = 15.0
READINESS_SECONDS = 1.0


class Restart(deployed.DeployedFleet):
    """A fleet whose gateways are all killed and started again."""

    def __init__(self, built, processors, names):
        """Prepare gateways of these names, which share ``processors``."""
        super().__init__(built, processors, names)
        self.ready_at_by_name = {}
        self.cpu_rows = []
        self.back_at = None

    def serve_before(self):
        """Serve callers for a while and measure what that costs."""
        before = self.cpu_seconds()
        time.sleep(SERVED_BEFORE_SECONDS)
        used = self.cpu_seconds() - before
        self.load_before = used / SERVED_BEFORE_SECONDS

    def lose_all(self, down_seconds, again_seconds=None):
        """Kill all gateways and start them again, once or twice."""
        self.lost_at = time.monotonic()
        self._kill_and_start(down_seconds)
        if again_seconds is not None:
            time.sleep(again_seconds)
            self._kill_and_start(down_seconds)

    def _kill_and_start(self, down_seconds):
        for name in self.names:
            self.dep.process_by_name[name].kill()
        for name in self.names:
            self.dep.process_by_name[name].wait()
        time.sleep(down_seconds)
        self.back_wall = time.time()
        self.back_at = time.monotonic()
        for name in self.names:
            self.dep.start(name)

    def lose_engines(self):
        """Crash all engines; others come after a while."""
        lost = [b for b in self.backends if b.service == "model"]
        for backend in lost:
            backend.end(crash=True)

        def replace():
            for backend in lost:
                self.put(backend.name, None)
                self.add_endpoint(f"{backend.name}~", "model", backend.stage)

        threading.Timer(ENGINES_AWAY_SECONDS, replace).start()

    def watch(self, seconds):
        """Ask each gateway once a second whether it is ready."""
        for name in self.names:
            threading.Thread(
                target=self._watch_readiness, args=(name,), daemon=True
            ).start()
        end = self.back_at + seconds
        while time.monotonic() < end:
            time.sleep(1.0)
            self.cpu_rows.append(
                (time.monotonic() - self.back_at, self.cpu_seconds())
            )

    def _watch_readiness(self, name):
        while not self.stopping.wait(READINESS_SECONDS):
            if self.case.is_ready(name):
                self.ready_at_by_name.setdefault(
                    name, time.monotonic() - self.back_at
                )

    # What was seen.

    def milestones(self):
        """Return seconds after the return, by milestone; and CPU ms."""
        found = collections.defaultdict(list)
        for name in self.names:
            seen = set()
            for row in self.rows_since(name, self.back_wall):
                what = row["message"].partition(": ")[2]
                key = what + (f" {row['topic']}" if "topic" in row else "")
                if key in seen:
                    continue
                seen.add(key)
                found[key].append(row["time"] - self.back_wall)
                if "cpu_ms" in row:
                    found[f"{key}, CPU"].append(row["cpu_ms"] / 1_000)
        return found


def _spread(values):
    ordered = sorted(values)
    return (
        f"{len(ordered):4d} {ordered[0]:7.2f} "
        f"{statistics.median(ordered):7.2f} {ordered[-1]:7.2f}"
    )


def report(restart, seconds):
    """Print the timeline; return whether service returned in time."""
    print("what                                   n   first  median    last")
    for key, values in sorted(restart.milestones().items()):
        if len(values) >= len(restart.names) / 4:
            print(f"{key[:36]:36s}{_spread(values)}")
    ready = restart.ready_at_by_name.values()
    if ready:
        print(f"{'ready, by checks each second':36s}{_spread(ready)}")
    print("second  sent served  gateways' CPU s")
    cpu_by_second = {int(at): cpu for at, cpu in restart.cpu_rows}
    for second in range(int(seconds)):
        start = restart.back_at + second
        span = restart.span(start, start + 1)
        cpu = cpu_by_second.get(second, 0.0)
        print(f"{second:6d} {span.sent:5d} {span.served:6d} {cpu:8.1f}")
    print(f"processors busy before the loss: {restart.load_before:.2f}")
    before = restart.span(
        restart.lost_at - SERVED_BEFORE_SECONDS, restart.lost_at
    )
    after = restart.span(
        restart.back_at + RECOVER_SECONDS, restart.back_at + seconds - 3
    )
    print(f"before: {before}; after {RECOVER_SECONDS} s: {after}")
    is_served = after.served >= bounds.MIN_RESTART_SHARE * after.sent
    # Callers who know no address send nothing.
    return is_served and after.sent > 0


def main():
    """Play one loss of all and print what happened when."""
    options = docopt.docopt(__doc__)
    shared = bringup.last_processors(int(options["--processors"]))
    names = [f"gateway-{n + 1}" for n in range(int(options["--gateways"]))]
    seconds = float(options["--seconds"])
    with tempfile.TemporaryDirectory() as folder:
        built = checkout.Checkout(folder, options["--revision"])
        others = os.sched_getaffinity(0) - {*shared}
        os.sched_setaffinity(0, others or shared)
        restart = Restart(built, shared, names)
        try:
            restart.bring_up(int(options["--engines"]))
            restart.start_clients(int(options["--callers"]))
            restart.serve_before()
            if options["--store-calls"]:
                per_second = int(options["--store-calls"])
                restart.case.set_store_mode("ok", queued_per_second=per_second)
            if options["--loses-engines"]:
                restart.lose_engines()
            again = options["--again"]
            restart.lose_all(
                float(options["--down"]), float(again) if again else None
            )
            restart.watch(seconds)
            is_back = report(restart, seconds)
        finally:
            if options["--logs"]:
                shutil.copytree(restart.dep.folder, options["--logs"])
            restart.close()
            built.remove()
    sys.exit(0 if is_back else 1)


if __name__ == "__main__":
    main()
