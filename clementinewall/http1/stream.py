"""TCP connections on asyncio's transports instead of anyio's streams.

The rest of the gateway uses anyio.  Its socket streams, however, pause and
resume reading around each receive, which costs two system calls, and take two
more passes of the event loop for each send.  Waits in this module can still be
cancelled by anyio's cancel scopes.
"""

import asyncio
import collections
import fcntl
import functools
import socket
import struct
import termios

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs

_log = logs.PartLog("http")

# Reading pauses at this many unread bytes, since what a peer sends ahead uses
# the process's memory.
MAX_READ_AHEAD_BYTES = 65_536
MAX_PENDING_CONNECTIONS = 1_024
# Bytes that the system holds unsent for a peer of an accepted connection.  By
# default it holds megabytes for one that doesn't read.
MAX_UNSENT_BYTES = 65_536
# Between keep-alive probes of a connection without data; the shortest time.
KEEPALIVE_SECONDS = 1
# How long a peer that has ended its data is given to take what was sent to it,
# and the interval at which that is checked.
END_CONFIRM_MS = 1_000
END_POLL_MS = 20
_COUNT = struct.Struct("i")


# Filled by one read of any connection, and copied from at once.  By default a
# read takes four times as much, all of which is held for a caller that waits.
_read_buffer = memoryview(bytearray(MAX_READ_AHEAD_BYTES))


class Stream(asyncio.BufferedProtocol):
    """One connection, with at most one reading and one writing task."""

    # The gateway that carries the connection, if it is not direct.
    relay_ip = None
    # Told while the peer takes no more bytes; ``backpressure.Holdings``.
    holdings = None
    # Bytes that are held for the peer beside the unsent ones.
    more_held_bytes = 0

    def __init__(self, on_open=None):
        """Call ``on_open(stream)`` once connected."""
        self._on_open = on_open
        self._close_callback = None
        self._transport = None
        self._chunks = collections.deque()
        self._buffered_bytes = 0
        self._is_read_paused = False
        self._at_end = False
        self._is_disconnected = False
        self._error = None
        self._read_waiter = None
        self._write_waiter = None
        self._is_write_blocked = False
        self._may_wait = True

    # Callbacks for asyncio.

    def connection_made(self, transport):
        """Store the transport and announce the connection."""
        self._transport = transport
        # With no buffer, a send ends only when the system has accepted all
        # bytes, which decides whether a request may have reached its endpoint.
        transport.set_write_buffer_limits(0)
        if self._on_open is not None:
            self.raw_socket.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES
            )
            self._on_open(self)

    def get_buffer(self, sizehint):
        """Return where the next bytes are put."""
        return _read_buffer

    def buffer_updated(self, nbytes):
        """Buffer the bytes until they are read."""
        self._chunks.append(bytes(_read_buffer[:nbytes]))
        self._buffered_bytes += nbytes
        if (
            self._buffered_bytes >= MAX_READ_AHEAD_BYTES
            and not self._is_read_paused
        ):
            self._is_read_paused = True
            self._transport.pause_reading()
        _wake(self._read_waiter)

    def eof_received(self):
        """Handle the end of the peer's data; sending is still possible."""
        self._handle_end()
        return True

    def connection_lost(self, exc):
        """Handle the loss of the connection."""
        self._is_disconnected = True
        self._error = exc
        if self.holdings is not None:
            self.holdings.forget(self)
        _wake(self._write_waiter)
        self._handle_end()

    def pause_writing(self):
        """Handle a full send buffer of the system."""
        self._is_write_blocked = True
        if self.holdings is not None:
            self.holdings.begin_wait(self, self.more_held_bytes)

    def resume_writing(self):
        """Handle that the system has accepted all bytes."""
        self._is_write_blocked = False
        if self.holdings is not None:
            self.holdings.end_wait(self)
        _wake(self._write_waiter)

    def _handle_end(self):
        self._at_end = True
        _wake(self._read_waiter)
        if self._close_callback is not None:
            self._close_callback()

    # Interface for the gateway.

    @property
    def is_idle(self):
        """Tell whether there is neither unread data nor the peer's end."""
        return not self._chunks and not self._at_end

    @property
    def has_bytes(self):
        """Tell whether there are unread bytes."""
        return bool(self._chunks)

    @property
    def unsent_bytes(self):
        """Return how many bytes the system has not accepted yet."""
        return self._transport.get_write_buffer_size()

    @property
    def remote_ip(self):
        """Return the address at the other end, or ``None`` if unknown."""
        address = self._transport.get_extra_info("peername")
        return address[0] if address else None

    @property
    def raw_socket(self):
        """Return the socket, to set its options and poll it."""
        return self._transport.get_extra_info("socket")

    def set_close_callback(self, callback):
        """Set the callback for the peer's close; ``None`` clears it.

        It is called at once if the peer has already closed.
        """
        self._close_callback = callback
        if callback is not None and self._at_end:
            callback()

    def stop_waiting(self):
        """Make :meth:`receive` time out at once from now on."""
        self._may_wait = False
        if self._read_waiter is not None:
            _time_out(self._read_waiter)

    async def receive(self, limit_ms=None):
        """Return all unread bytes, or ``b""`` at the end of the peer's data.

        :raises TimeoutError: nothing was received for ``limit_ms``.
        :raises anyio.BrokenResourceError: the connection was reset.
        """
        if not self._chunks and not self._at_end:
            if not self._may_wait:
                raise TimeoutError
            self._read_waiter = asyncio.get_running_loop().create_future()
            try:
                await _wait(self._read_waiter, limit_ms)
            except TimeoutError:
                # Bytes may have come before this task could run again.
                if not self._chunks:
                    raise
        if self._chunks:
            return self._take()
        if self._error is not None:
            raise anyio.BrokenResourceError from self._error
        return b""

    async def confirm_end(self):
        """Return after the peer's end if it had taken all that was sent.

        A process that dies or closes while it is being written to ends its
        data as well, and the reset that shows it comes after that end.

        :raises anyio.BrokenResourceError: the connection was reset, or what
            was sent stayed unacknowledged.
        """
        end = anyio.current_time() + clock.seconds(END_CONFIRM_MS)
        while not self._has_failed():
            if not self._unacknowledged_bytes():
                return
            if anyio.current_time() >= end:
                break
            await anyio.sleep(clock.seconds(END_POLL_MS))
        raise anyio.BrokenResourceError from self._error

    def _has_failed(self):
        """Tell whether the connection is lost, as of now.

        The event loop does not read it any more after the peer's end.
        """
        return self._is_disconnected or self.raw_socket.getsockopt(
            socket.SOL_SOCKET, socket.SO_ERROR
        )

    def _unacknowledged_bytes(self):
        sent = fcntl.ioctl(
            self.raw_socket.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size)
        )
        return self.unsent_bytes + _COUNT.unpack(sent)[0]

    def _take(self):
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._is_read_paused and not self._is_disconnected:
            self._is_read_paused = False
            self._transport.resume_reading()
        return data

    async def send(self, data, limit_ms=None):
        """Write ``data`` and wait until the system has accepted it.

        :raises TimeoutError: that took longer than ``limit_ms``.
        :raises anyio.BrokenResourceError: the connection is lost.
        """
        if self._is_disconnected or self._transport.is_closing():
            raise anyio.BrokenResourceError from self._error
        self._transport.write(data)
        await self.flush(limit_ms)

    async def flush(self, limit_ms=None):
        """Wait until the system has accepted all that was written.

        :raises TimeoutError: that took longer than ``limit_ms``.
        :raises anyio.BrokenResourceError: the connection is lost.
        """
        if self._is_write_blocked and not self._is_disconnected:
            self._write_waiter = asyncio.get_running_loop().create_future()
            await _wait(self._write_waiter, limit_ms)
        if self._is_disconnected:
            raise anyio.BrokenResourceError from self._error

    def detect_loss(self, timeout_ms):
        """End the connection if its peer stays silent on the network.

        Otherwise a peer that lost power would be waited for without end.  The
        time-out holds for sent data and, as it overrides their count, for
        keep-alive probes.
        """
        options = (
            (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
            (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms),
        )
        for level, name, value in options:
            self.raw_socket.setsockopt(level, name, value)

    def close(self):
        """Close the connection, abruptly if bytes are left to send."""
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def abort(self):
        """Close abruptly; bytes that are not sent yet are dropped."""
        self._transport.abort()


def _wake(waiter):
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


async def _wait(waiter, limit_ms):
    """Wait for ``waiter``.

    A timer costs a tenth of what a cancel scope does.
    """
    if limit_ms is None:
        await waiter
        return
    timer = asyncio.get_running_loop().call_later(
        clock.seconds(limit_ms), _time_out, waiter
    )
    try:
        await waiter
    finally:
        timer.cancel()


def _time_out(waiter):
    if not waiter.done():
        waiter.set_exception(TimeoutError())


async def connect(address, limit_ms):
    """Return a stream to ``address`` (``IP:port``).

    :raises TimeoutError: it was not connected within ``limit_ms``.
    :raises OSError: the connection failed, or the address can't be used.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    with anyio.fail_after(clock.seconds(limit_ms)):
        try:
            _, stream = await loop.create_connection(Stream, host, int(port))
        except (OverflowError, ValueError) as exc:
            raise OSError(f"the address can't be used: {exc}") from exc
    return stream


async def _serve_one(serve, stream):
    """Serve a connection, without ending the task group if that fails."""
    try:
        await serve(stream)
    except Exception as exc:
        _log.error(
            "unexpected exception; closing the connection", why=repr(exc)
        )
        logs.traceback(_log)
        stream.abort()


async def listen(address, serve, group):
    """Run ``serve(stream)`` in ``group`` for each accepted connection.

    An exception that ``serve`` raises is logged and closes its connection.
    Return the listener; after its ``close()`` no more are accepted.

    :raises SettingsError: the address can't be listened on.
    """
    host, _, port = address.rpartition(":")
    on_open = functools.partial(group.start_soon, _serve_one, serve)
    try:
        return await asyncio.get_running_loop().create_server(
            functools.partial(Stream, on_open),
            host,
            int(port),
            backlog=MAX_PENDING_CONNECTIONS,
        )
    except OSError as exc:
        raise errors.SettingsError(
            f"cannot listen on {address}: {exc}"
        ) from exc
