"""The main job on stand-ins, in under a minute, with a summary.

It publishes a fleet, serves both kinds of work from several callers at once,
swings the mix, drains an engine under load, kills an entry, and exits with 1
if a guarantee was broken.
"""

import random
import statistics
import sys
import threading
import time

from bench import checker
from bench import load
from standins import bringup

ENTRIES = 4
STEWARDS = 3
ENGINES = 4
CALLERS = 6
SECONDS = 24.0
SWING_SECONDS = 6.0
TARGET_FIRST_MS = 1_100
TARGET_GAP_MS = 100
LONG = ("delivery history line. " * 160, 12)
SHORT = ("a short question", 60)


class Demo:
    """One run of the demo."""

    def __init__(self):
        """Prepare the run; :meth:`run` executes it."""
        self.dep = bringup.Deployment()
        self.stop = threading.Event()
        self.started = time.monotonic()
        self.firsts = []
        self.gaps = []
        self.ends = []
        self.outcomes = []

    def run(self):
        """Run the deployment; return the verdict and the role changes."""
        with self.dep:
            self._bring_up()
            self._print_progress("the system is up; callers start")
            self.started = time.monotonic()
            threads = [
                threading.Thread(target=self._call, args=(n,))
                for n in range(CALLERS)
            ]
            for thread in threads:
                thread.start()
            self._disturb()
            self.stop.set()
            for thread in threads:
                thread.join(60)
            verdict = checker.find_violations(
                checker.read_events(self.dep.folder)
            )
            return verdict, self._role_changes()

    def _bring_up(self):
        dep = self.dep
        dep.platform()
        for number in range(ENGINES):
            options = ["--gap-ms=12", "--prefill-us=200", "--change-ms=1500"]
            dep.engine(
                f"engine-{number}",
                "abc"[number % 3],
                options=options,
                role="auto",
            )
        dep.service("orders-1", "a")
        dep.service("orders-2", "b")
        dep.classes()
        row = dep.fleet["class"]["drafting"]
        row.update(first_ms=TARGET_FIRST_MS, gap_ms=TARGET_GAP_MS)
        dep.fleet["policy"] = {"change_ms": 1500, "horizon_ms": 30000}
        self.entries = [f"entry-{n}" for n in range(ENTRIES)]
        self.stewards = [f"steward-{n}" for n in range(STEWARDS)]
        for index, name in enumerate(self.entries):
            dep.instance(name, "abc"[index % 3], "entry")
        for index, name in enumerate(self.stewards):
            dep.instance(name, "abc"[index % 3], "steward")
        names = self.entries + self.stewards
        dep.list_instances(names)
        version = dep.publish()
        dep.wait_ready(names)
        self._print_progress(f"published version {version}, active everywhere")

    def _disturb(self):
        time.sleep(SECONDS / 4)
        self.dep.operate("drain", "engine-1")
        self._print_progress("engine-1 is being drained under load")
        time.sleep(SECONDS / 4)
        self.dep.kill("entry-1")
        self._print_progress("entry-1 was killed")
        time.sleep(SECONDS / 4)
        self.dep.operate("serve", "engine-1")
        self._print_progress("engine-1 serves again")
        time.sleep(SECONDS / 4)

    def _call(self, number):
        rng = random.Random(number)
        first = [self._address(name) for name in self.entries]
        caller = load.Caller(load.Addresses(first), f"caller-{number}")
        path = self.dep.folder / f"caller-{number}.log"
        serial = 0
        with open(path, "a") as log:
            while not self.stop.is_set():
                serial += 1
                if rng.random() < 0.3:
                    outcome = caller.book(f"{number}-{serial}")
                    self.outcomes.append(outcome)
                    load.record_booking(
                        log, caller.name, f"{number}-{serial}", outcome
                    )
                    continue
                text, tokens = self._mix(rng)
                prompt = f"{number} {serial} {text}"
                end, first_ms, gap_ms = caller.read_stream(prompt, tokens)
                load.record_stream(log, f"{number}-{serial}", end)
                self.ends.append(end)
                if end == "whole":
                    self.firsts.append(first_ms)
                    self.gaps.append(gap_ms)

    def _mix(self, rng):
        """Return a kind of work drawn from the current mix."""
        passed = time.monotonic() - self.started
        is_long = int(passed / SWING_SECONDS) % 2 == 0
        share = 0.8 if is_long else 0.2
        return LONG if rng.random() < share else SHORT

    def _address(self, name):
        return self.dep.callers(name).removeprefix("http://")

    def _role_changes(self):
        logs = [self.dep.log_of(name) for name in self.stewards]
        return sum(text.count("order=set_role") for text in logs)

    def _print_progress(self, sentence):
        passed = time.monotonic() - self.started
        print(f"{passed:5.1f} s  {sentence}", flush=True)


def summary(demo, verdict, role_changes):
    """Return the summary as lines."""
    within = sum(
        first <= TARGET_FIRST_MS and (gap is None or gap <= TARGET_GAP_MS)
        for first, gap in zip(demo.firsts, demo.gaps)
    )
    doubled = [line for line in verdict.broken if "times" in line]
    whole = demo.ends.count("whole")
    rows = [
        ("answered whole", f"{whole} of {len(demo.ends)}"),
        ("within target", f"{within} of {whole}"),
        ("refused (not run)", demo.ends.count("refused")),
        ("ended with an error", demo.ends.count("error")),
        (
            "bookings confirmed",
            f"{demo.outcomes.count('done')} of {len(demo.outcomes)}",
        ),
        ("bookings in doubt", demo.outcomes.count("may_have_run")),
        ("doubled", len(doubled)),
        ("cut by a change", verdict.counts.get("cut", 0)),
        ("role changes", role_changes),
        ("first token, median", f"{statistics.median(demo.firsts):.0f} ms"),
        ("guarantees broken", len(verdict.broken)),
    ]
    return [f"  {name:<22}{value}" for name, value in rows]


def main():
    """Run the demo and print its summary."""
    demo = Demo()
    verdict, role_changes = demo.run()
    print()
    print("\n".join(summary(demo, verdict, role_changes)))
    for line in verdict.broken:
        print(f"  BROKEN: {line}")
    sys.exit(1 if verdict.broken else 0)


if __name__ == "__main__":
    main()
