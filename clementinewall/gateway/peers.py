"""What gateways tell one another, in datagrams, several times a second.

Each gateway sends its state to all it knows: that it serves, and how much
work it has at each engine.  Datagrams may be lost or late and peers may be
cut off; a peer that isn't heard for a while counts as gone, and its work
with it.  Nothing that must hold depends on this.
"""

import collections
import json
import socket
import typing

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import news as news_module
from clementinewall import logs
from clementinewall.platform import records
from clementinewall.platform import store
from clementinewall.policy import reading_queue
from clementinewall.policy import reading_turns

_log = logs.PartLog("peers")

# New work is told at once: with 7 gateways and 100 prompts a second, five or
# more prompts of 20 to 60 ms each are placed within 50 ms, all on the engine
# that then seems the least loaded.  The gap between two sends grows with the
# number of peers, so that a gateway never sends more than 500 datagrams a
# second.
GAP_MS_A_PEER = 2
# Ends of work are told in the same datagrams, at the latest after this time.
EVERY_MS = 50
# Without work a state is sent this seldom, as a sign of life.
UNCHANGED_MS = 300
# Gateways outside the cell need to know only that this one serves.
FAR_MS = 500
# Two signs of life and one lost: callers that ask are not sent to a gateway
# that died longer ago than that.
SILENT_MS = 1_200
REGISTER_RETRY_MS = 1_000
MAX_BYTES = 60_000
# Datagrams get lost.  News with a change is sent so many times at once; the
# next news, half a second later or more, repeats it as well.
CHANGE_COPIES = 2


class Work(typing.NamedTuple):
    """One gateway's unfinished work at one engine.

    ``jobs`` are the prompts that wait or are read, ``streams`` the answers
    that are being made, ``last_end`` is when a prompt was last answered.
    """

    jobs: tuple[reading_queue.Job, ...]
    streams: int
    last_end: float


class Peer(typing.NamedTuple):
    """A gateway as it was last heard."""

    ip: str
    callers: str
    data_centre: str
    ready: bool
    work_by_endpoint: dict[str, Work]
    heard_at: clock.Millis


class Peers:
    """The other gateways, and the socket to talk with them."""

    def __init__(self, settings, now, report, endpoints, guard, membership):
        """Send what ``report`` returns; ``endpoints`` learn from others.

        The marks of ``guard`` go with each state.  Gateways outside the cell
        get a sign of life only.
        """
        self._membership = membership
        self._guard = guard
        self._settings = settings
        self._now = now
        self._report = report
        self._endpoints = endpoints
        self._ips = set()
        self._peer_by_ip = {}
        self._had_work = True
        self._last_at = -UNCHANGED_MS
        self._last_far_at = -FAR_MS
        self._wake = anyio.Event()
        self._outbox = collections.deque()
        self._take_news_by_topic = {}

    def live(self):
        """Return the peers heard lately."""
        limit = self._now() - SILENT_MS
        return [p for p in self._peer_by_ip.values() if p.heard_at >= limit]

    def tell(self):
        """Let the others know soon that there is new work."""
        self._wake.set()

    def place_in_line(self):
        """Return this gateway's place among those that are heard and serve.

        By address, so that all that hear one another agree.
        """
        ready = [peer.ip for peer in self.live() if peer.ready]
        return reading_turns.place(self._settings.ip, ready)

    def tell_news(self, news):
        """Tell the others what was read of the store."""
        raw = json.dumps(news_module.encode(news), separators=(",", ":"))
        copies = CHANGE_COPIES if news.records or not news.whole else 1
        self._outbox.extend([raw.encode()] * copies)
        self._wake.set()

    def on_news(self, topic, take):
        """Hand what others read of a topic to ``take``."""
        self._take_news_by_topic[topic] = take

    def take(self, record):
        """Take in a record of the gateways' topic."""
        if record.value is None:
            self._ips.discard(record.key)
        elif record.key != self._settings.ip:
            self._ips.add(record.key)

    async def register(self):
        """Put this gateway's address into the store, once."""
        client = store.Store(self._settings.store, self._now)
        while True:
            try:
                await client.append(
                    records.GATEWAYS_TOPIC, self._settings.ip, b"1"
                )
                break
            except errors.LogUnavailable as exc:
                _log.warning("not registered yet", why=exc.message)
                await anyio.sleep(clock.seconds(REGISTER_RETRY_MS))
        _log.info("registered", ip=self._settings.ip)
        client.close()

    async def run(self):
        """Send and receive until cancelled."""
        async with await anyio.create_udp_socket(
            family=socket.AF_INET,
            local_host=self._settings.ip,
            local_port=self._settings.peer_port,
        ) as udp:
            async with anyio.create_task_group() as group:
                group.start_soon(self._receive, udp)
                while True:
                    await self._send(udp)
                    await anyio.sleep(clock.seconds(self._gap_ms()))
                    with anyio.move_on_after(clock.seconds(EVERY_MS)):
                        await self._wake.wait()
                    self._wake = anyio.Event()

    def _gap_ms(self):
        close = sum(map(self._membership.is_close, self._peer_by_ip))
        return GAP_MS_A_PEER * max(1, close)

    async def _send(self, udp):
        if self._outbox:
            raw = self._outbox.popleft()
            await self._send_raw(udp, self._group(), raw)
        state, read = self._report()
        now = self._now()
        idle = not state["work"] and not self._had_work and not read
        if idle and now - self._last_at < UNCHANGED_MS:
            return
        self._had_work = bool(state["work"])
        self._last_at = now
        ips = [ip for ip in self._ips if self._membership.is_close(ip)]
        await self._send_to(udp, ips, state, read)
        if now - self._last_far_at >= FAR_MS:
            self._last_far_at = now
            await self._send_to(udp, self._far(ips), {**state, "work": {}}, [])

    def _group(self):
        ips = [peer.ip for peer in self.live()]
        own = self._settings.ip
        return [ip for ip in reading_turns.group(own, ips) if ip != own]

    def _far(self, close):
        """Return the addresses outside the cell; until dealt, all others."""
        return self._ips.difference(close)

    async def _send_to(self, udp, ips, state, read):
        marks = self._guard.message()
        raw = json.dumps([state, read, marks], separators=(",", ":")).encode()
        if len(raw) > MAX_BYTES:
            _log.warning("state too large to tell", size=len(raw))
            return
        await self._send_raw(udp, ips, raw)

    async def _send_raw(self, udp, ips, raw):
        port = self._settings.peer_port
        for ip in ips:
            try:
                await udp.sendto(raw, ip, port)
            except OSError as exc:
                _log.debug("not sent", ip=ip, why=repr(exc))

    async def _receive(self, udp):
        async for raw, (ip, _port) in udp:
            try:
                self._take_datagram(raw, ip)
            except (
                ValueError,
                TypeError,
                KeyError,
                AttributeError,
                RecursionError,
            ) as exc:
                # Anybody may send to this port.  An error here would end the
                # whole process.
                _log.warning("unreadable datagram", ip=ip, why=repr(exc))

    def _take_datagram(self, raw, ip):
        data = json.loads(raw)
        if isinstance(data, dict):
            self._take_news(data, ip)
            return
        state, read, marks = data
        peer = _decode(state, ip, self._now())
        self._guard.merge(marks)
        if ip not in self._peer_by_ip:
            _log.info("peer heard", ip=ip, ready=peer.ready)
        self._peer_by_ip[ip] = peer
        self._ips.add(ip)
        for endpoint_id, parts in read:
            self._endpoints.learn_read(endpoint_id, parts)
        for endpoint_id, ms in state["away"].items():
            self._endpoints.learn_away(endpoint_id, ms)

    def _take_news(self, data, ip):
        news = news_module.decode(data)
        take = self._take_news_by_topic.get(news.topic)
        # News decides which endpoints get work, so only gateways are
        # believed, not whoever sends to this port.
        if take is not None and ip in self._peer_by_ip:
            take(news)


def encode(settings, ready, work_by_endpoint, away_by_endpoint, now):
    """Return a gateway's state as plain data; times become ages."""
    return {
        "callers": settings.callers,
        "data_centre": settings.data_centre,
        "ready": ready,
        "away": away_by_endpoint,
        "work": {
            name: [
                work.streams,
                now - work.last_end,
                [
                    [job.urgency, round(job.cost_ms), now - job.sent_at]
                    for job in work.jobs
                ],
            ]
            for name, work in work_by_endpoint.items()
        },
    }


def _decode(state, ip, now):
    work = {
        name: Work(
            tuple(
                reading_queue.Job(urgency, cost_ms, now - age)
                for urgency, cost_ms, age in jobs
            ),
            streams,
            now - end_age,
        )
        for name, (streams, end_age, jobs) in state["work"].items()
    }
    return Peer(
        ip,
        state["callers"],
        state["data_centre"],
        state["ready"] is True,
        work,
        now,
    )
