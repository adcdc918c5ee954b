"""Pooled connections to endpoints that track the progress of each request.

A :class:`Link` is one connection, used by one task at a time.  A
:class:`Pool` holds the idle links to one peer.  An idle link is discarded if
it receives any byte or its end before it is used again: bytes after a
complete answer belong to no request, and a request sent on a closing
connection may or may not have run.
"""

import math
import select
import socket

import anyio
import h11

from clementinewall import clock
from clementinewall.http1 import messages
from clementinewall.http1 import stream as streams
from clementinewall import verdicts

MAX_HEAD_BYTES = 65_536
# Larger requests are written in parts, so that no second copy is held while
# the peer reads them.
MAX_WRITE_BYTES = 65_536
# Each interim answer (1xx) resets the time limit of the next read.
MAX_INTERIM_ANSWERS = 8
MAX_STATUS = 599
# A connection ends when sent data stays unacknowledged for this time.  A peer
# that lost power sends no reset, and the operating system's default is about
# 15 minutes.
UNACKNOWLEDGED_MS = 3_000
# An idle connection is discarded this long before its peer may close it, to
# allow for network delay and late timers.
IDLE_MARGIN_MS = 400
# For peers that send no keep-alive timeout: they close idle connections
# within about a second.
DEFAULT_IDLE_MS = 500


class LinkBroken(Exception):
    """The exchange failed; ``progress`` is a ``verdicts.Progress``.

    ``absent`` is true if nothing listens at the address.
    """

    def __init__(self, progress, why, absent=False):
        """Keep the progress of the exchange and the reason of its failure."""
        super().__init__(why)
        self.progress = progress
        self.why = why
        self.absent = absent


class Link:
    """One connection to a peer, for one exchange at a time."""

    def __init__(self, stream, now):
        """Own ``stream``, opened at ``now`` (milliseconds)."""
        self.stream = stream
        self._h11 = _new_h11()
        self._sent_request = None
        self._unsent_body = memoryview(b"")
        self._idle_ms = DEFAULT_IDLE_MS
        self._closes_after_answer = False
        self.progress = verdicts.Progress.NOTHING_SENT
        self.idle_until = now
        self.is_new = True

    async def send(self, request, limit_ms=None):
        """Send a complete request.

        :raises LinkBroken: the connection was reset, or the request has a
            header that can't be sent.
        :raises TimeoutError: the system did not accept all its bytes within
            ``limit_ms``.
        """
        headers = list(request.headers)
        if request.body or request.method not in (b"GET", b"DELETE"):
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        try:
            self._sent_request = h11.Request(
                method=request.method, target=request.target, headers=headers
            )
            data = self._h11.send(self._sent_request)
        except h11.LocalProtocolError as exc:
            raise self._broken(f"the request can't be encoded: {exc}") from exc
        self._unsent_body = memoryview(request.body)
        data += self._next_part()
        self.progress = verdicts.Progress.SENT_IN_PART
        await self._send_all(self.stream.send, data, limit_ms=limit_ms)

    async def finish_sending(self, limit_ms=None):
        """Go on with a :meth:`send` that timed out.

        :raises LinkBroken: the connection was reset.
        :raises TimeoutError: as for :meth:`send`.
        """
        await self._send_all(self.stream.flush, limit_ms=limit_ms)

    def _next_part(self):
        """Return the next bytes to send of the body, and of its end.

        What the peer has not taken of a part is held a second time.
        """
        part = self._unsent_body[:MAX_WRITE_BYTES]
        self._unsent_body = self._unsent_body[MAX_WRITE_BYTES:]
        data = self._h11.send(h11.Data(data=bytes(part)))
        if not self._unsent_body:
            data += self._h11.send(h11.EndOfMessage()) or b""
        return data

    async def _send_all(self, operation, *args, limit_ms):
        """Run an operation of the stream, then send the rest of the body."""
        end = math.inf
        if limit_ms is not None:
            end = anyio.current_time() + clock.seconds(limit_ms)
        try:
            await operation(*args, limit_ms)
            while self._unsent_body:
                if end < math.inf:
                    limit_ms = 1_000 * (end - anyio.current_time())
                    if limit_ms <= 0:
                        raise TimeoutError
                await self.stream.send(self._next_part(), limit_ms)
        except anyio.BrokenResourceError as exc:
            raise self._broken(
                "connection reset while sending the request"
            ) from exc
        self.progress = verdicts.Progress.SENT_WHOLE

    async def read_head(self, limit_ms=None):
        """Return the head of the next final answer.

        :raises LinkBroken: the connection ended without one.
        :raises TimeoutError: nothing was received for ``limit_ms``.
        """
        for _ in range(1 + MAX_INTERIM_ANSWERS):
            event = await self._next_event(limit_ms)
            if isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise self._broken(f"invalid status {event.status_code}")
                head = messages.Head(
                    event.status_code,
                    event.reason,
                    tuple(event.headers.raw_items()),
                )
                self._apply_keep_alive(head)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise self._broken("connection closed without an answer")
        raise self._broken("interim answers and no final one")

    async def read_part(self, limit_ms=None):
        """Return the next part of the body, or ``None`` once it is complete.

        :raises LinkBroken: the connection ended within the body.
        :raises TimeoutError: nothing was received for ``limit_ms``.
        """
        event = await self._next_event(limit_ms)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise self._broken("connection closed within the answer")

    async def read_rest(self, max_bytes):
        """Return the rest of the body, of ``max_bytes`` bytes at most.

        :raises LinkBroken: the body was truncated or is longer.
        """
        parts = []
        size = 0
        part = await self.read_part()
        while part is not None:
            size += len(part)
            if size > max_bytes:
                raise self._broken(
                    f"the answer's body is over {max_bytes} bytes"
                )
            parts.append(part)
            part = await self.read_part()
        return b"".join(parts)

    async def skip_rest(self, max_bytes):
        """Read the rest of the body without keeping it.

        :raises LinkBroken: the body was truncated or is longer than
            ``max_bytes``.
        """
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > max_bytes:
                raise self._broken(
                    f"the answer's body is over {max_bytes} bytes"
                )

    def expect_another(self):
        """Prepare to read another answer to the request that was sent.

        An endpoint may send a late second answer to an earlier request in
        place of the answer to this one.  ``h11`` would treat the answer after
        it as a protocol error, so a new parser gets the unread bytes.
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
                raise self._broken(f"invalid HTTP answer: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event
            try:
                data = await self.stream.receive(limit_ms)
                if not data and self._h11.their_state is h11.SEND_BODY:
                    # Perhaps the end of a body without a length.
                    await self.stream.confirm_end()
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
                seconds = messages.parse_integer(value, 0)
                self._idle_ms = seconds * 1_000 - IDLE_MARGIN_MS

    def _broken(self, why):
        return LinkBroken(self.progress, why)

    def prepare_reuse(self, now):
        """Prepare for the next request; return whether that is possible."""
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
        """Tell whether nothing was received since the last complete answer."""
        if not self.stream.is_idle:
            return False
        # Checks for data that the event loop has not read from the socket yet.
        poll = select.poll()
        poll.register(self.stream.raw_socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self):
        """Reset the connection; the endpoint then drops the request.

        Unsent bytes of a request or an order must not reach the peer after
        the request was abandoned.
        """
        self.stream.abort()


class DirectPath:
    """Connects to an address; the default path of a :class:`Pool`."""

    def __init__(self, address, connect_ms):
        """Wait for a connection to ``address`` for ``connect_ms``."""
        self._address = address
        self._connect_ms = connect_ms

    async def connect(self):
        """Return a stream.

        :raises OSError, TimeoutError: the connection failed.
        """
        return await streams.connect(self._address, self._connect_ms)

    async def connect_directly(self):
        """Return a stream, as :meth:`connect`."""
        return await self.connect()

    def is_current(self, _stream):
        """Tell whether new requests may use an open stream."""
        return True


class Pool:
    """The idle links to one peer; the most recently used is reused first."""

    def __init__(self, path, now):
        """Pool links of streams that ``path`` connects.

        ``path`` has the interface of :class:`DirectPath`; ``now`` returns the
        time in milliseconds.
        """
        self._path = path
        self._now = now
        self._idle = []
        self.open_links = 0

    async def acquire(self):
        """Return an idle link, or a new one.

        :raises LinkBroken: the connection could not be established.
        """
        while self._idle:
            link = self._idle.pop()
            if (
                link.idle_until > self._now()
                and self._path.is_current(link.stream)
                and link.is_idle()
            ):
                return link
            self.discard(link)
        return await self.connect()

    async def connect(self):
        """Return a new link.

        :raises LinkBroken: the connection could not be established.
        """
        return await self._open_link(self._path.connect)

    async def connect_directly(self):
        """Return a new link that no other gateway carries.

        :raises LinkBroken: the connection could not be established.
        """
        return await self._open_link(self._path.connect_directly)

    async def _open_link(self, open_stream):
        self.open_links += 1
        try:
            stream = await open_stream()
            # Fails if the connection was reset meanwhile.
            stream.raw_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )
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
        return Link(stream, self._now())

    async def send_request(self, request, max_bytes, fresh=False):
        """Send a request and return the head and body of its answer.

        ``fresh`` uses a new direct connection and closes it afterwards.

        :raises LinkBroken: the exchange failed, or the body is over
            ``max_bytes`` bytes.
        """
        link = await (self.connect_directly() if fresh else self.acquire())
        return await self.exchange(link, request, max_bytes, fresh)

    async def exchange(
        self,
        link,
        request,
        max_bytes,
        fresh=False,
        on_head=None,
        may_reuse=lambda head: True,
    ):
        """Send a request on an acquired link; as :meth:`send_request`.

        ``on_head`` is called with the head before the body is read, and
        ``may_reuse(head)`` tells whether the link may serve another request.
        """
        try:
            await link.send(request)
            head = await link.read_head()
            if on_head is not None:
                on_head(head)
            body = await link.read_rest(max_bytes)
        except BaseException:
            self.discard(link)
            raise
        if fresh or not may_reuse(head):
            self.discard(link)
        else:
            self.release(link)
        return head, body

    def release(self, link):
        """Return a link to the pool, or close it if it can't be reused."""
        if self._path.is_current(link.stream) and link.prepare_reuse(
            self._now()
        ):
            self._idle.append(link)
        else:
            self.discard(link)

    def discard(self, link):
        """Close a link and remove it from the count of open ones."""
        self.open_links -= 1
        link.close()

    def close(self):
        """Close all idle links."""
        while self._idle:
            self.discard(self._idle.pop())

    def prune(self):
        """Close the idle links that new requests may not use any more."""
        now = self._now()
        kept = []
        for link in self._idle:
            is_kept = link.idle_until > now
            if is_kept and self._path.is_current(link.stream):
                kept.append(link)
            else:
                self.discard(link)
        self._idle = kept


def _new_h11():
    return h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
