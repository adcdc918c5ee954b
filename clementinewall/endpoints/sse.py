"""Server-sent events with positions, forwarded once each and in order.

An engine numbers its events with ``id:`` from 1 on; the last event is
``data: [DONE]`` and is numbered too.  The numbers are absolute: an event
whose number was forwarded before is dropped, and one that would leave a gap
ends the stream at the last position without a gap.  Events are forwarded
as received, apart from CRLF, which becomes LF; only their number and end mark
are parsed.
"""

import typing

from clementinewall import errors

MAX_EVENT_BYTES = 1_000_000
DONE = b"[DONE]"


class Event(typing.NamedTuple):
    """One event: its bytes with the final blank line, position and data."""

    raw: bytes
    position: int | None
    data: bytes

    @property
    def is_last(self):
        """Whether this event ends the stream."""
        return self.data == DONE


class Splitter:
    """Splits a byte stream, received in any pieces, into events."""

    def __init__(self):
        """Start with an empty buffer."""
        self._incomplete = b""

    def feed(self, piece):
        """Return the events that ``piece`` completes.

        :raises EndpointFailed: the incomplete event has over
            ``MAX_EVENT_BYTES`` bytes.
        """
        data = self._incomplete + piece
        if b"\r" in data:
            # A CR whose LF is still to come stays in the incomplete event.
            data = data.replace(b"\r\n", b"\n")
        *blocks, self._incomplete = data.split(b"\n\n")
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise errors.EndpointFailed("an event exceeds the size limit")
        return [_parse(block) for block in blocks if block]


def _parse(block):
    position = None
    data = b""
    for line in block.split(b"\n"):
        if line.startswith(b"data:"):
            data = line[5:].strip()
        elif line.startswith(b"id:"):
            number = line[3:].strip()
            if number.isdigit() and len(number) < 18:
                position = int(number)
    return Event(block + b"\n\n", position, data)


class Sequence:
    """Accepts each position once and in order."""

    def __init__(self, delivered=0):
        """Start after the position ``delivered``."""
        self.delivered = delivered
        self.finished = False

    def accept(self, event):
        """Return whether to forward the event; ``False`` drops it.

        :raises StreamCut: the event would leave a gap.
        """
        if event.position is None or event.position <= self.delivered:
            return False
        if self.finished:
            return False
        if event.position != self.delivered + 1:
            raise errors.StreamCut(
                f"gap in the stream: position {event.position} follows "
                f"{self.delivered}"
            )
        self.delivered = event.position
        self.finished = event.is_last
        return True
