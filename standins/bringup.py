"""Bringing up a whole deployment on loopback: for tests, demo and bench.

The deployment writes the settings files, starts each program and stand-in
as a process of its own, and can kill, pause and cut them off.  It ends only
the processes that it started itself.
"""

import contextlib
import fcntl
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import httpx

TOKEN = "test-token"
START_SECONDS = 30.0
POLL_SECONDS = 0.05
PORTS = (15_000, 32_000)

# One file for each port that any process on this machine has given out.
PORTS_FOLDER = pathlib.Path(tempfile.gettempdir()) / "clementinewall-ports"

# A process that was given a port listens on it long before so many more were
# drawn; then the system keeps it from others, and the lock's descriptor ends.
RESERVED_PORTS = 300

_lock_by_port = {}
MODEL = "route-writer"
SERVICE = "orders"


def free_port():
    """Return a port of the loopback address that was free just now.

    It lies below the range from which the system takes the near ends of
    connections: a port of that range may be taken by one of those before
    the process that shall listen there has started.
    """
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if _reserve(port):
            return port


def _reserve(port):
    """Reserve a port among all processes; return whether it was free.

    Two suites that run side by side draw from the same ports.  One that was
    given out but isn't listened on yet looks free to the other, whose process
    then can't start.  The lock is the process's own and ends with it.
    """
    if port in _lock_by_port:
        return False
    PORTS_FOLDER.mkdir(exist_ok=True)
    lock = open(PORTS_FOLDER / str(port), "wb")
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        lock.close()
        return False
    _lock_by_port[port] = lock
    if len(_lock_by_port) > RESERVED_PORTS:
        oldest = next(iter(_lock_by_port))
        _lock_by_port.pop(oldest).close()
    return True


def address():
    """Return a free loopback address."""
    return f"127.0.0.1:{free_port()}"


def wait_until(check, seconds=START_SECONDS, what="the condition"):
    """Poll ``check`` until it returns something true, and return that."""
    end = time.monotonic() + seconds
    while True:
        value = check()
        if value:
            return value
        if time.monotonic() > end:
            raise TimeoutError(f"{what} did not come about in {seconds} s")
        time.sleep(POLL_SECONDS)


def last_processors(count):
    """Return the numbers of some processors of this process."""
    return sorted(os.sched_getaffinity(0))[-count:]


@contextlib.contextmanager
def one_suite_at_a_time(name):
    """Wait until no other suite on this machine measures ``name``."""
    PORTS_FOLDER.mkdir(exist_ok=True)
    with open(PORTS_FOLDER / name, "wb") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        yield


class Deployment:
    """A set of processes, each known by its name."""

    def __init__(self):
        """Make a folder for settings and logs; nothing is started."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cw-"))
        self.process_by_name = {}
        self.command_by_name = {}
        # Words before the command of a process, such as ``taskset``.
        self.prefix_by_name = {}
        self.address_by_name = {}
        self.fleet = {"class": {}, "endpoint": {}, "policy": {}}
        self.http = httpx.Client(timeout=10.0, trust_env=False)

    def __enter__(self):
        """Return the deployment itself."""
        return self

    def __exit__(self, *exc_info):
        """End every process that is left."""
        self.close()

    def close(self):
        """End every process that is left, and remove the folder."""
        for process in self.process_by_name.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.process_by_name.values():
            process.wait()
        self.http.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            print(f"logs are in {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Starting.

    def start(self, name, *command):
        """Start a process under ``name``; a second time starts it anew."""
        if command:
            self.command_by_name[name] = command
        log = open(self.folder / f"{name}.log", "ab")
        with log:
            self.process_by_name[name] = subprocess.Popen(
                [
                    *self.prefix_by_name.get(name, ()),
                    sys.executable,
                    "-m",
                    *self.command_by_name[name],
                ],
                stdout=log,
                stderr=log,
            )

    def share_processors(self, names, processors):
        """Run processes, once started, on the same few processors."""
        listed = ",".join(map(str, processors))
        for name in names:
            self.prefix_by_name[name] = ("taskset", "-c", listed)

    def standin(self, name, kind, *options, at=None):
        """Start a stand-in and return its address."""
        where = at or address()
        self.address_by_name[name] = where
        self.start(name, "standins", kind, where, *map(str, options))
        return where

    def proxy(self, name, target):
        """Start a proxy in front of ``target`` and return its address."""
        control = address()
        self.address_by_name[f"{name}-control"] = control
        where = self.standin(name, "proxy", control, target)
        wait_until(lambda: self._answers(control), what=name)
        return where

    def egress(self, name):
        """Start an egress and return its address."""
        control = address()
        self.address_by_name[f"{name}-control"] = control
        where = self.standin(name, "egress", control)
        wait_until(lambda: self._answers(control), what=name)
        return where

    def platform(self, log_options=()):
        """Start the log service and the instance list."""
        log = self.standin("log", "log", *log_options)
        listing = self.standin("instances", "instances")
        wait_until(lambda: self._answers(log), what="the log")
        wait_until(lambda: self._answers(listing), what="the list")

    def instance(self, name, data_centre, program, log=None, **tables):
        """Write settings for a program and start it."""
        control = self.address_by_name.get(name) or address()
        self.address_by_name[name] = control
        settings = {
            "instance": {"id": name, "data_centre": data_centre},
            "listen": {"control": control},
            "platform": {
                "log": [log or self.address_by_name["log"]],
                "instances": self.address_by_name["instances"],
                "request_timeout_ms": 1000,
            },
            "security": {"control_token": TOKEN},
            "membership": {"gossip_ms": 200, "dead_after_ms": 2000},
            "leases": {
                "lease_ms": 3000,
                "renew_ms": 800,
                "margin_ms": 300,
                "order_timeout_ms": 700,
            },
            "limits": {"keep_addresses_ms": 1000},
        }
        if program == "entry":
            callers = address()
            self.address_by_name[f"{name}/callers"] = callers
            settings["listen"]["callers"] = callers
        for table, values in tables.items():
            settings.setdefault(table, {}).update(values)
        path = self.folder / f"{name}.toml"
        path.write_text(to_toml(settings))
        module = f"clementinewall.{program}.main"
        self.start(name, module, f"--settings={path}")

    def list_instances(self, names):
        """Write the platform's list of instances."""
        rows = [
            {"id": name, "control": self.address_by_name[name]}
            for name in names
        ]
        listing = self.address_by_name["instances"]
        self.http.put(f"http://{listing}/instances", json={"instances": rows})

    def engine(self, name, data_centre, via=None, options=(), **members):
        """Start an engine and add it to the fleet document."""
        where = self.standin(
            name, "engine", f"--id={name}", f"--model={MODEL}", *options
        )
        if "--ignore-fencing" in options:
            members.setdefault("fencing", "ignored")
        self.fleet["endpoint"][name] = {
            "address": via or where,
            "data_centre": data_centre,
            "kind": "engine",
            "serves": [MODEL],
            **members,
        }

    def service(self, name, data_centre, via=None, options=(), **members):
        """Start a service and add it to the fleet document."""
        where = self.standin(name, "service", f"--id={name}", *options)
        self.fleet["endpoint"][name] = {
            "address": via or where,
            "data_centre": data_centre,
            "kind": "service",
            "serves": [SERVICE],
            **members,
        }

    def classes(self, **more):
        """Add the usual classes of work to the fleet document."""
        self.fleet["class"] = {
            "drafting": {
                "kind": "model",
                "first_ms": 1000,
                "gap_ms": 200,
                "deadline_ms": 60000,
                "default": True,
            },
            "booking": {
                "kind": "service",
                "first_ms": 1000,
                "deadline_ms": 5000,
                "idempotent": False,
                "default": True,
            },
            "lookup": {
                "kind": "service",
                "first_ms": 500,
                "deadline_ms": 5000,
            },
            **more,
        }

    # Operating.

    def operate(self, *words, log=None, check=True):
        """Run the command line and return its JSON answer."""
        path = self.folder / "operator.toml"
        controls = [
            self.address_by_name[name]
            for name in self.command_by_name
            if "--settings" in self.command_by_name[name][-1]
        ]
        path.write_text(
            to_toml(
                {
                    "instances": controls,
                    "platform": {"log": [log or self.address_by_name["log"]]},
                    "security": {"control_token": TOKEN},
                }
            )
        )
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "clementinewall.operator",
                f"--settings={path}",
                "--json",
                *words,
            ],
            capture_output=True,
            text=True,
            timeout=60,
        )
        if not check:
            return done
        if done.returncode:
            raise RuntimeError(f"{words}: {done.returncode} {done.stderr}")
        return json.loads(done.stdout)

    def publish(self):
        """Publish the fleet document and wait until it is in force."""
        path = self.folder / "fleet.toml"
        path.write_text(to_toml(self.fleet))
        version = self.operate("publish", str(path))["version"]
        if version is not None:
            self.operate("wait", str(version), "--timeout-ms=15000")
        return version

    def wait_ready(self, names):
        """Wait until the programs are ready."""
        for name in names:
            url = f"http://{self.address_by_name[name]}/ready"
            wait_until(lambda url=url: self._is_ok(url), what=name)

    def faults(self, name, **body):
        """Tell a stand-in what goes wrong from now on."""
        where = self.address_by_name.get(
            f"{name}-control", self.address_by_name[name]
        )
        # A kept connection may be about to be closed by the stand-in.
        httpx.post(
            f"http://{where}/faults",
            json=body,
            timeout=10.0,
            trust_env=False,
            # Loading certificates takes longer than the request.
            verify=False,
        )

    def ask(self, name, path):
        """Return the JSON that a stand-in gives at ``path``."""
        return self.http.get(
            f"http://{self.address_by_name[name]}{path}"
        ).json()

    def status(self, name):
        """Return the status of a program."""
        return self.http.get(
            f"http://{self.address_by_name[name]}/control/status",
            headers={"Authorization": f"Bearer {TOKEN}"},
        ).json()

    def callers(self, name):
        """Return the URL where an entry takes callers."""
        return f"http://{self.address_by_name[f'{name}/callers']}"

    def log_of(self, name):
        """Return what a process logged so far."""
        return (self.folder / f"{name}.log").read_text()

    # Failing.

    def kill(self, name):
        """Kill a process at once."""
        self.process_by_name[name].kill()
        self.process_by_name[name].wait()

    def pause(self, name):
        """Stop a process until :meth:`resume`."""
        self.process_by_name[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        """Let a paused process go on."""
        self.process_by_name[name].send_signal(signal.SIGCONT)

    def terminate(self, name):
        """Ask a process to stop gracefully."""
        self.process_by_name[name].terminate()

    def wait_end(self, name, seconds=30):
        """Wait for the end of a process and return its exit code."""
        return self.process_by_name[name].wait(seconds)

    def _answers(self, where):
        try:
            self.http.get(f"http://{where}/")
        except httpx.HTTPError:
            return False
        return True

    def _is_ok(self, url):
        try:
            return self.http.get(url).status_code == 200
        except httpx.HTTPError:
            return False


def to_toml(data):
    """Write a map as TOML; JSON's scalars and lists are TOML's too."""
    lines = []
    _write_table(data, (), lines)
    return "\n".join(lines) + "\n"


def _write_table(data, path, lines):
    plain = {k: v for k, v in data.items() if not isinstance(v, dict)}
    if path and (plain or not data):
        lines.append("[" + ".".join(json.dumps(p) for p in path) + "]")
    for key, value in plain.items():
        lines.append(f"{json.dumps(key)} = {json.dumps(value)}")
    for key, value in data.items():
        if isinstance(value, dict):
            _write_table(value, (*path, key), lines)
