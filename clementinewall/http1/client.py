"""Connections to endpoints, kept for reuse, with how far each send came.

A :class:`Link` is one connection; its owner is the task that holds it.  A
:class:`Pool` keeps the idle ones of one peer.  An idle link that shows any
byte or its end before it is used again is thrown away: bytes that come
after a whole answer belong to no request, and a request written into a
closing connection may or may not have run.
"""

import select
import socket

import anyio
import h11

from clementinewall.http1 import messages
from clementinewall.http1 import stream as streams
from clementinewall import verdicts

MAX_HEAD_BYTES = 65_536
# Packets that the peer doesn't confirm for so long end the connection: a
# peer without power sends no reset, and the default of the operating system
# is a quarter of an hour.
UNACKNOWLEDGED_MS = 3_000
# The margin by which a kept connection is given up before its peer may
# close it; covers the way there and a late timer.
IDLE_MARGIN_MS = 400
# A peer that names no timeout for kept connections closes them within a
# second or so.
DEFAULT_IDLE_MS = 500


class LinkBroken(Exception):
    """The exchange ended early; ``progress`` says how far it had come.

    ``absent`` tells that nothing listens at the address.
    """

    def __init__(self, progress, why, absent=False):
        """Keep how far the exchange had come."""
        super().__init__(why)
        self.progress = progress
        self.why = why
        self.absent = absent


class Link:
    """One connection to a peer, for one exchange at a time."""

    def __init__(self, stream, now):
        """Own ``stream``, opened at ``now``."""
        self._stream = stream
        self._h11 = _new_h11()
        self._sent_request = None
        self._idle_ms = DEFAULT_IDLE_MS
        self._closes_after_answer = False
        self.progress = verdicts.Progress.NOTHING_SENT
        self.idle_until = now
        self.is_new = True

    async def send(self, request, limit_ms=None):
        """Write a whole request.

        :raises LinkBroken: it could not be written.
        :raises TimeoutError: it wasn't taken within ``limit_ms``.
        """
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"DELETE"):
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        self._sent_request = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        data = self._h11.send(self._sent_request)
        if request.body:
            data += self._h11.send(h11.Data(data=request.body))
        data += self._h11.send(h11.EndOfMessage()) or b""
        self.progress = verdicts.Progress.SENT_IN_PART
        try:
            await self._stream.send(data, limit_ms)
        except anyio.BrokenResourceError as exc:
            raise self._broken("reset while sending") from exc
        self.progress = verdicts.Progress.SENT_WHOLE

    async def read_head(self, limit_ms=None):
        """Return the head of the next answer.

        :raises LinkBroken: there came none.
        :raises TimeoutError: nothing came for ``limit_ms``.
        """
        while True:
            event = await self._next_event(limit_ms)
            if isinstance(event, h11.Response):
                head = messages.Head(
                    event.status_code,
                    event.reason,
                    tuple(event.headers.raw_items()),
                )
                self._apply_keep_alive(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken("closed without an answer")

    async def read_part(self, limit_ms=None):
        """Return the next part of the body, or ``None`` at its whole end.

        :raises LinkBroken: it ended early.
        :raises TimeoutError: nothing came for ``limit_ms``.
        """
        event = await self._next_event(limit_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise self._broken("closed within the answer")

    async def read_rest(self, max_bytes):
        """Return the rest of the body, of ``max_bytes`` bytes at most.

        :raises LinkBroken: it ended early or is too long.
        """
        parts = []
        size = 0
        part = await self.read_part()
        while part is not None:
            size += len(part)
            if size > max_bytes:
                raise self._broken(f"the answer is over {max_bytes} bytes")
            parts.append(part)
            part = await self.read_part()
        return b"".join(parts)

    def expect_another(self):
        """Wait for a further answer to the request that was sent.

        Endpoints at times send a second, late answer to an earlier request
        where the answer to this one is due.  ``h11`` would take it for a
        breach of protocol, so the parser is set up anew with the bytes that
        are left.
        """
        rest, closed = self._h11.trailing_data
        self._h11 = _new_h11()
        self._h11.send(self._sent_request)
        if rest:
            self._h11.receive_data(bytes(rest))
        if closed:
            self._h11.receive_data(b"")
        self._closes_after_answer = True

    async def _next_event(self, limit_ms):
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._broken(f"not HTTP: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self._stream.receive(limit_ms)
            except anyio.BrokenResourceError as exc:
                raise self._broken("reset by the peer") from exc
            self._h11.receive_data(data)

    def _apply_keep_alive(self, head):
        keep_alive = head.header(b"keep-alive")
        if keep_alive is None:
            return
        for part in keep_alive.split(b","):
            name, _, value = part.partition(b"=")
            if name.strip().lower() == b"timeout":
                seconds = messages.whole_number(value, 0)
                self._idle_ms = seconds * 1_000 - IDLE_MARGIN_MS

    def _broken(self, why):
        return LinkBroken(self.progress, why)

    def prepare_reuse(self, now):
        """Get ready for another request; return whether that is possible."""
        done = (
            self._h11.our_state is h11.DONE
            and self._h11.their_state is h11.DONE
        )
        if not done or self._closes_after_answer or self._h11.trailing_data[0]:
            return False
        self._h11.start_next_cycle()
        self.progress = verdicts.Progress.NOTHING_SENT
        self.idle_until = now + self._idle_ms
        self.is_new = False
        return self._idle_ms > 0

    def is_idle(self):
        """Tell whether nothing has come since the last whole answer."""
        if not self._stream.is_idle:
            return False
        # What has arrived but wasn't read by the event loop yet.
        poll = select.poll()
        poll.register(self._stream.raw_socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self):
        """Close at once; the endpoint then drops the request.

        Bytes of an order or a request that the peer hasn't taken yet must
        not arrive after it was given up.
        """
        self._stream.abort()


class Pool:
    """The idle links to one peer, last used first."""

    def __init__(self, address, now, connect_ms):
        """Keep links to ``address`` (``IP:port``)."""
        self.address = address
        self._now = now
        self._connect_ms = connect_ms
        self._idle = []
        self.open_links = 0

    async def acquire(self):
        """Return a kept link, or a new one.

        :raises LinkBroken: no connection could be made.
        """
        while self._idle:
            link = self._idle.pop()
            if link.idle_until > self._now() and link.is_idle():
                return link
            self.discard(link)
        return await self.connect()

    async def connect(self):
        """Return a new link.

        :raises LinkBroken: no connection could be made.
        """
        self.open_links += 1
        try:
            stream = await streams.connect(self.address, self._connect_ms)
        except (OSError, TimeoutError) as exc:
            self.open_links -= 1
            raise LinkBroken(
                verdicts.Progress.NEVER_CONNECTED,
                f"no connection: {exc!r}",
                isinstance(exc, ConnectionRefusedError),
            ) from exc
        except BaseException:
            self.open_links -= 1
            raise
        stream.raw_socket.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
        )
        return Link(stream, self._now())

    async def send_request(self, request, max_bytes, fresh=False):
        """Send a request and return head and body of its answer.

        ``fresh`` takes a new connection that is closed afterwards.

        :raises LinkBroken: it broke, or the body is over ``max_bytes`` bytes.
        """
        link = await (self.connect() if fresh else self.acquire())
        try:
            await link.send(request)
            head = await link.read_head()
            body = await link.read_rest(max_bytes)
        except BaseException:
            self.discard(link)
            raise
        if fresh:
            self.discard(link)
        else:
            self.release(link)
        return head, body

    def release(self, link):
        """Keep a link whose exchange is over, if it can be used again."""
        if link.prepare_reuse(self._now()):
            self._idle.append(link)
        else:
            self.discard(link)

    def discard(self, link):
        """Close a link."""
        self.open_links -= 1
        link.close()

    def close(self):
        """Close all idle links."""
        while self._idle:
            self.discard(self._idle.pop())

    def prune(self):
        """Close the links whose time to be kept is over."""
        now = self._now()
        expired = [link for link in self._idle if link.idle_until <= now]
        self._idle = [link for link in self._idle if link.idle_until > now]
        for link in expired:
            self.discard(link)


def _new_h11():
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
