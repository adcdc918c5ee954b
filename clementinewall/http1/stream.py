"""TCP connections as asyncio gives them, without anyio's layer over them.

The rest of the gateway is written for anyio.  Its socket streams, however,
stop and start reading around each receive, which takes two system calls, and
go through the event loop twice more for each send.  Waiting here is still
ended by anyio's cancel scopes.
"""

import asyncio
import collections
import functools

import anyio

from clementinewall import clock
from clementinewall import errors

# Reading stops while so much is waiting to be taken: what a peer sends ahead
# counts as this process's memory.
MAX_READ_AHEAD_BYTES = 65_536
MAX_PENDING_CONNECTIONS = 1_024


class Stream(asyncio.Protocol):
    """One connection; one task reads from it and one writes, or the same."""

    def __init__(self, on_open=None):
        """Call ``on_open(stream)`` when it is connected."""
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

    # What asyncio calls.

    def connection_made(self, transport):
        """Begin."""
        self._transport = transport
        # A send is over when the system has taken all its bytes: whether a
        # request may have reached its endpoint hangs on that.
        transport.set_write_buffer_limits(0)
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data):
        """Keep bytes until they are asked for."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if (
            self._buffered_bytes >= MAX_READ_AHEAD_BYTES
            and not self._is_read_paused
        ):
            self._is_read_paused = True
            self._transport.pause_reading()
        _wake(self._read_waiter)

    def eof_received(self):
        """Note that the peer will send no more; answers may still go out."""
        self._handle_end()
        return True

    def connection_lost(self, exc):
        """Note that the connection is gone."""
        self._is_disconnected = True
        self._error = exc
        _wake(self._write_waiter)
        self._handle_end()

    def pause_writing(self):
        """Note that the system takes no more bytes for now."""
        self._is_write_blocked = True

    def resume_writing(self):
        """Note that all bytes were taken."""
        self._is_write_blocked = False
        _wake(self._write_waiter)

    def _handle_end(self):
        self._at_end = True
        _wake(self._read_waiter)
        if self._close_callback is not None:
            self._close_callback()

    # What the gateway calls.

    @property
    def is_idle(self):
        """Tell whether the peer has sent nothing that wasn't taken."""
        return not self._chunks and not self._at_end

    @property
    def has_bytes(self):
        """Tell whether bytes came that weren't taken."""
        return bool(self._chunks)

    @property
    def raw_socket(self):
        """Return the socket, for its options and to poll it."""
        return self._transport.get_extra_info("socket")

    def set_close_callback(self, callback):
        """Call back when the peer closes, at once if it has; or ``None``."""
        self._close_callback = callback
        if callback is not None and self._at_end:
            callback()

    def stop_waiting(self):
        """Let :meth:`receive` time out from now on instead of waiting."""
        self._may_wait = False
        if self._read_waiter is not None:
            _time_out(self._read_waiter)

    async def receive(self, limit_ms=None):
        """Return what came, or ``b""`` at the peer's end.

        :raises TimeoutError: nothing came for ``limit_ms``.
        :raises anyio.BrokenResourceError: the connection was reset.
        """
        if not self._chunks and not self._at_end:
            if not self._may_wait:
                raise TimeoutError
            self._read_waiter = asyncio.get_running_loop().create_future()
            await _wait(self._read_waiter, limit_ms)
        if self._chunks:
            return self._take()
        if self._error is not None:
            raise anyio.BrokenResourceError from self._error
        return b""

    def _take(self):
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        if self._is_read_paused and not self._is_disconnected:
            self._is_read_paused = False
            self._transport.resume_reading()
        return data

    async def send(self, data, limit_ms=None):
        """Write ``data`` and wait until the system has taken it.

        :raises TimeoutError: it took longer than ``limit_ms``.
        :raises anyio.BrokenResourceError: the connection is gone.
        """
        if self._is_disconnected or self._transport.is_closing():
            raise anyio.BrokenResourceError from self._error
        self._transport.write(data)
        if self._is_write_blocked:
            self._write_waiter = asyncio.get_running_loop().create_future()
            await _wait(self._write_waiter, limit_ms)
        if self._is_disconnected:
            raise anyio.BrokenResourceError from self._error

    def close(self):
        """End the connection in order, or abruptly if bytes are left."""
        if self._transport.get_write_buffer_size():
            self._transport.abort()
        else:
            self._transport.close()

    def abort(self):
        """Reset the connection; what wasn't sent yet never is."""
        self._transport.abort()


def _wake(waiter):
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


async def _wait(waiter, limit_ms):
    """Wait for ``waiter``; a timer is a tenth of the cost of a scope."""
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

    :raises TimeoutError: there was none within ``limit_ms``.
    :raises OSError: it was refused.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    with anyio.fail_after(clock.seconds(limit_ms)):
        _, stream = await loop.create_connection(Stream, host, int(port))
    return stream


async def listen(address, serve, group):
    """Run ``serve(stream)`` in ``group`` for each connection that comes.

    Return the listener; its ``close()`` takes no more of them.

    :raises SettingsError: naming the address, which can't be used.
    """
    host, _, port = address.rpartition(":")
    on_open = functools.partial(group.start_soon, serve)
    try:
        return await asyncio.get_running_loop().create_server(
            functools.partial(Stream, on_open),
            host,
            int(port),
            backlog=MAX_PENDING_CONNECTIONS,
        )
    except OSError as exc:
        raise errors.SettingsError(f"cannot listen on {address}: {exc}")
