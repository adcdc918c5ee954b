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
import contextlib
import json
import os
import shutil
import statistics
import sys
import tempfile
import threading
import time
import typing

import docopt
import httpx

from bench import slopes_processes
from bench.soak import addresses
from bench.soak import backends
from bench.soak import bounds
from bench.soak import callers
from bench.soak import history as history_module
from standins import bringup
from standins import checkout
from tests.integration import gateway_base

SERVICES = 3
SERVED_BEFORE_SECONDS = 6.0
ENGINES_AWAY_SECONDS = 8.0
RECOVER_SECONDS = 15.0
READINESS_SECONDS = 1.0


class _Case(gateway_base.GatewayCase):
    def __init__(self, built):
        super().__init__()
        self._built = built

    def runTest(self):
        """Do nothing: only the set-up of the test case is used."""

    def new_deployment(self):
        return checkout.CheckoutDeployment(self._built)


class Span(typing.NamedTuple):
    """What was sent and served in a span of time."""

    sent: int
    served: int


class Restart:
    """A deployment whose gateways are all killed and started again."""

    def __init__(self, built, processors, names):
        """Prepare gateways of these names, which share ``processors``."""
        self.names = names
        self.history = history_module.History()
        self.case = _Case(built)
        self.case.setUp()
        self.dep = self.case.dep
        self.dep.share_processors(names, processors)
        self.backends = []
        self.ready_at_by_name = {}
        self.cpu_rows = []
        self.stopping = threading.Event()
        self.back_at = None

    def bring_up(self, engines):
        """Start endpoints, then the gateways, and wait until all are ready."""
        case = self.case
        route = gateway_base.route
        case.publish(
            route("look", "app", "safe"),
            route("book", "app", "unsafe"),
            route("slow", "app", "safe", timeout_ms=800),
            route("wait", "app", "safe"),
            route("chat", "model", "stream", resumable=True),
            route("new1", "app", "safe"),
        )
        for number in range(SERVICES):
            self._add(f"app-{number}", "app")
        for number in range(engines):
            stage = "prefill" if number % 3 == 0 and engines > 2 else "decode"
            self._add(f"engine-{number}", "model", stage)
        for number, name in enumerate(self.names, 1):
            case.start_without_waiting(
                name, f"127.0.0.{number}", grace_s=8, config_ms=3_000
            )
        for name in self.names:
            bringup.wait_until(
                lambda n=name: case.is_ready(n), seconds=120, what=name
            )

    def _add(self, name, service, stage=None):
        backend = backends.Backend(
            name, service, self.history, self._put, stage
        )
        backend.register(backend.endpoint.address)
        self.backends.append(backend)

    def _put(self, name, row):
        content = b"" if row is None else row
        try:
            self.case.put(gateway_base.ENDPOINTS_TOPIC, name, content)
        except httpx.HTTPError as exc:
            print(f"record of endpoint {name} not written: {exc!r}")

    def start_clients(self, count):
        """Start callers."""
        listen = self.case.listen_by_name
        for seed in range(count):
            callers.Caller(
                seed,
                self.history,
                lambda rng: addresses.ResolvedAddresses(rng, listen),
                self.stopping,
            ).start()

    def serve_before(self):
        """Serve callers for a while and measure what that costs."""
        before = self._cpu_seconds()
        time.sleep(SERVED_BEFORE_SECONDS)
        used = self._cpu_seconds() - before
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
                self._put(backend.name, None)
                self._add(f"{backend.name}~", "model", backend.stage)

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
                (time.monotonic() - self.back_at, self._cpu_seconds())
            )

    def _watch_readiness(self, name):
        while not self.stopping.wait(READINESS_SECONDS):
            if self.case.is_ready(name):
                self.ready_at_by_name.setdefault(
                    name, time.monotonic() - self.back_at
                )

    def _cpu_seconds(self):
        ticks = 0
        for name in self.names:
            process = self.dep.process_by_name[name]
            if process.poll() is None:
                ticks += slopes_processes.cpu_ticks(process.pid)
        return ticks / slopes_processes.TICKS

    def close(self):
        """End everything."""
        self.stopping.set()
        for backend in self.backends:
            # Without a call to the store, which may be busy.
            backend.end(crash=True)
        self.case.doCleanups()

    # What was seen.

    def span(self, start, end):
        """Return what was sent and served from start to end."""
        rows = [
            sent
            for sent in list(self.history.sent)
            if start <= sent.at < end and sent.kind in bounds.RESTART_KINDS
        ]
        served = sum(row.status == 200 and row.is_correct for row in rows)
        return Span(len(rows), served)

    def milestones(self):
        """Return seconds after the return, by milestone; and CPU ms."""
        found = collections.defaultdict(list)
        for name in self.names:
            seen = set()
            for row in self._rows_since_return(name):
                what = row["message"].partition(": ")[2]
                key = what + (f" {row['topic']}" if "topic" in row else "")
                if key in seen:
                    continue
                seen.add(key)
                found[key].append(row["time"] - self.back_wall)
                if "cpu_ms" in row:
                    found[f"{key}, CPU"].append(row["cpu_ms"] / 1_000)
        return found

    def _rows_since_return(self, name):
        """Yield the log lines of a gateway's last process."""
        for line in self.dep.log_of(name).splitlines():
            # Tracebacks of a process that failed are no JSON.
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if row["time"] >= self.back_wall:
                    yield row


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
