"""Gateways as operators run them, with endpoints and callers."""

import contextlib
import json
import threading
import typing

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
DATA_CENTRES = ("a", "b", "c")
READY_SECONDS = 120


class _Case(gateway_base.GatewayCase):
    def __init__(self, built, has_egress):
        super().__init__()
        self._built = built
        self.has_egress = has_egress

    def runTest(self):
        """Do nothing: only the set-up of the test case is used."""

    def new_deployment(self):
        return checkout.CheckoutDeployment(self._built)


class Span(typing.NamedTuple):
    """What was sent and served in a span of time."""

    sent: int
    served: int


class DeployedFleet:
    """Gateways by the command of ``deploy/system.toml``, and all around them.

    They run from a clean, read-only checkout after its build.
    """

    def __init__(self, built, processors, names, group_by_gateway=None):
        """Prepare gateways of these names, which share ``processors``.

        With ``group_by_gateway`` the gateways of a group can be cut off from
        endpoints.
        """
        self.names = names
        self.history = history_module.History()
        self.case = _Case(built, group_by_gateway is not None)
        self.case.setUp()
        self.case.group_by_gateway = group_by_gateway or {}
        self.dep = self.case.dep
        self.dep.share_processors(names, processors)
        self.backends = []
        self.stopping = threading.Event()

    def bring_up(self, engines):
        """Start endpoints, then the gateways, and wait until all are ready."""
        case = self.case
        route = gateway_base.route
        case.publish(
            route("look", "app", "safe"),
            route("book", "app", "unsafe"),
            route("slow", "app", "safe", timeout_ms=800),
            route("wait", "app", "safe"),
            route(
                "chat",
                "model",
                "stream",
                resumable=True,
                timeout_ms=int(callers.STREAM_LIMIT_SECONDS * 1_000),
            ),
            route("new1", "app", "safe"),
        )
        for number in range(SERVICES):
            self.add_endpoint(f"app-{number}", "app", number=number)
        for number in range(engines):
            stage = "prefill" if number % 3 == 0 and engines > 2 else "decode"
            # Engines of both stages stand in each data centre.
            self.add_endpoint(f"engine-{number}", "model", stage, number // 3)
        for number, name in enumerate(self.names, 1):
            case.start_without_waiting(
                name, f"127.0.0.{number}", grace_s=8, config_ms=3_000
            )
        for name in self.names:
            bringup.wait_until(
                lambda n=name: case.is_ready(n),
                seconds=READY_SECONDS,
                what=name,
            )

    def add_endpoint(self, name, service, stage=None, number=0):
        """Start an endpoint; the data centres get one of each ``number``."""
        backend = backends.Backend(
            name,
            service,
            self.history,
            self.put,
            stage,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        )
        backend.register(backend.endpoint.address)
        self.backends.append(backend)

    def put(self, name, row):
        """Write or delete the record of an endpoint."""
        content = b"" if row is None else row
        try:
            self.case.put(gateway_base.ENDPOINTS_TOPIC, name, content)
        except httpx.HTTPError as exc:
            print(f"record of endpoint {name} not written: {exc!r}")

    def start_clients(self, count, data_centres=DATA_CENTRES[:1]):
        """Start callers, in turn in each of ``data_centres``."""
        for seed in range(count):
            data_centre = data_centres[seed % len(data_centres)]
            callers.Caller(
                seed, self.history, self._routing(data_centre), self.stopping
            ).start()

    def _routing(self, data_centre):
        """Return a function that creates the target picker of a caller."""
        listen = self.case.listen_by_name
        return lambda rng: addresses.ResolvedAddresses(
            rng, listen, data_centre=data_centre
        )

    def cpu_seconds(self):
        """Return the processor time of all gateways that run."""
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

    def rows_since(self, name, wall_time):
        """Yield the log lines of a gateway since a time of day."""
        for line in self.dep.log_of(name).splitlines():
            # Tracebacks of a process that failed are no JSON.
            with contextlib.suppress(ValueError):
                row = json.loads(line)
                if row["time"] >= wall_time:
                    yield row
