"""Connections: all bytes in order, ends noticed, memory bounded."""

import contextlib
import socket
import struct
import unittest

import anyio

from clementinewall.http1 import stream as streams

_RESET = struct.pack("ii", 1, 0)


@contextlib.asynccontextmanager
async def connected():
    """Give a stream and the plain socket at its other end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        stream = await streams.connect(address, 1_000)
        peer, _ = listener.accept()
        with peer:
            yield stream, peer
        stream.abort()


async def receive_until_end(stream):
    """Return all that comes."""
    parts = []
    while part := await stream.receive(1_000):
        parts.append(part)
    return b"".join(parts)


class Stream(unittest.TestCase):
    """One connection with a plain socket as its peer."""

    def test_all_bytes_then_the_end(self):
        async def run():
            async with connected() as (stream, peer):
                peer.sendall(b"one ")
                peer.sendall(b"two")
                peer.shutdown(socket.SHUT_WR)
                self.assertEqual(await receive_until_end(stream), b"one two")
                # The peer sends no more but still reads.
                await stream.send(b"answer")
                self.assertEqual(peer.recv(100), b"answer")

        anyio.run(run)

    def test_a_silent_peer_is_given_up(self):
        """A peer without power answers nothing and closes nothing.

        Without the limit the caller's request would wait for its deadline.
        """

        async def run():
            async with connected() as (stream, _peer):
                with self.assertRaises(TimeoutError):
                    await stream.receive(30)
                self.assertTrue(stream.is_idle)

        anyio.run(run)

    def test_a_wait_that_is_over_loses_no_bytes(self):
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
        """Demand that nothing comes in time."""
        with self.assertRaises(TimeoutError):
            await stream.receive(1_000)

    def test_a_reset_is_no_end(self):
        """An endpoint that crashes resets its connections.

        Taken for the end of an answer that has no length, the part that came
        would be passed on as the whole answer.
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

    def test_a_peer_that_does_not_read_holds_up_the_sender(self):
        """A caller on a choked link takes its answer slowly.

        Bytes that were only buffered here would count as sent, and would
        fill the process's memory.
        """

        async def run():
            async with connected() as (stream, _peer):
                with self.assertRaises(TimeoutError):
                    await stream.send(bytes(50_000_000), 50)

        anyio.run(run)

    def test_what_comes_ahead_is_bounded(self):
        """A caller may send further requests while its first is served.

        What is read ahead counts as memory of the process, so reading stops
        at a bound and goes on when the bytes are taken; none is lost.
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

    def test_the_end_is_told_while_nobody_reads(self):
        """A caller leaves while its request waits at an endpoint.

        Unnoticed, the endpoint would go on working for nobody.
        """

        async def run():
            async with connected() as (stream, peer):
                told = anyio.Event()
                stream.set_close_callback(told.set)
                peer.sendall(b"the next request")
                peer.close()
                with anyio.fail_after(1):
                    await told.wait()
                late = []
                stream.set_close_callback(lambda: late.append(True))
                self.assertEqual(late, [True])

        anyio.run(run)

    def test_a_task_that_waits_can_be_cancelled(self):
        async def run():
            async with connected() as (stream, peer):
                with anyio.move_on_after(0.02) as scope:
                    await stream.receive()
                self.assertTrue(scope.cancelled_caught)
                peer.sendall(b"later")
                self.assertEqual(await stream.receive(1_000), b"later")

        anyio.run(run)

    def test_nobody_listens(self):
        async def run():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                address = "127.0.0.1:%d" % listener.getsockname()[1]
            with self.assertRaises(OSError):
                await streams.connect(address, 1_000)

        anyio.run(run)


class Listen(unittest.TestCase):
    """A listener that hands each connection to a task."""

    def test_closing_it_keeps_what_was_accepted(self):
        """A process that stops takes no new callers but serves those it has.

        Closing what was accepted would cut requests that were sent in time.
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
