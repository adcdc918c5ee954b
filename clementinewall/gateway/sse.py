"""Events of a streamed answer, passed on whole and in order.

An engine may stop in the middle of an event, and after a change of engine
may repeat events that the caller has.  Only whole events with the next
position go on.
"""

_END = b"\n\n"
EVENT_BYTES = 1_000_000


class BadEvent(Exception):
    """The engine's bytes are no stream of events in order."""


class Events:
    """Cuts an answer into events and checks their positions."""

    def __init__(self, last):
        """Expect the event after ``last``; ``None`` takes any first one."""
        self.last = last
        self._rest = b""

    @property
    def is_whole(self):
        """Tell whether no part of an event is left over."""
        return not self._rest.strip()

    def restart(self):
        """Begin with the bytes of another engine."""
        self._rest = b""

    def feed(self, data):
        """Return the bytes of the whole new events in ``data``.

        :raises BadEvent: an event is missing or too long.
        """
        parts = (self._rest + data).split(_END)
        self._rest = parts.pop()
        if len(self._rest) > EVENT_BYTES:
            raise BadEvent(f"an event of over {EVENT_BYTES} bytes")
        fresh = [part + _END for part in parts if self._is_new(part)]
        return b"".join(fresh)

    def _is_new(self, event):
        position = _position(event)
        if position is None:
            return True
        if self.last is not None:
            if position <= self.last:
                return False
            if position > self.last + 1:
                raise BadEvent(f"event {position} follows {self.last}")
        self.last = position
        return True


def _position(event):
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            value = line[3:].strip()
            return int(value) if value.isdigit() else None
    return None
