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

_log = logs.PartLog("path")

# A gateway needs up to the time of a connection to find out that it does not
# reach the endpoint either.
TUNNEL_TIMEOUT_MS = 350
# The key of the gateways' messages under which they tell who connects.
MESSAGE_KEY = "relays"
# The next gateway is asked after this time while others have not answered.
ASK_INTERVAL_MS = 15
# While no gateway is known to reach any endpoint, searches begin at this
# interval; and at the longer one once all gateways were asked lately.
SEARCH_INTERVAL_MS = 250
REPEAT_INTERVAL_MS = 1_000
# One endpoint is probed at this interval, and several as often each, as long
# as no more than ``MAX_PROBES_PER_INTERVAL`` probes begin in it.
PROBE_INTERVAL_MS = 500
MAX_PROBES_PER_INTERVAL = 4
# Probes at a time once one of them has found a better way.
MAX_PROBES_AT_ONCE = 8


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
        self._memory = relay_choice.RelayMemory(now)
        self.probes = Probes(self.start, self._search_interval_ms, now)
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

    def message(self):
        """Return who connects to endpoints, for all gateways; or ``None``.

        While no gateway is cut off nobody is asked, and nothing is told.
        """
        return self._memory.rows_to_tell() or None

    def take(self, message, _ip):
        """Take in who connects, as another gateway knows it.

        :raises TypeError, ValueError: if malformed.
        """
        for ip, age_ms in message.get(MESSAGE_KEY, ()):
            if not isinstance(age_ms, int) or age_ms < 0:
                raise ValueError(f"not an age in ms: {age_ms!r}")
            if self.table.is_known(ip):
                self._memory.record_told(ip, age_ms)

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


class Probes:
    """Probes endpoints that are not reached directly, in turn.

    A gateway that is cut off is mostly cut off from many endpoints at once.
    If it probed each of them by itself, a data centre that is cut off would
    keep its processors, its peers and all endpoints busy.  So few are probed
    at a time, and all of them once one is reached in a better way.
    """

    def __init__(self, start, search_interval_ms, now):
        """Probe nothing until :meth:`add`.

        ``start(function)`` runs a coroutine function in the background,
        ``search_interval_ms()`` returns how long to wait between searches for
        a gateway that reaches an endpoint, and ``now`` returns milliseconds.
        """
        self._start = start
        self._search_interval_ms = search_interval_ms
        self._now = now
        self._searched_at = now()
        self._waiting = collections.deque()
        self._probed = set()
        self._is_running = False
        self._is_sweeping = False

    def add(self, path):
        """Probe ``path``, an ``EndpointPath``, until it is direct."""
        if path not in self._waiting and path not in self._probed:
            self._waiting.append(path)
        if not self._is_running:
            self._is_running = True
            self._start(self._run)

    @property
    def is_idle(self):
        """Tell whether no endpoint is probed any more."""
        return not self._is_running

    async def _run(self):
        try:
            while self._waiting or self._probed:
                share = min(
                    MAX_PROBES_PER_INTERVAL, max(1, len(self._waiting))
                )
                await anyio.sleep(clock.seconds(PROBE_INTERVAL_MS / share))
                if self._waiting:
                    self._start_probe(self._waiting.popleft())
        finally:
            self._is_running = False

    def _start_probe(self, path):
        if path.is_direct:
            return

        async def probe():
            if await self._probe(path) and not self._is_sweeping:
                await self._sweep()

        self._start(probe)

    async def _probe(self, path):
        """Probe one endpoint; return whether it is reached in a better way."""
        self._probed.add(path)
        is_better = False
        try:
            with containment.contained(_log, "a probe"):
                may_search = path.needs_search and self._may_search()
                is_better = await path.probe(may_search)
        finally:
            self._probed.discard(path)
            if not path.is_direct:
                self.add(path)
        return is_better

    def _may_search(self):
        if self._now() - self._searched_at < self._search_interval_ms():
            return False
        self._searched_at = self._now()
        return True

    async def _sweep(self):
        """Probe all others: what cut them off has probably ended, too."""
        self._is_sweeping = True
        limiter = anyio.Semaphore(MAX_PROBES_AT_ONCE)

        async def probe(path):
            async with limiter:
                await self._probe(path)

        try:
            waiting = [path for path in self._waiting if not path.is_direct]
            self._waiting.clear()
            async with anyio.create_task_group() as group:
                for path in waiting:
                    # A probe that waits for its turn counts as one that runs.
                    self._probed.add(path)
                    group.start_soon(
                        containment.run_once, _log, "a probe", probe, path
                    )
        finally:
            self._is_sweeping = False
