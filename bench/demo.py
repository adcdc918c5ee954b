"""The main job on stand-ins, in under a minute, with a summary.

It publishes a fleet, serves both kinds of work from several callers at once,
swings the mix, drains an engine under load, kills an entry, and exits with 1
if a promise broke.
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
        """Prepare; :meth:`run` does the work."""
        self.dep = bringup.Deployment()
        self.stop = threading.Event()
        self.started = time.monotonic()
        self.firsts = []
        self.gaps = []
        self.ends = []
        self.told = []

    def run(self):
        """Bring up, load, disturb, and return the checker's verdict."""
        with self.dep:
            self._bring_up()
            self._say("the system is up; callers begin")
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
            verdict = checker.judge(checker.read_events(self.dep.folder))
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
        self._say(f"published version {version}, in force everywhere")

    def _disturb(self):
        time.sleep(SECONDS / 4)
        self.dep.operate("drain", "engine-1")
        self._say("engine-1 is being drained under load")
        time.sleep(SECONDS / 4)
        self.dep.kill("entry-1")
        self._say("entry-1 was killed")
        time.sleep(SECONDS / 4)
        self.dep.operate("serve", "engine-1")
        self._say("engine-1 serves again")
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
                    told = caller.book(f"{number}-{serial}")
                    self.told.append(told)
                    load.note_booking(
                        log, caller.name, f"{number}-{serial}", told
                    )
                    continue
                text, tokens = self._mix(rng)
                prompt = f"{number} {serial} {text}"
                end, first_ms, gap_ms = caller.read(prompt, tokens)
                load.note_stream(log, f"{number}-{serial}", end)
                self.ends.append(end)
                if end == "whole":
                    self.firsts.append(first_ms)
                    self.gaps.append(gap_ms)

    def _mix(self, rng):
        """Return the kind of work that the swinging mix asks for now."""
        passed = time.monotonic() - self.started
        is_long = int(passed / SWING_SECONDS) % 2 == 0
        share = 0.8 if is_long else 0.2
        return LONG if rng.random() < share else SHORT

    def _address(self, name):
        return self.dep.callers(name).removeprefix("http://")

    def _role_changes(self):
        logs = [self.dep.log_of(name) for name in self.stewards]
        return sum(text.count("order=set_role") for text in logs)

    def _say(self, sentence):
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
            f"{demo.told.count('done')} of {len(demo.told)}",
        ),
        ("bookings in doubt", demo.told.count("may_have_run")),
        ("doubled", len(doubled)),
        ("cut by a change", verdict.counts.get("cut", 0)),
        ("role changes", role_changes),
        ("first token, median", f"{statistics.median(demo.firsts):.0f} ms"),
        ("promises broken", len(verdict.broken)),
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
