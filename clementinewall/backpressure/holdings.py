"""What a process holds for peers that are slow to read, and its bounds.

Designed for callers that ask for much and read nothing, and for endpoints that
take large requests slowly, on instances with a few hundred megabytes.  What is
held for callers is keyed by the connection, so that closing it frees that.
"""

import contextlib

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.http1 import server
from clementinewall import logs
from clementinewall import metrics

_log = logs.PartLog("memory")

# Part of the memory limit of the process that answers may take which callers
# haven't read.
MEMORY_FRACTION = 1 / 4
BYTES_PER_MB = 1_000_000
# Part of that which whole answers may take.  The rest is for connections whose
# answers are passed on as they come.
WHOLE_FRACTION = 3 / 4
# Smaller answers and bodies need no room: most are, and they add up to little.
MIN_RESERVED_BYTES = 65_536
# An answer that may be asked for again, but names no length, is as long at
# most and gets all this room at once: if several grew step by step, each could
# wait for the others.
MAX_WHOLE_BYTES = 8_000_000
# How long such a request waits for room.
ROOM_WAIT_MS = 500
ROOM_POLL_MS = 20
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
        self._reserved_bytes = 0
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
        while self.held_bytes > self._limit and self._close_longest():
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
            self._resize(entry, reserved=0, unsent=0)

    def hold(self, connection, size):
        """Count ``size`` bytes of an answer that are held for a connection.

        Return whether there is room for them.  Without it, what was counted
        before stays counted, and the answer has to be passed on in parts.
        """
        if not self._limit:
            return True
        if size < MIN_RESERVED_BYTES:
            size = 0
        entry = self._entry_by_connection.get(connection)
        before = 0 if entry is None else entry.reserved
        after = self._reserved_bytes - before + size
        if size > before and after > WHOLE_FRACTION * self._limit:
            return False
        if entry is None and size:
            entry = self._entry_by_connection[connection] = _Entry()
        if entry is not None:
            self._resize(entry, reserved=size)
        return True

    def _resize(self, entry, **change):
        self.held_bytes -= entry.size
        self._reserved_bytes -= entry.reserved
        for name, value in change.items():
            setattr(entry, name, value)
        self.held_bytes += entry.size
        self._reserved_bytes += entry.reserved

    def _close_longest(self):
        """Close the connection that has waited longest for its peer.

        Return whether there was one that waited.
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
        held_for_it = entry.size
        held_bytes = self.held_bytes
        self.forget(connection)
        metrics.count("callers_closed_for_memory")
        _log.warning(
            "caller does not read; closing its connection",
            waited_ms=now - since,
            held_for_it=held_for_it,
            held_for_all=held_bytes,
        )
        with contextlib.suppress(OSError):
            connection.abort()
        return True


class TooLong(Exception):
    """An answer whose length is not known is too long to be kept."""


class HeldAnswer:
    """An answer to a caller, kept whole if there is room for that.

    An answer is kept until it is complete, so that a request whose endpoint
    breaks off can be sent again.  One that finds no room is passed on as it
    comes: then the endpoint is read only as fast as the caller reads.
    """

    def __init__(self, connection, head, length, may_send_again):
        """Answer on ``connection``, with a body of ``length`` bytes.

        ``length`` is ``None`` if the endpoint did not name it.  With
        ``may_send_again``, the answer waits a little for room.
        """
        self._connection = connection
        self._head = head
        self._length = length
        self._may_send_again = may_send_again
        self._parts = []
        self._size = 0
        self._is_passed_on = False
        # What is kept of the answer to an earlier attempt is not needed.
        connection.forget_answer()

    async def add(self, part):
        """Add the next bytes of the body.

        :raises TooLong: it has no known length and is too long.  Nothing of
            it has been sent.
        :raises CallerDisconnected: the caller is gone.
        """
        if self._is_passed_on:
            await self._connection.send_body(part)
            return
        self._parts.append(part)
        self._size += len(part)
        if not await self._has_room():
            await self._pass_on()

    async def finish(self):
        """Send what has not been passed on, and the end of the answer.

        :raises CallerDisconnected: the caller is gone.
        """
        if not self._is_passed_on:
            if self._size <= server.MAX_WRITE_BYTES:
                body = b"".join(self._parts)
                await self._connection.answer(self._head, body)
                return
            self._length = self._size
            await self._pass_on()
        await self._connection.finish()

    async def _has_room(self):
        size = self._size if self._length is None else self._length
        if not self._may_send_again:
            return self._connection.hold_answer(size)
        if self._length is None and size >= MIN_RESERVED_BYTES:
            if size > MAX_WHOLE_BYTES:
                raise TooLong
            size = MAX_WHOLE_BYTES
        for _ in range(ROOM_WAIT_MS // ROOM_POLL_MS):
            if self._connection.hold_answer(size):
                return True
            await anyio.sleep(clock.seconds(ROOM_POLL_MS))
        return False

    async def _pass_on(self):
        """Send the head and what is kept of the body."""
        self._is_passed_on = True
        # Perhaps less than there was room for.
        self._connection.hold_answer(self._size)
        await self._connection.send_head(self._head, self._length)
        self._parts.reverse()
        while self._parts:
            part = self._parts.pop()
            await self._connection.send_body(part)
            self._size -= len(part)
            self._connection.hold_answer(self._size)


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
