"""A caller's connection: reads requests and sends answers.

The task that serves the connection owns it.  Reading continues while a
request is served, for two reasons: a caller's disconnection is noticed at
once, so that its work can be cancelled, and bytes of its next request are
buffered.
"""

import typing

import anyio
import h11

from clementinewall import clock
from clementinewall.http1 import messages
from clementinewall.http1 import stream as streams

# Larger requests count as held while they come.
MAX_WRITE_BYTES = 65_536
# What is read ahead of a streamed answer: by its connection and its parser.
STREAM_HELD_BYTES = 2 * streams.MAX_READ_AHEAD_BYTES

CONTINUE = h11.InformationalResponse(status_code=100, headers=[])


class Limits(typing.NamedTuple):
    """Limits on the size of a caller's request and on the time to send it."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: clock.Millis = 3_000
    idle_timeout_ms: clock.Millis = 15_000


class Refused(Exception):
    """The request is invalid, too large or too late; ``status`` says which."""

    def __init__(self, status, why):
        """Keep the status to answer with and the reason."""
        super().__init__(why)
        self.status = status
        self.why = why


class CallerDisconnected(Exception):
    """The caller closed the connection."""


class Connection:
    """A caller's connection."""

    def __init__(self, stream, limits):
        """Read from and write to ``stream``.

        ``limits`` returns the limits in force.  They apply to a request from
        its first byte on.
        """
        self._stream = stream
        self._limits_in_force = limits
        self._limits = limits()
        self._h11 = _new_h11(self._limits)
        self._closing = False
        self._closes_after_answer = False
        self._is_head_request = False
        self.answer_started = False

    @property
    def is_idle(self):
        """Tell whether no byte of a next request was received."""
        return (
            self._h11.their_state is h11.IDLE
            and not self._h11.trailing_data[0]
        )

    @property
    def caller_ip(self):
        """Return the address at the other end, or ``None`` if unknown."""
        return self._stream.remote_ip

    def close_after_answer(self):
        """Close the connection after the next answer."""
        self._closing = True

    def close(self):
        """Close the connection, abruptly if bytes are left to send."""
        self._stream.close()

    def stop_reading(self):
        """Stop waiting for a request, or for the rest of one."""
        self._closing = True
        self._stream.stop_waiting()

    async def read_request(self):
        """Return the next request, or ``None`` if there is no further one.

        :raises Refused: the request is invalid, too large or too late.
        """
        try:
            head = await self._read_head()
            if head is None:
                return None
            self._is_head_request = head.method == b"HEAD"
            body = await self._read_body()
        except h11.RemoteProtocolError as exc:
            raise Refused(exc.error_status_hint, str(exc)) from exc
        except anyio.BrokenResourceError:
            return None
        return messages.Request(
            head.method, head.target, tuple(head.headers.raw_items()), body
        )

    async def _read_head(self):
        """Read a head.

        The idle timeout applies until its first byte, then the header
        timeout.
        """
        self._apply_limits()
        event = self._h11.next_event()
        while event is h11.NEED_DATA:
            try:
                if self.is_idle:
                    await self._receive_first()
                else:
                    await self._receive(self._limits.header_timeout_ms)
            except TimeoutError as exc:
                if self.is_idle:
                    return None
                raise Refused(
                    408, "the request's head was not complete in time"
                ) from exc
            event = self._h11.next_event()
        if isinstance(event, h11.Request):
            return event
        return None

    async def _receive_first(self):
        """Receive the first bytes of a request.

        :raises TimeoutError: there were none within the idle timeout.
        """
        waited_ms = 0
        data = None
        while data is None:
            idle_timeout_ms = self._limits_in_force().idle_timeout_ms
            try:
                data = await self._stream.receive(idle_timeout_ms - waited_ms)
            except TimeoutError:
                waited_ms = idle_timeout_ms
                # The limit may have been raised meanwhile.
                if self._limits_in_force().idle_timeout_ms <= waited_ms:
                    raise
        self._apply_limits()
        self._h11.receive_data(data)

    def _apply_limits(self):
        """Apply the limits in force to the next request."""
        limits = self._limits_in_force()
        if limits == self._limits:
            return
        self._limits = limits
        rest, is_closed = self._h11.trailing_data
        self._h11 = _new_h11(limits)
        if rest:
            self._h11.receive_data(rest)
        if is_closed:
            self._h11.receive_data(b"")

    async def _read_body(self):
        if self._h11.they_are_waiting_for_100_continue:
            await self._stream.send(self._h11.send(CONTINUE))
        parts = []
        size = 0
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                try:
                    await self._receive(self._limits.idle_timeout_ms)
                except TimeoutError as exc:
                    raise Refused(
                        408, "the request's body was not complete in time"
                    ) from exc
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > self._limits.body_bytes:
                    raise Refused(413, "the request's body is too large")
                parts.append(bytes(event.data))
                if size > MAX_WRITE_BYTES and self._stream.holdings:
                    self._stream.holdings.begin_wait(self._stream, size)
            else:
                if size > MAX_WRITE_BYTES and self._stream.holdings:
                    self._stream.holdings.end_wait(self._stream)
                return b"".join(parts)

    async def _receive(self, limit_ms):
        self._h11.receive_data(await self._stream.receive(limit_ms))

    def set_close_callback(self, callback):
        """Set the callback for the caller's close; ``None`` clears it."""
        self._stream.set_close_callback(callback)

    async def send_head(self, head, length=None):
        """Send the head of an answer whose body follows in parts.

        Without ``length`` (bytes), the body is sent in chunks.
        """
        headers = list(head.headers)
        if length is not None:
            headers.append((b"Content-Length", str(length).encode()))
        elif head.status >= 200 and head.status not in (204, 304):
            headers.append((b"Transfer-Encoding", b"chunked"))
        self._add_close(headers)
        self.answer_started = True
        self._stream.more_held_bytes = STREAM_HELD_BYTES
        await self._send(
            h11.Response(
                status_code=head.status,
                headers=headers,
                reason=head.reason,
            )
        )

    async def send_body(self, data):
        """Send a part of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self):
        """Mark the answer as complete."""
        await self._send(h11.EndOfMessage())

    async def answer(self, head, body):
        """Send a complete answer in one write.

        To a HEAD request, ``body`` only determines the length.
        """
        self._stream.more_held_bytes = 0
        headers = list(head.headers)
        headers.append((b"Content-Length", str(len(body)).encode()))
        self._add_close(headers)
        self.answer_started = True
        parts = [
            self._h11.send(
                h11.Response(
                    status_code=head.status,
                    headers=headers,
                    reason=head.reason,
                )
            )
        ]
        if body and not self._is_head_request:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        await self._write(b"".join(part for part in parts if part))

    def hold_answer(self, size):
        """Return whether ``size`` bytes of an answer may be held, and count.

        They count until :meth:`forget_answer`, or until another size does.
        """
        if self._stream.holdings is None:
            return True
        return self._stream.holdings.hold(self._stream, size)

    def forget_answer(self):
        """Count no more what is held of an answer; its request ended."""
        if self._stream.holdings is not None:
            self._stream.holdings.forget(self._stream)

    async def accept_tunnel(self):
        """Accept a CONNECT request; return the stream for what follows.

        Callers send nothing before they are told of the acceptance.
        """
        self.answer_started = True
        await self._send(h11.Response(status_code=200, headers=[]))
        return self._stream

    def _add_close(self, headers):
        """Announce the close of the connection, unless more bytes came.

        A caller that had already sent its next request could not know, after
        the close, whether that request has run.
        """
        self._closes_after_answer = (
            self._closing and not self._has_next_request_bytes()
        )
        if self._closes_after_answer:
            headers.append((b"Connection", b"close"))

    def _has_next_request_bytes(self):
        """Tell whether bytes were received after a complete request."""
        if self._h11.their_state is not h11.DONE:
            return False
        return bool(self._h11.trailing_data[0]) or self._stream.has_bytes

    async def _send(self, event):
        data = self._h11.send(event)
        if data:
            await self._write(data)

    async def _write(self, data):
        try:
            await self._stream.send(data)
        except anyio.BrokenResourceError as exc:
            raise CallerDisconnected from exc

    def next_request(self):
        """Prepare for the next request; return whether there may be one."""
        if self._h11.our_state is not h11.DONE or self._closes_after_answer:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.answer_started = False
        return True


def _new_h11(limits):
    return h11.Connection(
        h11.SERVER, max_incomplete_event_size=limits.header_bytes
    )
