"""Base class and constants of the tests with gateway processes."""

import json
import pathlib
import signal
import socket
import unittest
import urllib.parse

import httpx

from standins import bringup
from standins import scripted

HOST = "shop.example"
CONFIGURATION_TOPIC = "keyed.op"
ENDPOINTS_TOPIC = "keyed.servers"
# The deployment's bound for serving again after the machines returned.
RECOVER_SECONDS = 12.0
# The limit that the settings of gateways name.
MEMORY_MB = 300


def route(name, service, kind, **more):
    """Return a route as operators write it; its prefix is its name."""
    row = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 3_000,
        "goal_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "resumable": False,
        "gap_goal_ms": 200,
    }
    row.update(more)
    return row


ENGINE = {
    "slot_count": 16,
    "kv_capacity": 100_000,
    "kv_token_bytes": 18_432,
    "link_mbps": 370_000.0,
    "stride": 9,
    "handle_ttl_s": 5.0,
    "switch_s": 3.0,
}


class GatewayCase(unittest.TestCase):
    """Runs a stand-in of the store, gateways and scripted endpoints.

    With ``has_egress``, :meth:`cut` can cut off gateways from endpoints;
    those of one group in ``group_by_gateway`` are cut off together.
    With ``calls_store_by_own_ip``, the store can tell gateways apart, and
    :meth:`set_store_mode` takes ``callers``, a list of their addresses.
    """

    has_egress = False
    calls_store_by_own_ip = False
    # What the configuration says of customers, and the settings of the duty
    # service, where there are any.
    tenants = None
    cloud = None

    def setUp(self):
        """Start the store."""
        self.dep = self.new_deployment()
        self.addCleanup(self.dep.close)
        self.http = httpx.Client(timeout=10, trust_env=False)
        self.addCleanup(self.http.close)
        self.store = self.dep.standin("store", "store")
        bringup.wait_until(
            lambda: self._accepts_connections(self.store), what="the store"
        )
        self.version = 0
        self.listen_by_name = {}
        self.data_centre_by_gateway = {}
        self.group_by_gateway = {}
        self._egress_by_group = {}

    def new_deployment(self):
        """Return what starts the processes."""
        return bringup.Deployment()

    def _accepts_connections(self, address):
        host, _, port = address.rpartition(":")
        with socket.socket() as probe:
            probe.settimeout(1)
            return probe.connect_ex((host, int(port))) == 0

    def put(self, topic, key, value):
        """Write a record as the operator or an endpoint does."""
        raw = value if isinstance(value, bytes) else json.dumps(value)
        # Unlike the client, this takes keys of bytes that are no text.
        query = urllib.parse.urlencode({"topic": topic, "key": key})
        self.http.post(
            f"http://{self.store}/standin/put?{query}", content=raw
        ).raise_for_status()

    def set_store_mode(self, mode, **pace):
        """Set failure mode and pace of the store; return its calls so far."""
        answer = self.http.post(
            f"http://{self.store}/standin/mode", json={"mode": mode, **pace}
        )
        answer.raise_for_status()
        return answer.json()["calls"]

    def publish(self, *routes, version=None, customers=None, **limits):
        """Publish routes to the services ``app`` and ``model``.

        ``customers`` are the rows of customers, by default none.
        """
        self.version = version or self.version + 1
        services = [
            {"name": "app", "health_path": "/health", "max_conns": 50},
            {
                "name": "model",
                "health_path": "/health",
                "max_conns": 50,
                "engine": ENGINE,
            },
        ]
        content = {
            "version": self.version,
            "routes": list(routes),
            "services": services,
            "limits": limits,
        }
        if customers is None:
            customers = self.tenants
        if customers is not None:
            content["tenants"] = customers
        self.put(CONFIGURATION_TOPIC, "config", content)

    def endpoint(self, name, script, service="app", **more):
        """Start a scripted endpoint and register it."""
        endpoint = scripted.Endpoint(script)
        self.addCleanup(endpoint.close)
        self.register(name, endpoint.address, service, **more)
        return endpoint

    def engine(self, name, script, stage="decode"):
        """Start a scripted engine and register it."""
        return self.endpoint(name, script, "model", stage=stage)

    def register(self, name, address, service="app", **more):
        """Write the record of an endpoint."""
        row = {
            "service": service,
            "address": address,
            "zone": "a",
            "version": "v1",
            "slot_count": 16,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": 1_000,
        }
        row.update(more)
        self.put(ENDPOINTS_TOPIC, name, row)

    def gateway(self, name="gateway-1", **bounds):
        """Start a gateway and wait until it is ready."""
        front = self.start_without_waiting(name, **bounds)
        bringup.wait_until(lambda: self.is_ready(name), what=name)
        return front

    def gateways(self, count, **bounds):
        """Start gateways, wait until each lists all; return addresses."""
        names = [f"gateway-{number}" for number in range(1, count + 1)]
        fronts = [
            self.start_without_waiting(name, f"127.0.0.{number}", **bounds)
            for number, name in enumerate(names, 1)
        ]
        bringup.wait_until(
            lambda: all(
                self.is_ready(name) and len(self.addresses(name)) == count
                for name in names
            ),
            what="acquaintance",
        )
        return fronts

    def start_without_waiting(
        self,
        name="gateway-1",
        ip="127.0.0.1",
        peer_port=None,
        options=(),
        **bounds,
    ):
        """Start a gateway and return its address for callers.

        Gateways with another ``peer_port`` than usual and the others don't
        hear each other.
        """
        listen = {
            "front": f"{ip}:{bringup.free_port()}",
            "ready_addr": f"{ip}:{bringup.free_port()}",
            "directory": f"{ip}:{bringup.free_port()}",
        }
        self.listen_by_name[name] = listen
        path = self.dep.folder / f"{name}.toml"
        more = {} if self.cloud is None else {"cloud": self.cloud}
        path.write_text(
            bringup.to_toml(
                {
                    "node_name": name,
                    "ip": ip,
                    "zone": self.data_centre_by_gateway.get(name, "a"),
                    "region": "r",
                    "port_range": [peer_port or self._peer_port(), 0],
                    "listen": listen,
                    "limits": {"memory_mb": MEMORY_MB, "max_fds": 1_000},
                    "platform": {"address": self._store_for(ip)},
                    "bounds": {"grace_s": 3, **bounds},
                    **more,
                }
            )
        )
        if self.has_egress:
            egress = self._egress_of(name)
            self.dep.start(name, "standins.gateway", egress, str(path))
        else:
            self.dep.start(
                name,
                "clementinewall.gateway.main",
                f"--settings={path}",
                *options,
            )
        return listen["front"]

    def _egress_of(self, name):
        """Return the address of the egress of a gateway's group."""
        group = self.group_by_gateway.get(name, name)
        if group not in self._egress_by_group:
            address = self.dep.egress(f"egress-{group}")
            self._egress_by_group[group] = address
        return self._egress_by_group[group]

    def _store_for(self, ip):
        if not self.calls_store_by_own_ip:
            return self.store
        return f"{ip}:{self.store.rpartition(':')[2]}"

    def cut(self, name, mode, targets=None):
        """Cut off a gateway or a group from endpoints; ``ok`` ends that.

        ``targets`` are the addresses of these endpoints, by default all.
        """
        self.dep.faults(f"egress-{name}", mode=mode, targets=targets)

    def _peer_port(self):
        if not hasattr(self, "_port"):
            self._port = bringup.free_port()
        return self._port

    def is_ready(self, name):
        """Return whether a gateway reports that it is ready."""
        where = self.listen_by_name[name]["ready_addr"]
        try:
            return self.http.get(f"http://{where}/ready").status_code == 200
        except httpx.HTTPError:
            return False

    def addresses(self, name="gateway-1"):
        """Return the addresses that a gateway's directory lists."""
        where = self.listen_by_name[name]["directory"]
        answer = self.http.get(
            f"http://{where}/resolve",
            params={"name": HOST, "region": "r", "zone": "a"},
        )
        return answer.json()["addresses"]

    def ask(self, front, path, attempt="a1", method="POST", **headers):
        """Send one request on a connection of its own."""
        named = {"Host": HOST, "Attempt-Id": attempt}
        named.update(
            {key.replace("_", "-"): value for key, value in headers.items()}
        )
        content = named.pop("content", None)
        return httpx.request(
            method,
            f"http://{front}{path}",
            headers=named,
            content=content,
            timeout=10,
            trust_env=False,
            # Loading certificates takes longer than the request.
            verify=False,
        )

    def terminate(self, name="gateway-1"):
        """Ask a gateway to stop."""
        self.dep.process_by_name[name].send_signal(signal.SIGTERM)

    def peak_mb(self, name="gateway-1"):
        """Return the most memory that a gateway has used."""
        process = self.dep.process_by_name[name]
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmHWM"):
                return int(line.split()[1]) / 1_024
        raise AssertionError("no VmHWM")
