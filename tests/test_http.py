"""What the programs' HTTP clients read of an answer."""

import unittest

import anyio
import httpx

from clementinewall import _http
from standins import scripted

PIECE = b"x" * 100_000
MAX_BYTES = 1_000_000
# Far more than is read, and than the system buffers.
PIECES = 200


class BoundedAnswers(unittest.TestCase):
    """An endpoint that sends more than may be kept."""

    def setUp(self):
        """Start it; without a length, or as an error."""
        self.status = 200
        self.endpoint = scripted.Endpoint(self._answer)
        self.addCleanup(self.endpoint.close)

    def _answer(self, _endpoint, request):
        head = scripted.answer(request, b"", self.status)
        yield head.replace(b"Content-Length: 0\r\n", b"")
        for _ in range(PIECES):
            yield PIECE
        yield scripted.CLOSE

    def read(self, **extensions):
        """Return how many bytes of the answer are read."""

        async def run():
            size = 0
            url = f"http://{self.endpoint.address}/x"
            async with _http.client(
                5_000, max_answer_bytes=MAX_BYTES
            ) as client:
                async with client.stream(
                    "GET", url, extensions=extensions
                ) as answer:
                    async for part in answer.aiter_raw():
                        size += len(part)
            return size

        return anyio.run(run)

    def test_an_answer_without_end_fails(self):
        # Guards against a process that keeps what an endpoint sends until it
        # has no memory left.
        with self.assertRaises(httpx.ReadError):
            self.read()

    def test_an_error_without_end_fails(self):
        # Guards against errors of streams that are kept to be told.
        self.status = 500
        with self.assertRaises(httpx.ReadError):
            self.read(**{_http.IS_STREAMED: True})

    def test_a_stream_may_be_long(self):
        size = self.read(**{_http.IS_STREAMED: True})
        self.assertEqual(size, PIECES * len(PIECE))
