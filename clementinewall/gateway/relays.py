"""Connects to endpoints through other gateways."""

import collections
import random

import anyio

from clementinewall import clock
from clementinewall import containment
from clementinewall.http1 import tunnel
from clementinewall import logs
from clementinewall import metrics
from clementinewall.policy import relay_choice
from clementinewall.reach import probes
from clementinewall.reach import relay_memory

_log = logs.PartLog("path")

# A gateway needs up to the time of a connection to find out that it does not
# reach the endpoint either.
TUNNEL_TIMEOUT_MS = 350
# The next gateway is asked after this time while others have not answered.
ASK_INTERVAL_MS = 15
# While no gateway is known to reach any endpoint, searches begin at this
# interval; and at the longer one once all gateways were asked lately.
SEARCH_INTERVAL_MS = 250
REPEAT_INTERVAL_MS = 1_000


class Unreached(OSError):
    """No gateway that was asked has a connection to the endpoint.

    ``is_refused`` tells that the endpoint's address refuses connections, and
    ``is_answered`` that at least one gateway has answered.
    """

    def __init__(self, is_refused, is_answered):
        """Keep what the gateways answered."""
        super().__init__("no other gateway reaches the endpoint")
        self.is_refused = is_refused
        self.is_answered = is_answered


class Relays:
    """The other gateways, as ways to endpoints that are not reached."""

    def __init__(self, settings, group, now):
        """Know no gateways until ``table``, a ``PeerTable``, is set.

        ``group`` runs what outlives a request; ``now`` returns the time in ms.
        ``on_cut()`` is called when an endpoint is found cut off from here.
        """
        self._settings = settings
        self._group = group
        self.table = None
        self.on_cut = None
        self._now = now
        self._rng = random.Random()
        self._memory = relay_memory.RelayMemory(now)
        self.probes = probes.Probes(self.start, self._search_interval_ms, now)
        # What the searches that found nobody were answered, not logged yet.
        self._unlogged = collections.Counter()

    def start(self, function):
        """Run a coroutine function in the background, contained."""
        self._group.start_soon(containment.run_once, _log, "a check", function)

    def is_available(self, ip, address):
        """Return whether the gateway at ``ip`` may carry on tunnels.

        It may drain, or be cut off from the endpoint at ``address`` by now.
        """
        return self.table.is_ready(ip) and not self._memory.has_answered(
            address, ip, False
        )

    async def connect(self, address):
        """Return a stream to ``address`` through another gateway.

        :raises Unreached: there is none that reaches it.
        """
        return await _Search(self, address).run()

    def candidates(self, address):
        """Return the addresses of the gateways to ask, the best first."""
        memory = self._memory
        known = [
            relay_choice.Candidate(
                peer.ip,
                peer.data_centre,
                memory.has_answered(address, peer.ip, False),
                memory.has_answered(address, peer.ip, True),
                memory.connects(peer.ip),
                memory.asked_ms(peer.ip),
            )
            for peer in self._ready_peers()
        ]
        return relay_choice.order(known, self._settings.data_centre, self._rng)

    def _ready_peers(self):
        return [peer for peer in self.table.live() if peer.ready]

    def _search_interval_ms(self):
        """Return how long to wait between searches for who reaches any."""
        ips = [peer.ip for peer in self._ready_peers()]
        if any(self._memory.connects(ip) for ip in ips):
            return 0
        if all(
            self._memory.asked_ms(ip) < relay_choice.ASKED_LATELY_MS
            for ip in ips
        ):
            return REPEAT_INTERVAL_MS
        return SEARCH_INTERVAL_MS

    def record_asked(self, ip):
        """Record that the gateway at ``ip`` is being asked."""
        self._memory.record_asked(ip)

    def record_answer(self, address, ip, is_reached):
        """Record whether the gateway at ``ip`` reached an endpoint."""
        self._memory.record_answer(address, ip, is_reached)

    def record_failed_search(self, ips, statuses):
        """Count whom a search asked and what they answered, to be logged."""
        own = self._settings.data_centre
        data_centre_by_ip = {p.ip: p.data_centre for p in self.table.live()}
        self._unlogged["searches"] += 1
        for ip in ips:
            is_near = data_centre_by_ip.get(ip) == own
            self._unlogged["asked_near" if is_near else "asked_far"] += 1
        for status in statuses:
            self._unlogged[f"answered_{status or 'nothing'}"] += 1
        metrics.count("failed_relay_searches")

    async def open_tunnel(self, ip, address):
        """Return a tunnel through the gateway at ``ip``."""
        return await tunnel.open_tunnel(
            f"{ip}:{self._settings.peer_port}", address, TUNNEL_TIMEOUT_MS
        )

    def sweep(self):
        """Forget what gateways said long ago; log what searches found."""
        self._memory.sweep(self.table.ips)
        if self._unlogged:
            _log.info("no gateway reaches endpoints", **self._unlogged)
            self._unlogged.clear()


class _Search:
    """Asks gateways, one shortly after the other, until one is connected."""

    def __init__(self, relays, address):
        self._relays = relays
        self._address = address
        self._stream = None
        self._statuses = []

    async def run(self):
        async with anyio.create_task_group() as group:
            ips = self._relays.candidates(self._address)
            for ip in ips:
                ended = anyio.Event()
                group.start_soon(self._ask, ip, ended, group.cancel_scope)
                with anyio.move_on_after(clock.seconds(ASK_INTERVAL_MS)):
                    await ended.wait()
        if self._stream is None:
            self._relays.record_failed_search(ips, self._statuses)
            answers = [s for s in self._statuses if s is not None]
            is_refused = bool(answers) and all(
                status == tunnel.ENDPOINT_REFUSED for status in answers
            )
            raise Unreached(is_refused, bool(answers))
        return self._stream

    async def _ask(self, ip, ended, scope):
        status = None
        self._relays.record_asked(ip)
        try:
            stream = await self._relays.open_tunnel(ip, self._address)
        except tunnel.NotConnected as exc:
            status = exc.status
            self._record_failure(ip, str(exc))
        except (OSError, TimeoutError) as exc:
            self._record_failure(ip, repr(exc))
        else:
            self._relays.record_answer(self._address, ip, True)
            metrics.count("tunnels_opened")
            self._stream = stream
            scope.cancel()
        finally:
            if status != tunnel.NOT_RELAYED:
                self._statuses.append(status)
            ended.set()

    def _record_failure(self, ip, why):
        self._relays.record_answer(self._address, ip, False)
        _log.debug(
            "gateway does not reach the endpoint either",
            by=ip,
            address=self._address,
            why=why,
        )
