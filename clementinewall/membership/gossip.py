"""The task that exchanges rows and crash marks with peers.

Once in ``gossip_ms`` an instance greets one peer of its data centre and now
and then one elsewhere, and takes the peer's rows from the reply.  The
platform's instance list lags, so it only seeds the table.
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

URGENT_PEERS = 8
URGENT_TRIES = 3
REPLY_MS = 150
SEED_EVERY = 20
SEED_CONTACTS = 2
# In its first rounds a process knows nobody, and those whom it met last may
# be of one program or data centre only.
FIRST_ROUNDS = 6
SEED_TIMEOUT_MS = 1_000
WANT_LIMIT = 20
OUTBOX_LIMIT = 500
# A changed row is sent whole for this many rounds, so that most peers need
# not ask for it.
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
    """Owns the socket for membership."""

    def __init__(self, settings, table, crashes):
        """Exchange the rows of ``table`` and the marks of ``crashes``."""
        self._settings = settings
        self._table = table
        self._crashes = crashes
        self._codec = wire.Codec(settings.security.control_token)
        self._http = _http.client(SEED_TIMEOUT_MS)
        self._socket = None
        self._outbox, self._to_write = anyio.create_memory_object_stream(
            OUTBOX_LIMIT
        )
        self._waiting_by_nonce = {}
        self._fresh_by_id = collections.Counter()
        self._round_number = 0

    async def run(self, in_force):
        """Gossip for ever; ``in_force()`` gives version and offset."""
        host, _, port = self._settings.listen.control.rpartition(":")
        async with (
            await anyio.create_udp_socket(
                local_host=host, local_port=int(port)
            ) as self._socket,
            anyio.create_task_group() as group,
        ):
            group.start_soon(self._receive)
            group.start_soon(self._write)
            await self._greet(in_force)

    async def announce(self):
        """Tell several peers at once and wait until they know."""
        async with anyio.create_task_group() as group:
            for address in self._table.urgent_peers(URGENT_PEERS):
                group.start_soon(self._tell, address)

    async def _greet(self, in_force):
        period = self._settings.membership.gossip_ms
        while True:
            self._table.advance_heartbeat(*in_force())
            self._table.expire()
            self._round_number += 1
            peers = self._table.gossip_peers()
            is_new = self._round_number <= FIRST_ROUNDS
            if not peers or is_new or self._round_number % SEED_EVERY == 0:
                peers = peers + await self._seeds()
            for address in peers:
                self._send(address, self._message(wire.HELLO))
            self._fresh_by_id -= collections.Counter(list(self._fresh_by_id))
            jitter = random.uniform(0.8, 1.2)
            await anyio.sleep(clock.seconds(period) * jitter)

    async def _tell(self, address):
        """Greet until the peer has replied, a few times at most."""
        nonce = random.getrandbits(48)
        replied = self._waiting_by_nonce[nonce] = anyio.Event()
        try:
            for _ in range(URGENT_TRIES):
                message = self._message(wire.HELLO)._replace(nonce=nonce)
                self._send(address, message)
                with anyio.move_on_after(clock.seconds(REPLY_MS)):
                    await replied.wait()
                    return
        finally:
            del self._waiting_by_nonce[nonce]

    def _message(self, kind):
        """Return everything for a peer: marks, fresh rows and beats."""
        rows = self._table.message_rows()
        whole = [
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
            rows=tuple(whole),
            marks=self._crashes.message(),
            beats=beats,
        )

    def _send(self, address, datagram):
        """Hand a datagram to the task that writes to the socket.

        A full channel drops it: the next round sends news of the same rows.
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
                _log.debug("no way to a peer", peer=address, error=str(exc))

    async def _receive(self):
        while True:
            try:
                raw, (host, port, *_) = await self._socket.receive()
            except OSError:
                # A peer that is gone answers with "port unreachable", which
                # the system reports here; it says nothing of the others.
                continue
            metrics.count("control_bytes", len(raw), part="gossip", way="in")
            try:
                self._take(self._codec.decode(raw), f"{host}:{port}")
            except errors.ClementinewallError as exc:
                _log.warning(
                    "a datagram was refused",
                    by=f"{host}:{port}",
                    why=exc.message,
                )

    def _take(self, datagram, address):
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
                want=tuple(unknown[:WANT_LIMIT]),
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
        # A hello that was cut into several datagrams is answered once, by
        # the part that carries the sender's own row.
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
            _log.debug("the instance list failed", error=repr(exc))
            return []
        seeds, mistakes = _schema.build(Seeds, data)
        if mistakes:
            _log.warning(
                "the instance list is garbled", error=str(mistakes[0])
            )
            return []
        own = self._table.own.control
        addresses = [s.control for s in seeds.instances if s.control != own]
        count = min(SEED_CONTACTS, len(addresses))
        return random.sample(addresses, count)
