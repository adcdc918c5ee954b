"""Writing log lines to standard output without ever waiting for it.

A reader that stalls would block each request behind its log line.  Lines go
into a bounded buffer and from there into the pipe only as far as it takes
them at once.  When the buffer is full, lines are dropped and counted, the
ordinary ones first.
"""

import collections
import os
import select

# Lines that wait for a slow reader of the output; the rest is dropped.
BUFFER_BYTES = 1_000_000
# Ordinary lines leave this much for failures and changes of belief.
KEPT_FOR_IMPORTANT = 250_000
# A pipe that is ready to be written takes so much without blocking (POSIX).
PIECE_BYTES = 4_096


class Writer:
    """Writes lines to a file descriptor as far as it takes them."""

    def __init__(self, descriptor):
        """Write to ``descriptor``."""
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._lines = collections.deque()
        self._size = 0
        self.dropped = 0

    def add(self, line, important):
        """Take a line, or count it as dropped."""
        limit = BUFFER_BYTES
        if not important:
            limit -= KEPT_FOR_IMPORTANT
        if self._size + len(line) > limit:
            self.dropped += 1
            return
        self._lines.append(line)
        self._size += len(line)
        if self._size >= PIECE_BYTES:
            self.flush()

    def flush(self):
        """Write what can be written now."""
        while self._lines and self._is_writable():
            piece = self._next_piece()
            done = os.write(self._descriptor, piece)
            self._size -= done
            if done < len(piece):
                self._lines.appendleft(piece[done:])

    def _next_piece(self):
        parts = [self._lines.popleft()]
        size = len(parts[0])
        while self._lines and size + len(self._lines[0]) <= PIECE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        piece = b"".join(parts)
        if len(piece) > PIECE_BYTES:
            self._lines.appendleft(piece[PIECE_BYTES:])
            piece = piece[:PIECE_BYTES]
        return piece

    def _is_writable(self):
        ready = self._poll.poll(0)
        return bool(ready) and bool(ready[0][1] & select.POLLOUT)
