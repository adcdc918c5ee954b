"""The task that writes snapshots of the control stream.

The log keeps records for a limited time.  One steward, the holder of the
snapshot scope, writes the current state back into the stream well before
they expire, so that a process that starts later finds it.  Snapshots by two
holders do no harm: each is the state of the stream at its own offset.
"""

import secrets

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall.records import control
from clementinewall.steward import scopes

_log = logs.PartLog("snap")

CHECK_INTERVAL_MS = 1_000
# Two snapshots in a row may fail before the log drops the last one.
SNAPSHOTS_PER_RETENTION = 3
MAX_RECORDS_BETWEEN_SNAPSHOTS = 2_000


class SnapshotWriter:
    """Writes snapshots while this process holds their scope."""

    def __init__(self, node, lease_manager):
        """Use the node's log and state; ``lease_manager`` holds the scope."""
        self._node = node
        self._lease_manager = lease_manager
        self._last_snapshot_at = control.NO_OFFSET
        self._last_snapshot_seen_at = node.clock.now()

    async def run(self):
        """Write snapshots when they are due, until cancelled."""
        while True:
            await anyio.sleep(clock.seconds(CHECK_INTERVAL_MS))
            if self._is_due() and self._lease_manager.holds(scopes.SNAPSHOTS):
                await self._write()

    def _is_due(self):
        state = self._node.tail.state
        now = self._node.clock.now()
        if state.snapshot_at != self._last_snapshot_at:
            self._last_snapshot_at = state.snapshot_at
            self._last_snapshot_seen_at = now
        if not state.known:
            return False
        retention = self._node.settings.platform.retention_ms
        is_old = (
            now - self._last_snapshot_seen_at
            > retention / SNAPSHOTS_PER_RETENTION
        )
        return (
            is_old
            or state.next - state.snapshot_at > MAX_RECORDS_BETWEEN_SNAPSHOTS
        )

    async def _write(self):
        state = self._node.tail.state
        record = control.Snapshot(
            secrets.token_hex(8), state.next - 1, state.dump()
        )
        try:
            await self._node.log.append(control.STREAM, record)
        except errors.ClementinewallError as exc:
            _log.warning(
                "snapshot not confirmed; retrying when due", error=exc.message
            )
            return
        _log.info("wrote a snapshot", as_of=record.as_of)
