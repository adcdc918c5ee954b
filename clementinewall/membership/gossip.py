"""The task that exchanges member rows and crash records with peers.

Every ``gossip_ms`` an instance sends a hello to one peer of its program and
data centre, and sometimes to one elsewhere, and merges the rows of the
reply.  The platform's instance list lags, so it only seeds the table.
"""

import collections
import random
import typing

import anyio
import httpx

from clementinewall import _http
from clementinewall import _schema
from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import wire
from clementinewall import metrics

_log = logs.PartLog("member")

MAX_URGENT_PEERS = 8
MAX_URGENT_ATTEMPTS = 3
REPLY_TIMEOUT_MS = 150
SEED_INTERVAL_ROUNDS = 20
MAX_SEED_PEERS = 2
# Seeds are also used in the first rounds: a starting process knows no peer,
# and the first ones may all be of one program or data centre.
STARTUP_ROUNDS = 6
SEED_TIMEOUT_MS = 1_000
MAX_WANTED_ROWS = 20
MAX_OUTBOX_DATAGRAMS = 500
# Per hello or reply, which are split into datagrams of a packet each.
MAX_CRASH_RECORDS = 64
# A changed row is sent in full for this many rounds, so that most peers do
# not have to request it.
FRESH_ROUNDS = 3


class Seed(typing.NamedTuple):
    """A row of the platform's instance list."""

    id: str
    control: str
    state: str = "live"


class Seeds(typing.NamedTuple):
    """The platform's instance list."""

    instances: tuple[Seed, ...]


class Gossiper:
    """Runs the gossip protocol on its own UDP socket."""

    def __init__(self, settings, table, crashes):
        """Exchange the rows of ``table`` and records of ``crashes``."""
        self._settings = settings
        self._table = table
        self._crashes = crashes
        self._codec = wire.Codec(settings.security.control_token)
        self._http = _http.client(SEED_TIMEOUT_MS)
        self._socket = None
        self._outbox, self._to_write = anyio.create_memory_object_stream(
            MAX_OUTBOX_DATAGRAMS
        )
        self._waiting_by_nonce = {}
        self._fresh_by_id = collections.Counter()
        self._round_number = 0

    async def run(self, active_version):
        """Gossip until cancelled.

        ``active_version()`` gives the active version and the next offset.
        """
        host, _, port = self._settings.listen.control.rpartition(":")
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=int(port)
            ) as self._socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive)
            group.start_soon(self._write)
            await self._gossip(active_version)

    async def announce(self):
        """Send the own rows to several peers and wait for their replies.

        Peers that do not reply to the last attempt are skipped.
        """
        async with anyio.create_task_group() as group:
            for address in self._table.urgent_peers(MAX_URGENT_PEERS):
                group.start_soon(self._announce_to, address)

    async def _gossip(self, active_version):
        period = self._settings.membership.gossip_ms
        while True:
            self._table.advance_heartbeat(*active_version())
            self._table.expire()
            self._round_number += 1
            peers = self._table.gossip_peers()
            is_new = self._round_number <= STARTUP_ROUNDS
            if (
                not peers
                or is_new
                or self._round_number % SEED_INTERVAL_ROUNDS == 0
            ):
                peers = peers + await self._seeds()
            for address in peers:
                self._send(address, self._message(wire.HELLO))
            self._fresh_by_id -= collections.Counter(list(self._fresh_by_id))
            jitter = random.uniform(0.8, 1.2)
            await anyio.sleep(clock.seconds(period) * jitter)

    async def _announce_to(self, address):
        """Send a hello until the peer replies or attempts run out."""
        nonce = random.getrandbits(48)
        replied = self._waiting_by_nonce[nonce] = anyio.Event()
        try:
            for _ in range(MAX_URGENT_ATTEMPTS):
                message = self._message(wire.HELLO)._replace(nonce=nonce)
                self._send(address, message)
                with anyio.move_on_after(clock.seconds(REPLY_TIMEOUT_MS)):
                    await replied.wait()
                    return
        finally:
            del self._waiting_by_nonce[nonce]

    def _message(self, kind):
        """Return a datagram of crash records, changed rows and heartbeats."""
        rows = self._table.message_rows()
        full_rows = [
            row
            for row in rows
            if row.id == self._table.own.id or self._fresh_by_id[row.id] > 0
        ]
        beats = tuple(
            (row.id, row.incarnation, row.beat, row.version) for row in rows
        )
        return wire.Datagram(
            kind,
            self._table.own.id,
            rows=tuple(full_rows),
            marks=self._crashes.message(MAX_CRASH_RECORDS),
            beats=beats,
        )

    def _send(self, address, datagram):
        """Hand a datagram to the task that writes to the socket.

        It is dropped if the channel is full: the next round sends the same
        rows again.
        """
        for raw in wire.split(datagram, self._codec):
            try:
                self._outbox.send_nowait((address, raw))
            except anyio.WouldBlock:
                metrics.count("datagrams_dropped")

    async def _write(self):
        async for address, raw in self._to_write:
            metrics.count("control_bytes", len(raw), part="gossip", way="out")
            host, _, port = address.rpartition(":")
            try:
                await self._socket.sendto(raw, host, int(port))
            except OSError as exc:
                _log.debug(
                    "datagram not sent to a peer", peer=address, error=str(exc)
                )

    async def _receive(self):
        while True:
            try:
                raw, (host, port, *_) = await self._socket.receive()
            except OSError:
                # The system reports "port unreachable" from a stopped peer
                # here; the socket still works for the other peers.
                continue
            metrics.count("control_bytes", len(raw), part="gossip", way="in")
            try:
                self._apply(self._codec.decode(raw), f"{host}:{port}")
            except errors.ClementinewallError as exc:
                _log.warning(
                    "dropped an invalid datagram",
                    by=f"{host}:{port}",
                    why=exc.message,
                )

    def _apply(self, datagram, address):
        for row in datagram.rows:
            if self._table.merge_row(row):
                self._fresh_by_id[row.id] = FRESH_ROUNDS
        unknown = [
            beat.id
            for beat in datagram.beats
            if not self._table.merge_heartbeat(beat)
        ]
        self._crashes.merge(datagram.marks)
        if unknown:
            want = wire.Datagram(
                wire.WANT,
                self._table.own.id,
                want=tuple(unknown[:MAX_WANTED_ROWS]),
            )
            self._send(address, want)
        if datagram.kind == wire.HELLO:
            self._reply(datagram, address)
        elif datagram.kind == wire.WANT:
            rows = self._table.rows_of(datagram.want)
            reply = wire.Datagram(wire.REPLY, self._table.own.id, rows=rows)
            self._send(address, reply)
        waiting = self._waiting_by_nonce.get(datagram.nonce)
        if waiting is not None and datagram.kind == wire.REPLY:
            waiting.set()

    def _reply(self, hello, address):
        # A hello split into several datagrams gets one reply, to the part
        # with the sender's own row.
        if any(row.id == hello.sender for row in hello.rows):
            reply = self._message(wire.REPLY)._replace(nonce=hello.nonce)
            self._send(address, reply)

    async def _seeds(self):
        address = self._settings.platform.instances
        if address is None:
            return []
        try:
            answer = await self._http.get(f"http://{address}/instances")
            data = answer.json()
        except (httpx.HTTPError, ValueError) as exc:
            _log.debug(
                "instance list not available; no seeds this round",
                error=repr(exc),
            )
            return []
        seeds, mistakes = _schema.build(Seeds, data)
        if mistakes:
            _log.warning(
                "instance list is malformed; no seeds this round",
                error=str(mistakes[0]),
            )
            return []
        own = self._table.own.control
        addresses = [s.control for s in seeds.instances if s.control != own]
        count = min(MAX_SEED_PEERS, len(addresses))
        return random.sample(addresses, count)
