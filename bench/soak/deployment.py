"""The store, gateways and endpoints of a run, and actions on them."""

import itertools
import random
import threading
import time

import httpx

from bench.soak import addresses
from bench.soak import backends
from bench.soak import bounds
from bench.soak import callers
from bench.soak import duties
from bench.soak import history as history_module
from standins import bringup
from tests.integration import gateway_base

NAMED_CALLERS = 6
DIRECTORY_CALLERS = 4
ENGINES = 4
SERVICES = 3
READINESS_SECONDS = 0.25
# An engine that a part of a prompt crashed is back after this time.
RESTART_SECONDS = 2.0


class _Case(gateway_base.GatewayCase):
    def runTest(self):
        """Do nothing: only the set-up of the test case is used."""


class Deployment:
    """All parts of one run, on which the kinds of fault act."""

    def __init__(
        self,
        seed,
        gateways,
        has_egress=False,
        versions=("v1",),
        has_duties=False,
        has_releases=False,
        processors=None,
        has_data_centres=False,
    ):
        """Prepare ``gateways`` gateways; :meth:`bring_up` starts them.

        With ``has_egress`` they can be cut off from endpoints.  Engines have
        the software ``versions`` in turn.  With ``has_duties`` callers have
        keys, and usage is reported.  With ``has_releases`` newer versions
        come, and more callers take streams up for longer.  With
        ``processors`` the gateways share so many.  With ``has_data_centres``
        each of two further data centres has one of them.
        """
        self._has_duties = has_duties
        self._processors = processors
        self._versions = itertools.cycle(versions)
        self._returns = callers.AT_ONCE if len(versions) > 1 else None
        if has_releases:
            self._returns = callers.PATIENT
        self.rng = random.Random(seed)
        self.gateways = [f"gateway-{n + 1}" for n in range(gateways)]
        self.data_centre_by_gateway = dict.fromkeys(self.gateways, "a")
        if has_data_centres:
            for name, data_centre in zip(
                self.gateways[-2:], "bc", strict=True
            ):
                self.data_centre_by_gateway[name] = data_centre
        self.case = _Case()
        self.case.has_egress = has_egress
        self.history = history_module.History()
        self.backend_by_name = {}
        self.proxies = []
        self.stopping = threading.Event()
        self._front_by_gateway = {}
        self._reserved = set()
        self._lock = threading.Lock()
        self._serial = 0
        self._releases = 0
        self._started = 0.0

    def bring_up(self):
        """Start all parts and wait until the gateways are ready."""
        case = self.case
        case.setUp()
        case.data_centre_by_gateway = self.data_centre_by_gateway
        if self._processors is not None:
            case.dep.share_processors(
                self.gateways, bringup.last_processors(self._processors)
            )
        if self._has_duties:
            duties.start(case)
        self.publish()
        for number in range(SERVICES):
            self.add_endpoint(f"app-{number}", "app")
        for number in range(ENGINES):
            self.add_endpoint(f"engine-{number}", "model", "decode")
        for number, name in enumerate(self.gateways, 1):
            store = case.store
            case.store = self._proxy(f"store-{name}", store, name)
            ip = f"127.0.0.{number}"
            front = case.start_without_waiting(
                name,
                ip,
                grace_s=bounds.GRACE_SECONDS,
                budget_ratio=bounds.RETRY_RATIO,
                budget_slack=bounds.RETRY_SLACK,
                budget_window_s=bounds.RETRY_WINDOW_SECONDS,
                report_window_s=duties.WINDOW_SECONDS,
            )
            case.store = store
            self.history.gateway_by_holder[ip] = name
            self._front_by_gateway[name] = self._proxy(
                f"front-{name}", front, name
            )
        for name in self.gateways:
            bringup.wait_until(lambda n=name: case.is_ready(n), what=name)
        self._started = time.monotonic()

    def duty_violations(self):
        """Return a sentence for each broken guarantee of the duties."""
        return duties.find_violations(self.case) if self._has_duties else []

    def close(self):
        """Close the endpoints and end the processes."""
        self.stopping.set()
        for backend in self.backend_by_name.values():
            backend.end()
        self.case.doCleanups()

    def start_clients(self):
        """Start callers and readiness checks; return their threads."""
        count = NAMED_CALLERS + DIRECTORY_CALLERS
        numbers = range(count)
        if self._returns is callers.PATIENT:
            numbers = range(2 * count)
        keys = list(duties.KEY_BY_CUSTOMER.values())
        if not self._has_duties:
            keys = [None]
        threads = [
            callers.Caller(
                seed,
                self.history,
                self._routing(seed % count),
                self.stopping,
                self._returns,
                keys[seed % len(keys)],
            )
            for seed in numbers
        ]
        threads += [
            threading.Thread(
                target=self._poll_readiness, args=(name,), daemon=True
            )
            for name in self.gateways
        ]
        for thread in threads:
            thread.start()
        return threads

    def _routing(self, seed):
        """Return a function that creates the target picker of a caller."""
        if seed < NAMED_CALLERS:
            return lambda rng: addresses.NamedGateways(
                rng, self._front_by_gateway
            )
        listen = self.case.listen_by_name
        return lambda rng: addresses.ResolvedAddresses(rng, listen)

    def _poll_readiness(self, name):
        while not self.stopping.wait(READINESS_SECONDS):
            row = history_module.Readiness(
                name, time.monotonic(), self.case.is_ready(name)
            )
            self.history.add(self.history.readiness, row)

    # Endpoints and the store.

    def _proxy(self, name, target, served):
        """Put a proxy before ``target``; ``served`` depends on it."""
        proxy_address = self.case.dep.proxy(name, target)
        self.proxies.append((name, served))
        return proxy_address

    def add_endpoint(self, name, service, stage=None):
        """Start an endpoint and register it."""
        version = next(self._versions) if service == "model" else "v1"
        backend = backends.Backend(
            name,
            service,
            self.history,
            self.put,
            stage,
            version,
            self.crash_by_part,
        )
        address = self._proxy(f"proxy-{name}", backend.endpoint.address, name)
        backend.register(address)
        self.backend_by_name[name] = backend

    def add_release(self, count):
        """Start engines of a newer version; later ones have it too."""
        self._releases += 1
        version = f"v1.{self._releases}"
        self._versions = itertools.repeat(version)
        for number in range(count):
            self.add_endpoint(f"engine-{version}-{number}", "model", "decode")

    def replace_endpoint(self, name, old):
        """Replace an endpoint by a new one under a new id."""
        new_name = f"{name.split('~')[0]}~{time.monotonic_ns()}"
        self.add_endpoint(new_name, old.service, old.stage and "decode")
        self.backend_by_name.pop(name, None)
        self.release(name)

    def end_spans(self):
        """Record how long the engines that still serve have served."""
        for backend in list(self.backend_by_name.values()):
            backend.end_span()

    def crash_by_part(self, name):
        """Crash an engine that wrote on a harmful part, and replace it."""
        if not self.reserve(name):
            return
        old = self.backend_by_name[name]
        self.record_fault(f"{name} crashes by a part of a prompt")
        self.history.record_disturbance("crash", name, float("inf"))
        old.end(crash=True)

        def replace():
            if not self.stopping.wait(RESTART_SECONDS):
                self.put(old.name, None)
                self.replace_endpoint(name, old)

        self.run_in_thread(replace)

    def put(self, name, row):
        """Write or delete the record of an endpoint."""
        try:
            self.case.put(
                gateway_base.ENDPOINTS_TOPIC, name, b"" if row is None else row
            )
        except httpx.HTTPError as exc:
            print(f"record of endpoint {name} not written: {exc!r}")

    def publish(self):
        """Publish a version with a route that no earlier one had."""
        with self._lock:
            self._serial += 1
            self.case.publish(*_routes(self._serial), version=self._serial)
            row = (self._serial, time.monotonic())
        self.history.add(self.history.versions, row)

    # Helpers for the kinds of fault.

    def run_in_thread(self, function, *arguments):
        """Run a function in a thread and return the thread."""
        thread = threading.Thread(target=function, args=arguments)
        thread.start()
        return thread

    def reserve(self, name):
        """Reserve a target: two faults at one would undo each other."""
        with self._lock:
            if name in self._reserved:
                return False
            self._reserved.add(name)
            return True

    def release(self, name):
        """Release a target for other faults."""
        with self._lock:
            self._reserved.discard(name)

    def is_reserved(self, name):
        """Return whether a fault holds the target."""
        return name in self._reserved

    def reserve_gateway(self):
        """Draw and reserve a gateway, ``None`` if it is taken."""
        name = self.rng.choice(self.gateways)
        return name if self.reserve(name) else None

    def reserve_endpoint(self):
        """Draw and reserve an endpoint, ``None`` if it is taken."""
        name = self.rng.choice(sorted(self.backend_by_name))
        return name if self.reserve(name) else None

    def record_fault(self, what):
        """Record a fault for the report."""
        row = (time.monotonic() - self._started, what)
        self.history.add(self.history.faults, row)

    def process(self, name):
        """Return the current process of a gateway."""
        return self.case.dep.process_by_name[name]

    def restart(self, name, after):
        """Restart a gateway after ``after`` seconds and release it."""
        time.sleep(after)
        self.case.dep.start(name)
        self.wait_ready(name)
        self.release(name)

    def wait_ready(self, name):
        """Wait until a started gateway is ready or the run ends."""
        bringup.wait_until(
            lambda: self.case.is_ready(name) or self.stopping.is_set(),
            what=name,
        )


def _routes(serial):
    route = gateway_base.route
    stream_ms = int(callers.STREAM_LIMIT_SECONDS * 1_000)
    slow_ms = int(callers.SLOW_LIMIT_SECONDS * 1_000)
    return [
        route("look", "app", "safe"),
        route("book", "app", "unsafe"),
        route("slow", "app", "safe", timeout_ms=slow_ms),
        route("wait", "app", "safe"),
        route("chat", "model", "stream", resumable=True, timeout_ms=stream_ms),
        *(
            route(f"new{number}", "app", "safe")
            for number in range(1, serial + 1)
        ),
    ]
