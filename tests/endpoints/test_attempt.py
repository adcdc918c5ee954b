"""Verdicts of attempts that fail at each point of the exchange."""

import socket
import threading
import unittest

import anyio

from clementinewall.endpoints import attempt
from clementinewall import errors
from clementinewall import verdicts

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
REFUSAL = (
    b"HTTP/1.1 503 No\r\nNot-Run: 1\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)
# More bytes than any call has: the server reads until its time-out.
READ_ALL_BYTES = 100_000


class OneShotServer:
    """Accepts one connection, reads up to ``read`` bytes, answers, closes."""

    def __init__(self, read, answer):
        """Listen on a free port of the loopback address."""
        self._read = read
        self._answer = answer
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.port = self._socket.getsockname()[1]
        self.got = 0
        self._thread = threading.Thread(target=self._serve)
        self._thread.start()

    def _serve(self):
        with self._socket, self._socket.accept()[0] as connection:
            connection.settimeout(1.0)
            try:
                while self.got < self._read:
                    piece = connection.recv(self._read - self.got)
                    if not piece:
                        break
                    self.got += len(piece)
            except TimeoutError:
                pass
            connection.sendall(self._answer)

    def join(self):
        """Wait for the end and return the number of bytes read."""
        self._thread.join(5)
        return self.got


def call(port):
    """Call the port once; return the answer's status or the error."""

    async def run():
        async with attempt.single_call_client() as client:
            request = client.build_request(
                "POST", f"http://127.0.0.1:{port}/x", content=b"x" * 100
            )
            try:
                answer = await attempt.call(client, "e", request, 2_000)
            except errors.EndpointFailed as exc:
                return exc
            return answer.status_code

    return anyio.run(run)


class VerdictTest(unittest.TestCase):
    """The point at which an attempt fails decides its verdict."""

    def test_refused_connection_is_not_run(self):
        """A call that was never sent would not be retried.

        Nothing listens at the address of a stopped endpoint, so the call
        cannot have run.
        """
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        self.assertIs(verdicts.Verdict.NOT_RUN, call(port).verdict)

    def test_close_after_any_number_of_bytes_may_have_run(self):
        """A call that ran would be repeated.

        The endpoint read a part or all of the call, may have acted on it, and
        then crashed.
        """
        for read in (0, 1, 40, 150, 100_000):
            server = OneShotServer(read, b"")
            error = call(server.port)
            server.join()
            self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, error.verdict, read)

    def test_truncated_answer_may_have_run(self):
        """A call that ran would be repeated.

        The connection closed in the middle of the answer.
        """
        for size in (1, 10, len(ANSWER) - 1):
            server = OneShotServer(1, ANSWER[:size])
            error = call(server.port)
            server.join()
            self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, error.verdict)

    def test_refusal_counts_only_with_the_not_run_header(self):
        """A call that ran would be repeated.

        An intermediary may answer 503 after the endpoint ran the call; only
        the endpoint's own header proves that it did not run.
        """
        # The server reads the whole call: closing with unread bytes resets
        # the connection, and the reset may overtake the answer.
        server = OneShotServer(READ_ALL_BYTES, REFUSAL)
        self.assertIs(verdicts.Verdict.NOT_RUN, call(server.port).verdict)
        server.join()
        plain = REFUSAL.replace(b"Not-Run: 1\r\n", b"")
        server = OneShotServer(READ_ALL_BYTES, plain)
        self.assertEqual(503, call(server.port))
        server.join()

    def test_only_not_run_may_be_retried(self):
        """A call that is not idempotent would run twice."""
        for progress in verdicts.Progress:
            verdict = verdicts.verdict_of(progress)
            sent = verdicts.Progress.SENT_IN_PART <= progress
            sure = progress is verdicts.Progress.REFUSED
            self.assertEqual(
                not sent or sure, verdicts.may_retry(verdict, False)
            )


if __name__ == "__main__":
    unittest.main()
