"""Starts gateways as the deploy file says, with settings of a small site."""

import asyncio
import json
import os
import pathlib
import shutil
import socket
import subprocess
import tempfile
import time
import tomllib

from review.standins import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
_SETTINGS = """\
node_name = "{name}"
node_role = "gateway"
machine_class = "front"
serves = ["front", "directory"]
ip = "{ip}"
zone = "zone-a"
region = "region"
port_range = [{peer_port}, {last_port}]
seed_addrs = []
bootstrap = true
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[zones]
zone-a = "region"
[listen]
front = "{front}"
ready_addr = "{ready}"
directory = "{directory}"
[limits]
cpu_share = 0.537
cpu_cores = 2
memory_mb = {memory_mb}
max_fds = 4200
link_mbps = 200.0
disk_mb = 0
[bounds]
stable_window_ms = 4000
drain_ms = 3000
grace_s = 8
config_ms = 3000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 162
recover_s = 15
require_fence = false
lease_ms = 3000
thaw_ms = 300
ttl_max_s = 5
[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
append_ms = 3.0
record_bytes = 262144
keep_s = 300
"""


def free_port(ip="127.0.0.1"):
    """Return a port that was free just now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Gateway:
    """One gateway process and its addresses."""

    def __init__(self, name, ip, folder, store, peer_port, memory_mb):
        """Write the settings; nothing is started."""
        self.name = name
        self.ip = ip
        self.process = None
        self.front = f"{ip}:{free_port(ip)}"
        self.ready = f"{ip}:{free_port(ip)}"
        self.directory = f"{ip}:{free_port(ip)}"
        self._settings = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self._settings.write_text(
            _SETTINGS.format(
                name=name,
                ip=ip,
                front=self.front,
                ready=self.ready,
                directory=self.directory,
                store=store,
                peer_port=peer_port,
                memory_mb=memory_mb,
                last_port=peer_port + 10,
            )
        )

    def start(self):
        """Start the process by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split(" ")
        kept = ("PATH", "HOME", "LANG")
        env = {key: os.environ[key] for key in kept if key in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CLEMENTINEWALL_SETTINGS"] = str(self._settings)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def is_ready(self):
        """Tell whether it says that it is ready."""
        raw = http.request("GET", "/ready", Host=self.ready)
        try:
            found = await http.fetch(self.ready, raw)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return found is not None and found.status == 200

    async def knows(self, count):
        """Tell whether it is ready and names ``count`` gateways to clients."""
        if not await self.is_ready():
            return False
        target = f"/resolve?name={HOST}&region=region&zone=zone-a"
        raw = http.request("GET", target, Host=self.directory)
        try:
            found = await http.fetch(self.directory, raw)
            return len(json.loads(found.body)["addresses"]) == count
        except (OSError, TimeoutError, ValueError, KeyError):
            return False

    def stop(self):
        """End the process for good."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Some gateways on loopback addresses of their own."""

    def __init__(self, count, store, memory_mb=200):
        """Prepare ``count`` gateways that use the store at an address."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{os.getpid() % 200 + 20}.{time.time_ns() % 250}"
        ips = [f"{net}.{number}" for number in range(1, count + 1)]
        peer_port = free_port(ips[0])
        self.gateways = [
            Gateway(
                f"gateway-{n}", ip, self.folder, store, peer_port, memory_mb
            )
            for n, ip in enumerate(ips, 1)
        ]

    async def start(self, seconds=20.0):
        """Start all and wait until each is ready and knows the others."""
        for gateway in self.gateways:
            gateway.start()
        end = time.monotonic() + seconds
        for gateway in self.gateways:
            while not await gateway.knows(len(self.gateways)):
                if time.monotonic() > end:
                    raise TimeoutError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)

    def close(self):
        """End all processes and remove the folder."""
        for gateway in self.gateways:
            gateway.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind, **more):
    """Return a route of the manifest; its prefix is its name."""
    row = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 8_000,
        "goal_ms": 400,
        "gap_goal_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "resumable": False,
    }
    row.update(more)
    return row


def manifest(version, routes, max_conns):
    """Return a manifest with a plain and a model service."""
    engine = {
        "slot_count": 32,
        "kv_capacity": 900_000,
        "kv_token_bytes": 18_432,
        "link_mbps": 370_000.0,
        "stride": 9,
        "handle_ttl_s": 5.0,
        "switch_s": 3.0,
    }
    services = [
        {"name": "app", "health_path": "/health", "max_conns": max_conns},
        {
            "name": "model",
            "health_path": "/health",
            "max_conns": max_conns,
            "engine": engine,
        },
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


def engine_record(service, address, **more):
    """Return what an engine writes of itself into the store."""
    row = {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slot_count": 16,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": time.time_ns() // 1_000_000,
    }
    row.update(more)
    return row
