"""Following the control stream, from the log or from a peer.

In each data centre only a few instances read the log service; the others
read the same records, with the same offsets, from one of those.  A reader
goes back to the log when its peers fail and to its peers when the log
fails, so that an outage of either is not noticed by callers.  One task owns
the folded state; others read it and wait for its next change.
"""

import collections
import random

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.log import client
from clementinewall import logs
from clementinewall.records import control

_log = logs.PartLog("tail")

READ_WAIT_MS = 1_000
RETRY_DELAY_MS = 200
MAX_RELAYED_RECORDS = 5_000
# The peers to draw from in an outage of the log.
MAX_OUTAGE_PEERS = 16


class Tail:
    """Folds the control stream and relays it."""

    def __init__(self, settings, log_client, members, now):
        """Read by ``log_client``; ``members`` knows the peers."""
        self._spacing_ms = settings.membership.tail_ms
        self.state = control.State()
        self.caught_up = False
        self.log_reachable = False
        self._client = log_client
        self._members = members
        self._now = now
        self._ring = collections.deque(maxlen=MAX_RELAYED_RECORDS)
        self._changed = anyio.Event()
        self._source_was = None

    async def run(self):
        """Follow the stream for ever."""
        while True:
            try:
                await self._step()
            except errors.ClementinewallError as exc:
                self._say_failure(exc)
                await anyio.sleep(clock.seconds(RETRY_DELAY_MS))

    async def wait_change(self, timeout_ms):
        """Wait for the next record, or until the time has passed."""
        changed = self._changed
        with anyio.move_on_after(clock.seconds(timeout_ms)):
            await changed.wait()

    async def wait_outcome(self, record_id, timeout_ms):
        """Return the outcome of a record by its id, once it is read back.

        :raises AppendUnknown: it was not read back in time.
        """
        end = self._now() + timeout_ms
        while record_id not in self.state.outcome_by_id:
            left = end - self._now()
            if left <= 0:
                raise errors.AppendUnknown("the record was not read back")
            await self.wait_change(left)
        return self.state.outcome_by_id[record_id]

    def relay(self, start):
        """Return what a peer that asks from ``start`` on shall get.

        :raises NotReady: nothing is known here either.
        """
        if not self.state.known:
            raise errors.NotReady("no state to relay yet")
        end = self.state.next
        oldest = self._ring[0].offset if self._ring else end
        if start >= oldest:
            records = tuple(
                item for item in self._ring if item.offset >= start
            )
            return client.Batch(oldest, end, records[: client.READ_LIMIT])
        folded = client.RelayedState(end - 1, self.state.dump())
        return client.Batch(end, end, (), folded)

    async def _step(self):
        source = self._pick_source()
        start = self.state.next
        wait_ms = READ_WAIT_MS if self.caught_up else 0
        batch = await self._client.read(control.STREAM, start, wait_ms, source)
        if source is None:
            self.log_reachable = True
        self._say_source(source)
        self._take(batch)
        if batch.records and self.caught_up:
            await anyio.sleep(clock.seconds(self._spacing_ms))

    def _take(self, batch):
        before = self.state.version
        if batch.snapshot is not None:
            self.state.adopt(batch.snapshot.state, batch.snapshot.as_of)
        else:
            self.state.begin(batch.first)
        for offset, record in batch.records:
            if offset >= self.state.next:
                self.state.apply(offset, record)
                self._ring.append(client.Entry(offset, record))
        if len(batch.records) < client.READ_LIMIT:
            self.caught_up = self.caught_up or self.state.known
        if self.state.version != before:
            _log.info(
                "a configuration is in force", version=self.state.version
            )
        if batch.records or batch.snapshot is not None:
            changed, self._changed = self._changed, anyio.Event()
            changed.set()

    def _pick_source(self):
        """Return the peer to read from, or ``None`` for the log itself."""
        if not self.log_reachable and self._source_was is None:
            # The log failed last time.  What this process lacks may be
            # known in another data centre only, so anybody is asked.
            anybody = self._members.urgent_peers(MAX_OUTAGE_PEERS)
            if anybody:
                return random.choice(anybody)
        peers = self._members.relays()
        if self._members.is_tailer() or not peers:
            return None
        return random.choice(peers)

    def _say_source(self, source):
        if source != self._source_was and source is None:
            _log.debug("reading from the log")
        self._source_was = source

    def _say_failure(self, exc):
        if self._source_was is None and self.log_reachable:
            _log.warning("the log cannot be read", error=exc.message)
        if not self.state.known:
            _log.warning(
                "waiting for the log or a peer with state",
                error=exc.message,
            )
        self.log_reachable = False
        self._source_was = None
