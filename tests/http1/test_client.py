"""Answers that stop early are never taken for whole ones."""

import socket
import struct
import threading
import unittest

import anyio

from clementinewall import clock
from clementinewall.http1 import client
from clementinewall.http1 import messages
from clementinewall import verdicts
from standins import scripted

REQUEST = messages.Request(b"GET", b"/x", ((b"Host", b"h"),))
MAX_BODY = 1_000
CONNECT_MS = 2_000
LIMIT_SECONDS = 30
LINGER_NONE = struct.pack("ii", 1, 0)
GOOD = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEAD = b"HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\n"
BY_LENGTH = HEAD + b"Content-Length: 5\r\n\r\nwhole"
IN_CHUNKS = (
    HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + b"a;x=y\r\n0123456789\r\n5\r\nwhole\r\n0\r\nDigest: abc\r\n\r\n"
)
UNTIL_CLOSE = HEAD + b"\r\nwhole"
# The system buffers the smaller one, and part of the larger one.
SMALL_UPLOAD_BYTES = 100_000
UPLOAD_BYTES = 400_000
UNREAD_SECONDS = 5.0
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


class Peer:
    """Answers one request after the other on each connection, by bytes."""

    def __init__(self):
        """Listen on a port of its own."""
        self.answers = []
        self.is_reset = False
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop accepting."""
        self._listener.close()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                self._serve(connection)

    def _serve(self, connection):
        for answer in self.answers:
            request = b""
            while not request.endswith(b"\r\n\r\n"):
                data = connection.recv(4_096)
                if not data:
                    return
                request += data
            connection.sendall(answer)
        if self.is_reset:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE
            )


class AnswersThatStopEarly(unittest.TestCase):
    """A peer that closes or resets after each number of bytes."""

    def setUp(self):
        """Listen as the peer."""
        self.peer = Peer()
        self.addCleanup(self.peer.close)

    def check_broken(self, whole, cuts=None, first=()):
        """Check that no cut of an answer is taken for an answer.

        ``first`` are the answers before it on the same connection.
        """
        anyio.run(self._check_broken, whole, cuts, first)

    async def _check_broken(self, whole, cuts, first):
        ticker = clock.Clock()
        taken = []
        with anyio.fail_after(LIMIT_SECONDS):
            for is_reset in (False, True):
                for cut in cuts or range(len(whole)):
                    self.peer.is_reset = is_reset
                    self.peer.answers = [*first, whole[:cut]]
                    answer = await self._ask(ticker, len(first))
                    if answer is not None:
                        taken.append((cut, is_reset, answer))
        self.assertEqual(taken, [])

    async def _ask(self, ticker, answers_before):
        """Return the answer to a request, ``None`` if there is none."""
        path = client.DirectPath(self.peer.address, CONNECT_MS)
        pool = client.Pool(path, ticker.now)
        try:
            link = await pool.acquire()
            for _ in range(answers_before):
                head, body = await pool.exchange(link, REQUEST, MAX_BODY)
                self.assertEqual((head.status, body), (200, b"ok"))
                # A link that the peer has closed would not be used again.
                link = await pool.acquire()
            return await pool.exchange(link, REQUEST, MAX_BODY)
        except client.LinkBroken:
            return None
        finally:
            pool.close()

    def test_an_answer_with_a_length(self):
        # Guards against a head or body that stops early and looks whole.
        self.check_broken(BY_LENGTH)

    def test_an_answer_in_chunks(self):
        # Guards against an end within a chunk's size, a chunk or a trailer
        # that looks like that of the answer.
        self.check_broken(IN_CHUNKS)

    def test_an_answer_after_an_interim_one(self):
        # Guards against an interim answer that is taken for the final one.
        self.check_broken(INTERIM + BY_LENGTH)

    def test_an_answer_on_a_kept_connection(self):
        # Guards against parts of an answer before this one.
        self.check_broken(BY_LENGTH, first=(GOOD,))
        self.check_broken(IN_CHUNKS, first=(GOOD,))

    def test_the_head_of_an_answer_without_a_length(self):
        # Guards against an empty body because the head doesn't frame it yet.
        self.check_broken(UNTIL_CLOSE, range(UNTIL_CLOSE.index(b"whole") - 1))

    def test_a_reset_of_an_answer_without_a_length(self):
        # Guards against a reset that looks like the end of the answer.
        self.peer.answers = [UNTIL_CLOSE]
        self.peer.is_reset = True
        answer = anyio.run(self._ask, clock.Clock(), 0)
        self.assertIsNone(answer)

    def test_whole_answers_are_taken(self):
        for whole in (BY_LENGTH, INTERIM + BY_LENGTH, UNTIL_CLOSE):
            self.peer.answers = [whole]
            _, body = anyio.run(self._ask, clock.Clock(), 0)
            self.assertEqual(body, b"whole")
        self.peer.answers = [IN_CHUNKS]
        _, body = anyio.run(self._ask, clock.Clock(), 0)
        self.assertEqual(body, b"0123456789whole")


class PartStream:
    """A stream whose peer takes the first part of a request, and later all."""

    def __init__(self):
        """Start with a peer that takes one part."""
        self.parts = []
        self.taken = 1

    async def send(self, data, limit_ms):
        """Keep the data; time out if the peer doesn't take it."""
        self.parts.append(bytes(data))
        await self.flush(limit_ms)

    async def flush(self, _limit_ms):
        """Time out if the peer doesn't take all that was written."""
        if len(self.parts) > self.taken:
            raise TimeoutError


class LargeRequests(unittest.TestCase):
    """Requests that a peer is slow to read."""

    def test_a_large_request_is_written_in_parts(self):
        # Guards against second and third copies of each body, which take a
        # process beyond its memory.
        body = bytes(range(256)) * 1_000
        request = messages.Request(b"POST", b"/x", ((b"Host", b"h"),), body)
        stream = PartStream()
        link = client.Link(stream, 0)

        async def run():
            with self.assertRaises(TimeoutError):
                await link.send(request, 1_000)
            self.assertIs(link.progress, verdicts.Progress.SENT_IN_PART)
            stream.taken = 1_000
            await link.finish_sending(1_000)

        anyio.run(run)
        self.assertIs(link.progress, verdicts.Progress.SENT_WHOLE)
        sent = b"".join(stream.parts)
        self.assertEqual(sent.partition(b"\r\n\r\n")[2], body)
        sizes = [len(part) for part in stream.parts[1:]]
        self.assertLessEqual(max(sizes), client.MAX_WRITE_BYTES)

    def test_the_limit_holds_for_the_whole_request(self):
        # Guards against an endpoint that is waited for without end since it
        # takes a little now and then.
        request = messages.Request(
            b"POST", b"/x", ((b"Host", b"h"),), bytes(300_000)
        )
        stream = PartStream()
        stream.taken = 1_000

        async def run():
            link = client.Link(stream, 0)
            with self.assertRaises(TimeoutError):
                await link.send(request, 0)
            await link.finish_sending()
            self.assertIs(link.progress, verdicts.Progress.SENT_WHOLE)

        anyio.run(run)
        self.assertTrue(b"".join(stream.parts).endswith(bytes(300_000)))


class EarlyAnswers(unittest.TestCase):
    """An endpoint that answers before it has read a request."""

    def ask(self, *steps, size=UPLOAD_BYTES):
        """Return the body of the answer, ``None`` if it isn't whole."""
        endpoint = scripted.Endpoint(lambda _endpoint, _request: iter(steps))
        endpoint.answers_early = True
        self.addCleanup(endpoint.close)
        request = messages.Request(
            b"POST", b"/x", ((b"Host", b"h"),), bytes(size)
        )

        async def run():
            path = client.DirectPath(endpoint.address, CONNECT_MS)
            pool = client.Pool(path, clock.Clock().now)
            with anyio.fail_after(LIMIT_SECONDS):
                try:
                    _head, body = await pool.send_request(request, MAX_BODY)
                except client.LinkBroken:
                    return None
            return body

        return anyio.run(run)

    def test_a_reset_while_the_request_is_written(self):
        # Guards against a part of an answer without a length that looks whole.
        for steps in (
            (UNTIL_CLOSE, scripted.RESET),
            (UNTIL_CLOSE, 0.05, scripted.RESET),
            (UNTIL_CLOSE, 0.05, scripted.CLOSE),
        ):
            for size in (SMALL_UPLOAD_BYTES, UPLOAD_BYTES):
                self.assertIsNone(self.ask(*steps, size=size))

    def test_a_reset_after_the_end_of_the_answer(self):
        # Guards against a process that dies while it is written to: its data
        # ends before the reset comes.
        for rest in ((0.05, scripted.RESET), (0.3, scripted.CLOSE)):
            found = self.ask(UNTIL_CLOSE, scripted.END, *rest)
            self.assertIsNone(found)

    def test_a_request_that_stays_unread(self):
        # Guards against waiting for it until the request's deadline.
        self.assertIsNone(self.ask(UNTIL_CLOSE, scripted.END, UNREAD_SECONDS))

    def test_an_end_before_the_request_was_read_is_confirmed_later(self):
        # An endpoint may take the request without a look at it.
        self.assertEqual(
            self.ask(UNTIL_CLOSE, scripted.END, 0.1, size=100), b"whole"
        )

    def test_a_status_that_none_is(self):
        # Guards against bytes that are passed on though they are no answer.
        for status in (b"000", b"099", b"600", b"999"):
            answer = GOOD.replace(b"200", status)
            self.assertIsNone(self.ask(answer, scripted.CLOSE, size=0))
        self.assertEqual(self.ask(GOOD, scripted.CLOSE, size=0), b"ok")
