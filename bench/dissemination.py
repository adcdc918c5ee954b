"""Heartbeats among gateways at rest: cost, false suspicions, detection.

Usage:
  dissemination [--gateways=LIST] [--losses=LIST] [--seconds=N] [--seed=N]

Options:
  --gateways=LIST  Numbers of gateways [default: 30,195,350].
  --losses=LIST    Lost datagrams in percent [default: 0,3,30].
  --seconds=N      Virtual seconds in steady state [default: 12].
  --seed=N         Seed of losses, delays and turns [default: 1].

Plays the production exchange in virtual time, without sockets, and prints a
Markdown table for each number of gateways and share of losses: datagrams and
bytes per second and gateway, processor time per second and gateway, the age of
the newest heartbeat known of another gateway (median, 99 in 100, most), how
many in a million looks find a running gateway silent, and after what time one
that was killed counts as silent everywhere (first and last observer).
"""

import heapq
import itertools
import random
import time
import typing

import docopt
import loguru

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import cell_membership
from clementinewall.gateway import crash_guard
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peers

GATEWAYS_PER_ENGINE = 5
WARM_UP_MS = 6_000
DATA_CENTRES = 5
DELAY_MS = (1, 4)
LOOK_INTERVAL_MS = 250
KILLED = 3


class Result(typing.NamedTuple):
    """What one play measured; see the module's text for the units."""

    datagrams: float
    bytes: float
    micros: float
    age_ms: tuple[int, int, int]
    silent_per_million: float
    detection_ms: tuple[int, int]


class _Wire:
    """Carries the datagrams of one gateway."""

    def __init__(self, network, ip):
        self._network = network
        self._ip = ip

    def send(self, raw, ips):
        """Send the same bytes to each of ``ips``."""
        for ip in ips:
            self._network.carry(raw, self._ip, ip)


class Network:
    """Gateways in virtual time, among which datagrams get lost."""

    def __init__(self, size, loss, seed):
        """Create ``size`` gateways; ``loss`` is a fraction."""
        self.clock = clock.ManualClock()
        self.rng = random.Random(seed)
        self.loss = loss
        self.datagrams = self.bytes = 0
        # Whether datagrams between two addresses are lost.
        self.cut_between = lambda here, there: False
        self._queue = []
        self._number = itertools.count()
        self.peers_by_ip = {}
        self.guard_by_ip = {}
        self.limits_by_ip = {}
        self._cell_by_ip = {}
        for number in range(size):
            ip = f"10.{number % DATA_CENTRES}.{number // 250}.{number % 250}"
            self._add(ip, f"dc-{number % DATA_CENTRES}", size)
        for ip in self.peers_by_ip:
            self._start(ip)

    def restart(self, ip):
        """Replace a gateway by a new process, which remembers nothing."""
        data_centre = self.peers_by_ip[ip]._settings.data_centre
        self._add(ip, data_centre, len(self.peers_by_ip), incarnation=2_000)
        self._start(ip)

    def _start(self, ip):
        for other in self.peers_by_ip:
            self.peers_by_ip[ip].table.register(other)
        self._at(self.rng.randrange(300), self._run, ip)
        self._at(self.rng.randrange(250), self._sweep, ip)

    def _add(self, ip, data_centre, size, incarnation=1_000):
        settings = domain.Settings(
            instance=ip,
            ip=ip,
            data_centre=data_centre,
            callers=f"{ip}:8000",
            ready="",
            directory="",
            peer_port=1,
            store="",
            bounds=domain.Bounds(),
        )
        now = self.clock.now
        view = fleet_view.FleetView(now)
        view.endpoint_by_id = {
            found.id: found
            for number in range(max(4, size // GATEWAYS_PER_ENGINE))
            for found in [endpoint(number)]
        }
        cell = cell_membership.CellMembership(settings, view, now)
        guard = self.guard_by_ip[ip] = crash_guard.CrashGuard(now)
        known = endpoints.Endpoints(view, now)
        self.limits_by_ip[ip] = known.request_limits
        found = peers.Peers(
            settings,
            now,
            lambda: True,
            known,
            guard,
            cell,
            incarnation=incarnation,
        )
        known.request_limits.share_with(
            ip,
            lambda endpoint: cell.limit_group(endpoint, found.table.ips),
        )
        found._rounds._targets._rng.seed(self.rng.random())
        found._datagrams = _Wire(self, ip)
        self.peers_by_ip[ip] = found
        self._cell_by_ip[ip] = cell

    def _at(self, delay_ms, action, *arguments):
        entry = (
            self.clock.now() + delay_ms,
            next(self._number),
            action,
            arguments,
        )
        heapq.heappush(self._queue, entry)

    def _run(self, ip):
        found = self.peers_by_ip.get(ip)
        if found is not None:
            found._send()
            self._at(found._gap_ms(), self._wait, ip)

    def _wait(self, ip):
        found = self.peers_by_ip.get(ip)
        if found is not None:
            self._at(found._idle_wait_ms(), self._run, ip)

    def _sweep(self, ip):
        found = self.peers_by_ip.get(ip)
        if found is not None:
            self._cell_by_ip[ip].update(found.table.members())
            found._endpoints.sweep()
            self._at(250, self._sweep, ip)

    def carry(self, raw, sender, ip):
        """Deliver a datagram after the delay, or lose it."""
        self.datagrams += 1
        self.bytes += len(raw)
        is_lost = self.rng.random() < self.loss
        if not is_lost and not self.cut_between(sender, ip):
            self._at(
                self.rng.randint(*DELAY_MS), self._deliver, raw, sender, ip
            )

    def _deliver(self, raw, sender, ip):
        found = self.peers_by_ip.get(ip)
        if found is not None:
            found._receive(raw, sender)

    def kill(self, ip):
        """End a gateway without a word."""
        del self.peers_by_ip[ip]

    def play(self, duration_ms):
        """Let the time pass."""
        end = self.clock.now() + duration_ms
        while self._queue and self._queue[0][0] <= end:
            at, _, action, arguments = heapq.heappop(self._queue)
            self.clock.advance(at - self.clock.now())
            action(*arguments)
        self.clock.advance(end - self.clock.now())

    def ages(self):
        """Return the age of each heartbeat that some gateway knows."""
        now = self.clock.now()
        return [
            now - heartbeat.received_at
            for found in self.peers_by_ip.values()
            for heartbeat in found.table._heartbeat_by_ip.values()
            if heartbeat.ip in self.peers_by_ip
        ]

    def blind(self):
        """Return pairs of a gateway and one that it counts as silent."""
        return [
            (ip, other)
            for ip, found in self.peers_by_ip.items()
            for other in self.peers_by_ip.keys()
            - {heartbeat.ip for heartbeat in found.table.live()}
            - {ip}
        ]

    def seeing(self, dead):
        """Return the gateways that count one of ``dead`` as alive."""
        return [
            ip
            for ip, found in self.peers_by_ip.items()
            if any(found.table.is_live(other) for other in dead)
        ]


def endpoint(number):
    """Return one of the engines."""
    return domain.Endpoint(
        f"i-{number:08x}",
        "model",
        f"10.9.0.{number}:1",
        "a",
        16,
        False,
        domain.STAGES[number % 2],
        1,
    )


def measure(size, loss, seconds, seed):
    """Play once and return the :class:`Result`."""
    network = Network(size, loss, seed)
    network.play(WARM_UP_MS)
    network.datagrams = network.bytes = 0
    began = time.process_time()
    spent = 0.0
    ages, looks, silent = [], 0, 0
    for _ in range(seconds * 1_000 // LOOK_INTERVAL_MS):
        began = time.process_time()
        network.play(LOOK_INTERVAL_MS)
        spent += time.process_time() - began
        ages += network.ages()
        looks += size * (size - 1)
        silent += len(network.blind())
    ages.sort()
    per_second = 1 / (seconds * size)
    return Result(
        network.datagrams * per_second,
        network.bytes * per_second,
        spent * per_second * 1e6,
        (
            ages[len(ages) // 2],
            ages[len(ages) * 99 // 100],
            ages[-1],
        ),
        silent / looks * 1e6,
        _detection(network),
    )


def _detection(network):
    """Kill some gateways; return when the first and last notice all."""
    dead = network.rng.sample(sorted(network.peers_by_ip), KILLED)
    for ip in dead:
        network.kill(ip)
    start = network.clock.now()
    first = None
    while len(seeing := network.seeing(dead)) > 0:
        if first is None and len(seeing) < len(network.peers_by_ip):
            first = network.clock.now() - start
        network.play(20)
    last = network.clock.now() - start
    return last if first is None else first, last


def main():
    """Measure and print."""
    options = docopt.docopt(__doc__)
    loguru.logger.remove()
    print(
        "| gateways | lost | datagrams/s | bytes/s | processor us/s "
        "| age ms | silent per million | detected after ms |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for size in map(int, options["--gateways"].split(",")):
        for percent in map(int, options["--losses"].split(",")):
            found = measure(
                size,
                percent / 100,
                int(options["--seconds"]),
                int(options["--seed"]),
            )
            print(
                f"| {size} | {percent} % | {found.datagrams:.1f} "
                f"| {found.bytes:.0f} | {found.micros:.0f} "
                f"| {', '.join(map(str, found.age_ms))} "
                f"| {found.silent_per_million:.0f} "
                f"| {', '.join(map(str, found.detection_ms))} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
