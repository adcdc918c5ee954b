"""Inject random faults into the whole system under load, then check it.

Usage:
  proofs [--seed=N] [--minutes=M] [--keep=FOLDER]

Options:
  --seed=N       Seed of the faults and the load [default: 1].
  --minutes=M    How long to run [default: 1].
  --keep=FOLDER  Copy the logs of the run there.

Exit codes: 0 no guarantee broken, 1 some were.
"""

import random
import shutil
import threading
import time

import docopt

from bench import checker
from bench import load
from standins import bringup

ENTRIES = 4
STEWARDS = 3
ENGINES = 4
SERVICES = 3
CALLERS = 8
FAULT_GAP_SECONDS = (0.5, 3.0)
FAULT_SECONDS = (0.5, 6.0)
SETTLE_SECONDS = 8.0
TOKENS = (5, 60)


class FaultRun:
    """One seeded run."""

    def __init__(self, seed, minutes):
        """Prepare the run; :meth:`run` executes it."""
        self.random = random.Random(seed)
        self.seconds = minutes * 60
        self.dep = bringup.Deployment()
        self.stop = threading.Event()
        self.faults = []
        self.serial = 0

    def run(self):
        """Run, and return the verdict and the number of stuck threads."""
        with self.dep:
            self._bring_up()
            threads = [
                threading.Thread(target=self._call, args=(n,))
                for n in range(CALLERS)
            ]
            threads.append(threading.Thread(target=self._change_fleet))
            for thread in threads:
                thread.start()
            self._inject()
            time.sleep(SETTLE_SECONDS)
            self.stop.set()
            for thread in threads:
                thread.join(120)
            stuck = sum(thread.is_alive() for thread in threads)
            verdict = checker.find_violations(
                checker.read_events(self.dep.folder)
            )
            return verdict, stuck

    def _bring_up(self):
        dep = self.dep
        dep.platform()
        log = dep.proxy("log-proxy", dep.address_by_name["log"])
        for number in range(ENGINES):
            name = f"engine-{number}"
            options = ["--gap-ms=15", "--change-ms=800"]
            if number % 2:
                options.append("--ignore-fencing")
            dep.engine(name, "abc"[number % 3], options=options, role="auto")
            self._add_proxy(name)
        for number in range(SERVICES):
            name = f"orders-{number}"
            dep.service(name, "abc"[number % 3])
            self._add_proxy(name)
        dep.classes()
        self.entries = [f"entry-{n}" for n in range(ENTRIES)]
        self.stewards = [f"steward-{n}" for n in range(STEWARDS)]
        for index, name in enumerate(self.entries):
            dep.instance(name, "abc"[index % 3], "entry", log=log)
        for index, name in enumerate(self.stewards):
            dep.instance(name, "abc"[index % 3], "steward", log=log)
        names = self.entries + self.stewards
        dep.list_instances(names)
        dep.publish()
        dep.wait_ready(names)

    def _add_proxy(self, name):
        dep = self.dep
        via = dep.proxy(f"{name}-proxy", dep.address_by_name[name])
        dep.fleet["endpoint"][name]["address"] = via

    def _call(self, number):
        rng = random.Random(f"{number}")
        first = [self._callers_of(name) for name in self.entries]
        caller = load.Caller(load.Addresses(first), f"caller-{number}")
        path = self.dep.folder / f"caller-{number}.log"
        with open(path, "a") as log:
            serial = 0
            while not self.stop.is_set():
                serial += 1
                if rng.random() < 0.5:
                    key = f"{number}-{serial}"
                    outcome = caller.book(key)
                    load.record_booking(log, caller.name, key, outcome)
                else:
                    prompt = f"caller {number} asks {serial}"
                    end, _, _ = caller.read_stream(
                        prompt, rng.randint(*TOKENS)
                    )
                    load.record_stream(log, prompt, end)

    def _change_fleet(self):
        """Publish new versions and roles repeatedly."""
        rng = random.Random("operator")
        path = self.dep.folder / "changing.toml"
        serial = 0
        while not self.stop.wait(rng.uniform(2.0, 6.0)):
            serial += 1
            name = f"engine-{rng.randrange(ENGINES)}"
            row = self.dep.fleet["endpoint"][name]
            row["version"] = f"{serial}"
            row["role"] = rng.choice(("mixed", "prefill", "decode"))
            path.write_text(bringup.to_toml(self.dep.fleet))
            self.dep.operate("publish", str(path), check=False)

    def _callers_of(self, name):
        return self.dep.callers(name).removeprefix("http://")

    def _inject(self):
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            time.sleep(self.random.uniform(*FAULT_GAP_SECONDS))
            count = self.random.choice((1, 1, 2))
            reverts = [self._inject_one() for _ in range(count)]
            time.sleep(self.random.uniform(*FAULT_SECONDS))
            for revert in reverts:
                revert()

    def _inject_one(self):
        kinds = (
            self._pause,
            self._kill_program,
            self._restart_gracefully,
            self._break_endpoint,
            self._kill_engine,
            self._break_log,
            self._cut_log,
            self._operate,
        )
        fault = self.random.choice(kinds)
        self.faults.append(fault.__name__.strip("_"))
        return fault()

    def _pause(self):
        name = self.random.choice(self.entries + self.stewards)
        self.dep.pause(name)
        return lambda: self.dep.resume(name)

    def _kill_program(self):
        name = self.random.choice(self.entries + self.stewards)
        self.dep.kill(name)
        return lambda: self._ensure(name)

    def _restart_gracefully(self):
        name = self.random.choice(self.entries + self.stewards)
        self.dep.resume(name)
        self.dep.terminate(name)
        return lambda: self._ensure(name)

    def _ensure(self, name):
        """Restart the process as soon as the old one has ended."""
        process = self.dep.process_by_name[name]
        self.dep.resume(name)
        try:
            process.wait(20)
        except bringup.subprocess.TimeoutExpired:
            self.dep.kill(name)
        self.dep.start(name)

    def _break_endpoint(self):
        kind = self.random.choice(("engine", "orders"))
        count = ENGINES if kind == "engine" else SERVICES
        name = f"{kind}-{self.random.randrange(count)}-proxy"
        mode = self.random.choice(
            ("refuse", "blackhole", "to_target", "to_client", "cut", "slow")
        )
        after = self.random.randrange(3000)
        self.dep.faults(name, mode=mode, after=after, delay_ms=150)
        return lambda: self.dep.faults(name, mode="ok")

    def _kill_engine(self):
        name = f"engine-{self.random.randrange(ENGINES)}"
        self.dep.kill(name)
        return lambda: self.dep.start(name)

    def _break_log(self):
        mode = self.random.choice(("down", "lose_answers", "slow"))
        self.dep.faults("log", mode=mode)
        return lambda: self.dep.faults("log", mode="ok")

    def _cut_log(self):
        mode = self.random.choice(("refuse", "blackhole", "to_client"))
        self.dep.faults("log-proxy", mode=mode)
        return lambda: self.dep.faults("log-proxy", mode="ok")

    def _operate(self):
        name = f"engine-{self.random.randrange(ENGINES)}"
        verb = self.random.choice(("drain", "withdraw"))
        self.dep.operate(verb, name, check=False)
        return lambda: self.dep.operate("serve", name, check=False)


def main():
    """Run once and print the verdict."""
    options = docopt.docopt(__doc__)
    seed = int(options["--seed"])
    run = FaultRun(seed, float(options["--minutes"]))
    verdict, stuck = _run(run, options["--keep"])
    counted = ", ".join(
        f"{name} {run.faults.count(name)}" for name in sorted(set(run.faults))
    )
    print(f"seed {seed}: {len(run.faults)} faults ({counted})")
    for name, count in verdict.counts.items():
        print(f"  {name}: {count}")
    for line in verdict.broken:
        print(f"BROKEN: {line}")
    if stuck:
        print(f"BROKEN: {stuck} callers never got an answer")
    print(f"guarantees broken: {len(verdict.broken) + bool(stuck)}")
    raise SystemExit(1 if verdict.broken or stuck else 0)


def _run(run, keep):
    if keep is None:
        return run.run()
    close = run.dep.close

    def copy_and_close():
        shutil.copytree(run.dep.folder, keep, dirs_exist_ok=True)
        close()

    run.dep.close = copy_and_close
    return run.run()


if __name__ == "__main__":
    main()
