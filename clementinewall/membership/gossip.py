"""The task that exchanges rows and crash marks with peers.

Once in ``gossip_ms`` an instance sends its rows to one peer of its data
centre and now and then to one elsewhere, and takes the peer's rows from the
answer.  The platform's instance list lags, so it only seeds the table.
"""

import json
import random
import typing

import anyio
import httpx

from clementinewall import _schema
from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall.membership import members

_log = logs.PartLog("member")

PATH = "/control/gossip"
URGENT_PEERS = 8
SEED_EVERY = 20
SEED_CONTACTS = 2
SEND_TIMEOUT_MS = 1_000


class Seed(typing.NamedTuple):
    """A row of the platform's instance list."""

    id: str
    control: str
    state: str = "live"


class Seeds(typing.NamedTuple):
    """The platform's instance list."""

    instances: tuple[Seed, ...]


class Gossiper:
    """Owns the connections to peers for membership."""

    def __init__(self, settings, table, crashes):
        """Exchange the rows of ``table`` and the marks of ``crashes``."""
        self._settings = settings
        self._table = table
        self._crashes = crashes
        self._http = httpx.AsyncClient(
            timeout=clock.seconds(SEND_TIMEOUT_MS), trust_env=False
        )
        self._token = settings.security.control_token
        self._lonely = 0

    async def run(self, in_force):
        """Gossip for ever; ``in_force()`` gives version and offset."""
        period = self._settings.membership.gossip_ms
        while True:
            self._table.beat(*in_force())
            self._table.expire()
            await self._round()
            spread = random.uniform(0.8, 1.2)
            await anyio.sleep(clock.seconds(period) * spread)

    def message(self):
        """Return the message for a peer as plain data."""
        return _schema.plain(
            members.Gossip(self._table.message_rows(), self._crashes.message())
        )

    def receive(self, data):
        """Take in a peer's message.

        :raises BadRecord: it does not have the shape of one.
        """
        message, mistakes = _schema.build(members.Gossip, data)
        if mistakes:
            raise errors.BadRecord(str(mistakes[0]))
        self._table.merge(message.members)
        self._crashes.merge(message.crashes)

    async def spread(self):
        """Tell several peers at once, as when this process leaves."""
        async with anyio.create_task_group() as group:
            for address in self._table.urgent_peers(URGENT_PEERS):
                group.start_soon(self._exchange, address)

    async def _round(self):
        peers = self._table.gossip_peers()
        self._lonely += 1
        if not peers or self._lonely % SEED_EVERY == 0:
            peers = peers + await self._seeds()
        for address in peers:
            await self._exchange(address)

    async def _exchange(self, address):
        try:
            answer = await self._http.post(
                f"http://{address}{PATH}",
                content=json.dumps(self.message()),
                headers={"Authorization": f"Bearer {self._token}"},
            )
            if answer.status_code == 200:
                self.receive(answer.json())
        except (httpx.HTTPError, ValueError, errors.BadRecord) as exc:
            _log.debug("a peer did not answer", peer=address, error=repr(exc))

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
