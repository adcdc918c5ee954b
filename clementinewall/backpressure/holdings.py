"""What a process holds for peers that are slow to read, and its bounds.

Designed for callers that ask for much and read nothing, and for endpoints that
take large requests slowly, on instances with a few hundred megabytes.  What is
held for callers is keyed by the connection, so that closing it frees that.
"""

import contextlib

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics

_log = logs.PartLog("memory")

# Part of the memory limit of the process that answers may take which callers
# haven't read.
MEMORY_FRACTION = 1 / 8
BYTES_PER_MB = 1_000_000
# Smaller answers wait for no room: most are, and they add up to little.
MIN_RESERVED_BYTES = 65_536
# A caller that reads is not closed in favour of answers that wait for room.
# One lost packet delays what it reads by about half of this time.
PATIENCE_MS = 500
POLL_MS = 50
# Part of the memory limit that the bodies of open requests may take, and the
# part of that for those of one service.
BODIES_FRACTION = 1 / 6
SERVICE_FRACTION = 3 / 4
MIN_RETRY_MS = 500


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


class RequestBodies:
    """Counts the bodies of open requests by service, and refuses further ones.

    A body is kept until its request ends, since it may have to be sent again.
    Endpoints that read slowly keep many requests open, and nothing else tells
    callers to send less.
    """

    def __init__(self, memory_mb, now):
        """Bound by the memory limit of the process; 0 stands for no bound."""
        self._limit = memory_mb * BYTES_PER_MB * BODIES_FRACTION
        self._now = now
        # The times at which requests with a counted body began, by service.
        self._started_at_by_service = {}
        self._bytes_by_service = {}
        self.held_bytes = 0

    @contextlib.contextmanager
    def hold(self, service, size):
        """Count a body of ``size`` bytes while its request is served.

        A body that exceeds the bound by itself is held alone.

        :raises NoRoom: too much is held already; it says when to come again.
        """
        if not self._limit or size < MIN_RESERVED_BYTES:
            yield
            return
        self._check_room(service, size)
        started = self._started_at_by_service.setdefault(service, [])
        now = self._now()
        started.append(now)
        self._resize(service, size)
        try:
            yield
        finally:
            started.remove(now)
            self._resize(service, -size)

    def _check_room(self, service, size):
        held = self._bytes_by_service.get(service, 0)
        has_room = (
            not self.held_bytes or self.held_bytes + size <= self._limit
        ) and (not held or held + size <= SERVICE_FRACTION * self._limit)
        if has_room:
            return
        metrics.count("bodies_refused", service=service)
        raise errors.NoRoom(
            "bodies of other requests take the memory that they may",
            retry_after_ms=self._retry_ms(service),
        )

    def _retry_ms(self, service):
        """Return after how long a body may be the next to end.

        The age of the oldest one tells how long they take.
        """
        started = self._started_at_by_service.get(service)
        if not started:
            return MIN_RETRY_MS
        oldest_ms = self._now() - min(started)
        return max(MIN_RETRY_MS, oldest_ms / len(started))

    def _resize(self, service, change):
        self.held_bytes += change
        self._bytes_by_service[service] = (
            self._bytes_by_service.get(service, 0) + change
        )

    def report(self):
        """Set the gauge of what is held."""
        if self._limit:
            metrics.gauge("request_bytes_held", self.held_bytes)
