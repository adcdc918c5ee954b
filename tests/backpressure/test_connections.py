"""What connections of callers report as held, over real sockets."""

import contextlib
import functools
import socket
import unittest

import anyio
import anyio.to_thread

from clementinewall.backpressure import holdings
from clementinewall import clock
from clementinewall.http1 import messages
from clementinewall.http1 import server
from clementinewall.http1 import stream as streams

MEMORY_MB = 300.0
HEAD = messages.Head(200, b"OK", ())
PART_BYTES = 60_000
BODY = bytes(range(256)) * 20_000


class Connections(unittest.TestCase):
    """One caller's connection at a time."""

    def setUp(self):
        """Start without holdings."""
        self.holdings = holdings.Holdings(MEMORY_MB, clock.Clock().now)

    @contextlib.asynccontextmanager
    async def served(self, serve):
        """Yield the caller's socket; ``serve`` gets the connection."""

        async def serve_stream(stream):
            stream.holdings = self.holdings
            connection = server.Connection(stream, server.Limits)
            try:
                with contextlib.suppress(
                    server.Refused, server.CallerDisconnected
                ):
                    await serve(connection)
            finally:
                connection.close()

        async with anyio.create_task_group() as group:
            listener = await streams.listen("127.0.0.1:0", serve_stream, group)
            address = listener.sockets[0].getsockname()
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
                caller.connect(address)
                yield caller
            listener.close()
            group.cancel_scope.cancel()

    async def wait_for(self, check):
        """Wait until ``check()`` holds, for a few seconds at most."""
        with anyio.fail_after(3):
            while not check():
                await anyio.sleep(0.01)

    async def answer(self, connection):
        """Answer one request with a large body."""
        await connection.read_request()
        answer = holdings.HeldAnswer(connection, HEAD, len(BODY), False)
        for start in range(0, len(BODY), PART_BYTES):
            await answer.add(BODY[start : start + PART_BYTES])
        self.held_before = self.holdings.held_bytes
        await answer.finish()

    def test_an_answer_counts_until_it_was_read(self):
        # Guards against answers that count for ever or not at all, and
        # against parts of them that are lost or doubled.
        async def run():
            async with self.served(self.answer) as caller:
                caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                await anyio.sleep(0.2)
                self.assertEqual(self.held_before, len(BODY))
                # The system has taken a part.
                self.assertGreater(self.holdings.held_bytes, len(BODY) / 2)
                read = functools.partial(self.read, caller)
                found = await anyio.to_thread.run_sync(read)
                self.assertEqual(found.partition(b"\r\n\r\n")[2], BODY)
                await self.wait_for(lambda: not self.holdings.held_bytes)

        anyio.run(run)

    def read(self, caller):
        """Return the bytes up to the end of the answer's body."""
        caller.settimeout(5)
        parts = []
        size = 0
        while size < len(BODY) or not b"".join(parts).endswith(BODY[-9_000:]):
            data = caller.recv(1_000_000)
            if not data:
                break
            parts.append(data)
            size += len(data)
        return b"".join(parts)

    def test_a_caller_that_goes_away_holds_nothing(self):
        # Guards against a sum that only grows.
        async def run():
            async with self.served(self.answer) as caller:
                caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
                await self.wait_for(lambda: self.holdings.held_bytes)
                caller.close()
                await self.wait_for(lambda: not self.holdings.held_bytes)

        anyio.run(run)

    def test_a_body_counts_while_it_comes(self):
        # Guards against callers that send large bodies without an end.
        size = 300_000

        async def run():
            async with self.served(self.answer) as caller:
                caller.sendall(
                    b"POST / HTTP/1.1\r\nHost: x\r\n"
                    b"Content-Length: %d\r\n\r\n" % (size + 1)
                )
                send = functools.partial(caller.sendall, b"x" * size)
                await anyio.to_thread.run_sync(send)
                await self.wait_for(lambda: self.holdings.held_bytes == size)
                caller.close()
                await self.wait_for(lambda: not self.holdings.held_bytes)

        anyio.run(run)
