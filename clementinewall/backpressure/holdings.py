"""What a process holds for callers that don't read, and its bound.

Designed for callers that ask for much and read nothing, on instances with a
few hundred megabytes.  Everything is keyed by the caller's connection, so that
closing it frees what is held for it.
"""

import contextlib

import anyio

from clementinewall import clock
from clementinewall import logs
from clementinewall import metrics

_log = logs.PartLog("memory")

# Part of the memory limit of the process that may be held for callers.
MEMORY_FRACTION = 1 / 8
BYTES_PER_MB = 1_000_000
# Smaller answers wait for no room: most are, and they add up to little.
MIN_RESERVED_BYTES = 65_536
# A caller that reads is not closed in favour of answers that wait for room.
# One lost packet delays what it reads by about half of this time.
PATIENCE_MS = 500
POLL_MS = 50


class _Entry:
    """What is held for one connection."""

    def __init__(self):
        """Start with nothing."""
        self.reserved = 0
        # Unsent bytes and the time of the last progress, while the connection
        # takes no more bytes.
        self.unsent = 0
        self.unsent_in_system = 0
        self.waits_since = None

    @property
    def size(self):
        """Return the bytes held; those of a reserved answer count once."""
        return self.reserved or self.unsent


class Holdings:
    """Counts what is held, and closes connections beyond the bound.

    A connection has ``unsent_bytes``, the bytes that the system has not
    accepted yet, and ``abort()``.
    """

    def __init__(self, memory_mb, now):
        """Bound by the memory limit of the process; 0 stands for no bound."""
        self._limit = memory_mb * BYTES_PER_MB * MEMORY_FRACTION
        self._now = now
        self._entry_by_connection = {}
        self.held_bytes = 0

    def begin_wait(self, connection, more_bytes):
        """Count a connection that waits for its peer to read or to send.

        ``more_bytes`` are held for it beside its unsent ones.
        """
        if not self._limit:
            return
        entry = self._entry_by_connection.setdefault(connection, _Entry())
        entry.waits_since = self._now()
        entry.unsent_in_system = connection.unsent_bytes
        before = self.held_bytes
        self._resize(entry, unsent=entry.unsent_in_system + more_bytes)
        if self.held_bytes <= before:
            # An answer that was reserved, perhaps one that exceeds the bound.
            return
        while self.held_bytes > self._limit and self._close_longest(0):
            pass

    def end_wait(self, connection):
        """Count only what is reserved for a connection: its peer is done."""
        entry = self._entry_by_connection.get(connection)
        if entry is not None:
            entry.waits_since = None
            self._resize(entry, unsent=0)
            if not entry.reserved:
                del self._entry_by_connection[connection]

    def report(self):
        """Set the gauge of what is held."""
        if self._limit:
            metrics.gauge("caller_bytes_held", self.held_bytes)

    def forget(self, connection):
        """Count nothing more of a connection, whose request has ended."""
        entry = self._entry_by_connection.pop(connection, None)
        if entry is not None:
            self.held_bytes -= entry.size

    async def reserve(self, connection, size, on_wait=lambda: None):
        """Wait until an answer of ``size`` bytes may be held.

        ``on_wait()`` is called now and then meanwhile.  An answer that exceeds
        the bound by itself is held alone.
        """
        # The answer of an earlier attempt is given up.
        self.forget(connection)
        if not self._limit or size < MIN_RESERVED_BYTES:
            return
        while self.held_bytes and self.held_bytes + size > self._limit:
            if not self._close_longest(PATIENCE_MS):
                on_wait()
                await anyio.sleep(clock.seconds(POLL_MS))
        entry = self._entry_by_connection.setdefault(connection, _Entry())
        self._resize(entry, reserved=size)

    def _resize(self, entry, **change):
        self.held_bytes -= entry.size
        for name, value in change.items():
            setattr(entry, name, value)
        self.held_bytes += entry.size

    def _close_longest(self, min_wait_ms):
        """Close the connection that has waited longest for its peer.

        Return whether there was one that waited for ``min_wait_ms``.
        """
        now = self._now()
        waiting = []
        for connection, entry in self._entry_by_connection.items():
            if entry.waits_since is None:
                continue
            # The system takes bytes without a call until all are sent.
            left = connection.unsent_bytes
            if left < entry.unsent_in_system:
                taken = entry.unsent_in_system - left
                entry.unsent_in_system = left
                entry.waits_since = now
                self._resize(entry, unsent=max(0, entry.unsent - taken))
            waiting.append((entry.waits_since, connection, entry))
        if not waiting:
            return False
        since, connection, entry = min(waiting, key=lambda row: row[0])
        if now - since < min_wait_ms:
            return False
        held_bytes = self.held_bytes
        self.forget(connection)
        metrics.count("callers_closed_for_memory")
        _log.warning(
            "caller does not read; closing its connection",
            waited_ms=now - since,
            held_for_it=entry.size,
            held_for_all=held_bytes,
        )
        with contextlib.suppress(OSError):
            connection.abort()
        return True
