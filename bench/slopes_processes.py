"""Slopes measured on real processes over loopback.

``idle`` starts entries of one data centre and reads what each spends while
nothing happens: processor time, resident memory and control bytes.
``propagation`` times a change from its append until it is active at every
process.  ``exchange`` is the whole cost of one gossip exchange over HTTP.
"""

import os
import re
import subprocess
import sys
import time

from standins import bringup

SIZES = (4, 8, 16, 32)
IDLE_SECONDS = 10.0
CHANGES = 5
TICKS = os.sysconf("SC_CLK_TCK")
# The product's defaults.  A large deployment gossips twice a second too but
# reads a busier log.
DEFAULTS = {
    "membership": {"gossip_ms": 500, "dead_after_ms": 4000},
    "leases": {
        "lease_ms": 6000,
        "renew_ms": 1500,
        "margin_ms": 1000,
        "order_timeout_ms": 1000,
    },
}


def _up(count, program="entry"):
    dep = bringup.Deployment()
    dep.platform()
    dep.classes()
    for number in range(3):
        dep.engine(f"engine-{number}", "a")
    names = [f"{program}-{n}" for n in range(count)]
    for name in names:
        dep.instance(name, "a", program, **DEFAULTS)
    dep.list_instances(names)
    dep.publish()
    dep.wait_ready(names)
    bringup.wait_until(
        lambda: all(
            len(dep.status(name)["members"]) == count for name in names
        ),
        what="all members to know each other",
    )
    return dep, names


def cpu_ticks(pid):
    """Return the processor time that a process took, in ticks."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


def resident_bytes(pid):
    """Return the memory that a process holds, in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _control_bytes(dep, name):
    where = dep.address_by_name[name]
    text = dep.http.get(f"http://{where}/metrics").text
    found = re.findall(r"control_bytes_total\{[^}]*\} (\d+)", text)
    return sum(map(int, found))


def idle(program="entry"):
    """Return what an idle process spends, against the processes."""
    cpu, memory, traffic = [], [], []
    for count in SIZES:
        dep, names = _up(count, program)
        with dep:
            pids = [dep.process_by_name[name].pid for name in names]
            bytes_before = [_control_bytes(dep, name) for name in names]
            before = [cpu_ticks(pid) for pid in pids]
            time.sleep(IDLE_SECONDS)
            ticks = [cpu_ticks(pid) - b for pid, b in zip(pids, before)]
            sent = [
                _control_bytes(dep, name) - b
                for name, b in zip(names, bytes_before)
            ]
            resident = [resident_bytes(pid) for pid in pids]
        cpu.append((count, 100 * sum(ticks) / count / TICKS / IDLE_SECONDS))
        memory.append((count, sum(resident) / count / 1e6))
        traffic.append((count, sum(sent) / count / IDLE_SECONDS / 1e3))
    how = f"{program} processes at rest"
    return [
        (f"idle {program} cpu", "% of a core", "member", how, cpu),
        (f"idle {program} memory", "MB", "member", how, memory),
        (f"idle {program} traffic", "KB/s", "member", how, traffic),
    ]


def idle_steward():
    """Return the same for stewards."""
    return idle("steward")


def propagation():
    """Return the time until a change is active, against processes."""
    points = []
    for count in SIZES:
        dep, names = _up(count)
        with dep:
            slowest = 0.0
            for number in range(CHANGES):
                verb = "drain" if number % 2 == 0 else "serve"
                version = dep.operate(verb, "engine-1")["version"]
                started = time.monotonic()
                bringup.wait_until(
                    lambda v=version, d=dep: all(
                        d.status(name)["version"] >= v for name in names
                    ),
                    what="the version to become active",
                )
                slowest = max(slowest, time.monotonic() - started)
        points.append((count, slowest * 1e3))
    how = f"slowest of {CHANGES}, from the append's reading back"
    return [("propagation", "ms", "process", how, points)]


def bare():
    """Return the memory of bare interpreters and of the imports."""
    rows = []
    for label, code in (
        ("interpreter", "pass"),
        (
            "with our libraries",
            "import anyio, httpx, hypercorn.asyncio, "
            "starlette.applications, loguru, hdrh.histogram",
        ),
        ("with the entry imported", "import clementinewall.entry.program"),
    ):
        script = f"{code}\nimport time; time.sleep(3)"
        process = subprocess.Popen([sys.executable, "-c", script])
        time.sleep(2.0)
        size = resident_bytes(process.pid) / 1e6
        process.wait()
        rows.append(
            (
                f"base memory, {label}",
                "MB",
                "process",
                "resident",
                [(1, size), (1, size)],
            )
        )
    return rows


MEASURES = {
    "bare": bare,
    "idle": idle,
    "idle_steward": idle_steward,
    "propagation": propagation,
}
