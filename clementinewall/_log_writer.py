"""Non-blocking writing of log lines to standard output.

With blocking writes, a stalled reader would block each request that logs.
Lines go into a bounded buffer and from there into the pipe, as far as it
accepts them without blocking.  When the buffer is full, lines are dropped and
counted, those of low importance first.
"""

import collections
import os
import select

# Lines beyond this are dropped while the reader of the output is slow.
BUFFER_BYTES = 1_000_000
# Part of the buffer that only warnings and errors may use: failures and
# changes of the fleet view.
RESERVED_BYTES = 250_000
# A pipe that polls as writable accepts this much without blocking (POSIX's
# PIPE_BUF on Linux).
CHUNK_BYTES = 4_096


class Writer:
    """Writes lines to a file descriptor without blocking."""

    def __init__(self, descriptor):
        """Write to ``descriptor``."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines = collections.deque()
        self._size = 0
        self.dropped = 0

    def add(self, line, important):
        """Buffer a line (bytes), or count it as dropped."""
        limit = BUFFER_BYTES
        if not important:
            limit -= RESERVED_BYTES
        if self._size + len(line) > limit:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        if self._size >= CHUNK_BYTES:
            self.flush()

    def flush(self):
        """Write what the descriptor accepts without blocking."""
        while self._lines and self._is_writable():
            chunk = self._next_chunk()
            written = os.write(self._descriptor, chunk)
            self._size -= written
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])

    def _next_chunk(self):
        parts = [self._lines.popleft()]
        size = len(parts[0])
        while self._lines and size + len(self._lines[0]) <= CHUNK_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        chunk = b"".join(parts)
        if len(chunk) > CHUNK_BYTES:
            self._lines.appendleft(chunk[CHUNK_BYTES:])
            chunk = chunk[:CHUNK_BYTES]
        return chunk

    def _is_writable(self):
        ready = self._poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)
