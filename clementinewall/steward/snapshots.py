"""The task that writes snapshots of the control stream.

The log keeps records for a limited time.  One steward, the holder of the
snapshot scope, writes the folded state back into the stream well before
that, so that a process that starts later finds it.  Two snapshots by two
holders do no harm: each is the fold of the stream up to its own offset.
"""

import secrets

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall.records import control
from clementinewall.steward import scopes

_log = logs.PartLog("snap")

ROUND_MS = 1_000
# A snapshot three times within the retention: two may fail in a row.
SHARE_OF_RETENTION = 3
RECORDS_LIMIT = 2_000


class Snapshots:
    """Writes snapshots while this process holds their scope."""

    def __init__(self, node, lease_manager):
        """Use the node's log and state, and its leases."""
        self._node = node
        self._lease_manager = lease_manager
        self._seen = control.NO_OFFSET
        self._seen_at = node.clock.now()

    async def run(self):
        """Write snapshots for ever."""
        while True:
            await anyio.sleep(clock.seconds(ROUND_MS))
            if self._is_due() and self._lease_manager.holds(scopes.SNAPSHOTS):
                await self._write()

    def _is_due(self):
        state = self._node.tail.state
        now = self._node.clock.now()
        if state.snapshot_at != self._seen:
            self._seen = state.snapshot_at
            self._seen_at = now
        if not state.known:
            return False
        retention = self._node.settings.platform.retention_ms
        is_old = now - self._seen_at > retention / SHARE_OF_RETENTION
        return is_old or state.next - state.snapshot_at > RECORDS_LIMIT

    async def _write(self):
        state = self._node.tail.state
        record = control.Snapshot(
            secrets.token_hex(8), state.next - 1, state.dump()
        )
        try:
            await self._node.log.append(control.STREAM, record)
        except errors.ClementinewallError as exc:
            _log.warning("a snapshot is unsure", error=exc.message)
            return
        _log.info("wrote a snapshot", as_of=record.as_of)
