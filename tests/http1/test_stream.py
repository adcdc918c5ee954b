"""Connections: byte order, detection of their end, bounded memory."""

import contextlib
import socket
import struct
import unittest

import anyio

from clementinewall.http1 import stream as streams
from clementinewall import logs

_RESET = struct.pack("ii", 1, 0)


@contextlib.asynccontextmanager
async def connected():
    """Yield a stream and the plain socket at its other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        stream = await streams.connect(address, 1_000)
        peer, _ = listener.accept()
        with peer:
            yield stream, peer
        stream.abort()


async def receive_until_end(stream):
    """Return all bytes up to the end of the peer's data."""
    parts = []
    while part := await stream.receive(1_000):
        parts.append(part)
    return b"".join(parts)


class Stream(unittest.TestCase):
    """One connection with a plain socket as its peer."""

    def test_all_bytes_are_received_before_the_end(self):
        async def run():
            async with connected() as (stream, peer):
                peer.sendall(b"one ")
                peer.sendall(b"two")
                peer.shutdown(socket.SHUT_WR)
                self.assertEqual(await receive_until_end(stream), b"one two")
                # The peer has closed its sending side only and still reads.
                await stream.send(b"answer")
                self.assertEqual(peer.recv(100), b"answer")

        anyio.run(run)

    def test_an_address_that_cant_be_used_is_a_failed_connection(self):
        # Guards against errors of a resolver that nobody expects.
        for address in (
            "::1%\ufffd\ufffd:8080",
            "fe80::1%" + "x" * 300 + ":80",
            "127.0.0.1:70000",
            "127.0.0.1:",
        ):
            with self.subTest(address), self.assertRaises(OSError):
                anyio.run(streams.connect, address, 1_000)

    def test_receive_from_unresponsive_peer_times_out(self):
        """A request would wait until its deadline for a peer that lost power.

        Such a peer neither answers nor closes the connection.
        """

        async def run():
            async with connected() as (stream, _peer):
                with self.assertRaises(TimeoutError):
                    await stream.receive(30)
                self.assertTrue(stream.is_idle)

        anyio.run(run)

    def test_stopped_wait_loses_no_bytes(self):
        """Bytes that arrive after ``stop_waiting`` would be lost."""

        async def run():
            async with connected() as (stream, peer):
                async with anyio.create_task_group() as group:
                    group.start_soon(self.expect_timeout, stream)
                    await anyio.sleep(0.02)
                    stream.stop_waiting()
                peer.sendall(b"late")
                await anyio.sleep(0.02)
                self.assertEqual(await stream.receive(1_000), b"late")
                await self.expect_timeout(stream)

        anyio.run(run)

    async def expect_timeout(self, stream):
        """Assert that a receive times out."""
        with self.assertRaises(TimeoutError):
            await stream.receive(1_000)

    def test_reset_is_reported_as_error_not_end(self):
        """A truncated answer would be forwarded as complete.

        An endpoint that crashes resets its connections.  A reset taken for
        the end of the data would complete an answer without a length.
        """

        async def run():
            async with connected() as (stream, peer):
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                peer.close()
                with self.assertRaises(anyio.BrokenResourceError):
                    await stream.receive(1_000)
                with self.assertRaises(anyio.BrokenResourceError):
                    await stream.send(b"x")

        anyio.run(run)

    def test_send_waits_for_peer_that_does_not_read(self):
        """Buffered bytes would count as sent and fill the process's memory.

        A caller on a congested link reads its answer slowly.
        """

        async def run():
            async with connected() as (stream, _peer):
                with self.assertRaises(TimeoutError):
                    await stream.send(bytes(50_000_000), 50)

        anyio.run(run)

    def test_flush_goes_on_with_a_send_that_timed_out(self):
        # Guards against a request that is sent twice or in part when its
        # peer reads nothing for a while.
        async def run():
            async with connected() as (stream, peer):
                sent = bytes(5_000_000)
                with self.assertRaises(TimeoutError):
                    await stream.send(sent, 30)
                with self.assertRaises(TimeoutError):
                    await stream.flush(30)
                received = 0
                peer.setblocking(False)
                async with anyio.create_task_group() as group:
                    group.start_soon(stream.flush, 5_000)
                    while received < len(sent):
                        with contextlib.suppress(BlockingIOError):
                            received += len(peer.recv(1_000_000))
                        await anyio.sleep(0.001)
                self.assertEqual(received, len(sent))
                with self.assertRaises(BlockingIOError):
                    peer.recv(1)

        anyio.run(run)

    def test_unread_bytes_are_bounded(self):
        """Requests sent ahead would fill the process's memory.

        A caller may send further requests while its first is served.  Reading
        pauses at a bound and resumes once the bytes are read; none is lost.
        """

        async def run():
            async with connected() as (stream, peer):
                peer.setblocking(False)
                sent = 0
                with contextlib.suppress(BlockingIOError):
                    while sent < 50_000_000:
                        sent += peer.send(bytes(100_000))
                        await anyio.sleep(0)
                self.assertLess(sent, 50_000_000)
                peer.close()
                whole = await receive_until_end(stream)
                self.assertEqual(len(whole), sent)

        anyio.run(run)

    def test_close_is_reported_while_nobody_reads(self):
        """An endpoint would keep working for a caller that disconnected.

        The caller closes while its request waits at the endpoint, when no
        task reads from the caller's connection.
        """

        async def run():
            async with connected() as (stream, peer):
                closed = anyio.Event()
                stream.set_close_callback(closed.set)
                peer.sendall(b"the next request")
                peer.close()
                with anyio.fail_after(1):
                    await closed.wait()
                late = []
                stream.set_close_callback(lambda: late.append(True))
                self.assertEqual(late, [True])

        anyio.run(run)

    def test_cancelled_receive_loses_no_bytes(self):
        """Bytes that arrive after a cancelled receive would be lost."""

        async def run():
            async with connected() as (stream, peer):
                with anyio.move_on_after(0.02) as scope:
                    await stream.receive()
                self.assertTrue(scope.cancelled_caught)
                peer.sendall(b"later")
                self.assertEqual(await stream.receive(1_000), b"later")

        anyio.run(run)

    def test_connecting_to_closed_port_fails(self):
        async def run():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = "127.0.0.1:%d" % listener.getsockname()[1]
            with self.assertRaises(OSError):
                await streams.connect(address, 1_000)

        anyio.run(run)

    def test_bytes_that_come_with_the_end_of_waiting_are_received(self):
        # Guards against a request that is read but not answered.
        async def run():
            async with connected() as (stream, _peer):
                async with anyio.create_task_group() as group:

                    async def check():
                        self.assertEqual(await stream.receive(1_000), b"late")
                        with self.assertRaises(TimeoutError):
                            await stream.receive(1_000)

                    group.start_soon(check)
                    await anyio.sleep(0.01)
                    stream.stop_waiting()
                    stream.get_buffer(-1)[:4] = b"late"
                    stream.buffer_updated(4)

        anyio.run(run)


class Listen(unittest.TestCase):
    """A listener that starts a task for each connection."""

    def test_closing_listener_keeps_accepted_connections(self):
        """Requests that were sent in time would be cut off.

        A process that stops accepts no new callers, but must still serve the
        connections that it has accepted.
        """

        async def serve(stream):
            await stream.send(await stream.receive(1_000))
            stream.close()

        async def run():
            async with anyio.create_task_group() as group:
                with socket.create_server(("127.0.0.1", 0)) as free:
                    address = "127.0.0.1:%d" % free.getsockname()[1]
                listener = await streams.listen(address, serve, group)
                stream = await streams.connect(address, 1_000)
                await anyio.sleep(0.02)
                listener.close()
                with self.assertRaises(OSError):
                    await streams.connect(address, 1_000)
                await stream.send(b"echo")
                self.assertEqual(await receive_until_end(stream), b"echo")
                stream.abort()

        anyio.run(run)

    def test_exception_closes_only_its_own_connection(self):
        # Guards against a process that stops because of one connection.
        async def serve(stream):
            data = await stream.receive(1_000)
            if data == b"fail":
                raise RuntimeError("a fault of the program")
            await stream.send(data)
            stream.close()

        async def run():
            async with anyio.create_task_group() as group:
                with socket.create_server(("127.0.0.1", 0)) as free:
                    address = "127.0.0.1:%d" % free.getsockname()[1]
                listener = await streams.listen(address, serve, group)
                failing, other = [
                    await streams.connect(address, 1_000) for _ in range(2)
                ]
                await failing.send(b"fail")
                self.assertEqual(await receive_until_end(failing), b"")
                await other.send(b"echo")
                self.assertEqual(await receive_until_end(other), b"echo")
                listener.close()
                for stream in (failing, other):
                    stream.abort()

        anyio.run(run)
        self.assertTrue(
            logs.recent(repr(RuntimeError("a fault of the program")))
        )
