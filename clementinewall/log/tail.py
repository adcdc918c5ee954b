"""Follower of the control stream, reading from the log or from a peer.

In each data centre only a few instances read the log service; the others
read the same records, with the same offsets, from one of those.  A reader
falls back to the log when its peers fail and to its peers when the log
fails, so that callers do not notice an outage of either.  One task updates
the state; others read it and wait for its next change.
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
# Peers of any program and data centre to choose from if the log fails.
MAX_OUTAGE_PEERS = 16


class Tail:
    """Applies the control stream to a state, and relays it to peers."""

    def __init__(self, settings, log_client, members, now):
        """Read through ``log_client``; ``members`` gives the peers."""
        self._read_interval_ms = settings.membership.tail_ms
        self.state = control.State()
        self.caught_up = False
        self.log_reachable = False
        self._client = log_client
        self._members = members
        self._now = now
        self._recent = collections.deque(maxlen=MAX_RELAYED_RECORDS)
        self._changed = anyio.Event()
        self._last_source = None

    async def run(self):
        """Follow the stream until cancelled."""
        while True:
            try:
                await self._step()
            except errors.ClementinewallError as exc:
                self._record_failure(exc)
                await anyio.sleep(clock.seconds(RETRY_DELAY_MS))

    async def wait_change(self, timeout_ms):
        """Wait for the next record, for ``timeout_ms`` at most."""
        changed = self._changed
        with anyio.move_on_after(clock.seconds(timeout_ms)):
            await changed.wait()

    async def wait_outcome(self, record_id, timeout_ms):
        """Return the outcome of a record by its id, once it is read back.

        :raises AppendUnknown: it was not read back in time.
        """
        deadline = self._now() + timeout_ms
        while record_id not in self.state.outcome_by_id:
            remaining_ms = deadline - self._now()
            if remaining_ms <= 0:
                raise errors.AppendUnknown(
                    "the record was not read back in time"
                )
            await self.wait_change(remaining_ms)
        return self.state.outcome_by_id[record_id]

    def relay(self, start):
        """Return a batch from ``start`` on for a peer.

        :raises NotReady: this process has no state yet either.
        """
        if not self.state.known:
            raise errors.NotReady("no state to relay yet")
        end = self.state.next
        oldest = self._recent[0].offset if self._recent else end
        if start >= oldest:
            records = tuple(
                item for item in self._recent if item.offset >= start
            )
            return client.Batch(
                oldest, end, records[: client.MAX_READ_RECORDS]
            )
        snapshot = client.RelayedState(end - 1, self.state.dump())
        return client.Batch(end, end, (), snapshot)

    async def _step(self):
        source = self._pick_source()
        start = self.state.next
        wait_ms = READ_WAIT_MS if self.caught_up else 0
        batch = await self._client.read(control.STREAM, start, wait_ms, source)
        if source is None:
            self.log_reachable = True
        self._record_source(source)
        self._apply(batch)
        if batch.records and self.caught_up:
            await anyio.sleep(clock.seconds(self._read_interval_ms))

    def _apply(self, batch):
        before = self.state.version
        if batch.snapshot is not None:
            self.state.adopt(batch.snapshot.state, batch.snapshot.as_of)
        else:
            self.state.begin(batch.first)
        for offset, record in batch.records:
            if offset >= self.state.next:
                self.state.apply(offset, record)
                self._recent.append(client.Entry(offset, record))
        if len(batch.records) < client.MAX_READ_RECORDS:
            self.caught_up = self.caught_up or self.state.known
        if self.state.version != before:
            _log.info("configuration active", version=self.state.version)
        if batch.records or batch.snapshot is not None:
            changed, self._changed = self._changed, anyio.Event()
            changed.set()

    def _pick_source(self):
        """Return the peer to read from, or ``None`` for the log itself."""
        if not self.log_reachable and self._last_source is None:
            # The last read from the log failed.  The missing records may
            # exist in another data centre only, so any peer may be read.
            candidates = self._members.urgent_peers(MAX_OUTAGE_PEERS)
            if candidates:
                return random.choice(candidates)
        peers = self._members.relays()
        if self._members.is_tailer() or not peers:
            return None
        return random.choice(peers)

    def _record_source(self, source):
        if source != self._last_source and source is None:
            _log.debug("reading from the log")
        self._last_source = source

    def _record_failure(self, exc):
        if self._last_source is None and self.log_reachable:
            _log.warning(
                "reading the log failed; trying peers", error=exc.message
            )
        if not self.state.known:
            _log.warning(
                "waiting for the log or a peer with state",
                error=exc.message,
            )
        self.log_reachable = False
        self._last_source = None
