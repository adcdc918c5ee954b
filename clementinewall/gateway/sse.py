"""Splits a stream of server-sent events and checks their order.

An engine may stop in the middle of an event, and a second engine that resumes
the stream may repeat events that the caller already has.  Only complete events
with the next position are forwarded.
"""

_END = b"\n\n"
MAX_EVENT_BYTES = 1_000_000
# Comments and events without a position between two that have one.
MAX_UNNUMBERED_BYTES = 65_536


class BadEvent(Exception):
    """The engine's bytes are not a stream of events in order."""


class Events:
    """Splits an answer into events and checks their positions."""

    def __init__(self, last):
        """Expect the event after ``last``; ``None`` accepts any first one."""
        self.last_position = last
        self._buffer = bytearray()
        # What is forwarded with the next event that has a position, so that
        # a stream without any is not taken for an answer.
        self._unnumbered = b""

    @property
    def is_complete(self):
        """Tell whether the bytes so far end with a complete event."""
        return not self._buffer.strip()

    def reset(self):
        """Drop what is incomplete before the bytes of another engine."""
        self._buffer = bytearray()
        self._unnumbered = b""

    def feed(self, data):
        """Return the bytes of the complete new events in ``data``.

        :raises BadEvent: an event is missing or too long, or too much comes
            without one.
        """
        # Only new bytes are searched: a long event comes in many pieces.
        start = max(0, len(self._buffer) + 1 - len(_END))
        self._buffer += data
        parts = []
        if self._buffer.find(_END, start) >= 0:
            parts = bytes(self._buffer).split(_END)
            self._buffer = bytearray(parts.pop())
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise BadEvent(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return b"".join([self._take(part) for part in parts])

    def take_rest(self):
        """Return what followed the last event of a whole answer."""
        rest, self._unnumbered = self._unnumbered, b""
        return rest

    def _take(self, part):
        """Return what is to be forwarded once ``part`` has come."""
        position = _position(part)
        if position is None:
            self._unnumbered += part + _END
            if len(self._unnumbered) > MAX_UNNUMBERED_BYTES:
                raise BadEvent(
                    f"{MAX_UNNUMBERED_BYTES} bytes without a numbered event"
                )
            return b""
        before = self.take_rest()
        return before + part + _END if self._is_new(position) else b""

    def _is_new(self, position):
        if self.last_position is not None:
            if position <= self.last_position:
                return False
            if position > self.last_position + 1:
                raise BadEvent(
                    f"event {position} follows event {self.last_position}"
                )
        self.last_position = position
        return True


def _position(event):
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
