""" "Not run" is true: verdicts at every place where an attempt can fail."""

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
# More than any call here: the server reads until nothing more comes.
WHOLE_CALL = 100_000


class OneShotServer:
    """Accepts one connection, reads so much, answers so much, closes."""

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
        """Wait for the end and return the bytes that were read."""
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
    """Where an attempt breaks decides what is said of it."""

    def test_nobody_listens(self):
        """The endpoint is gone; nothing reached it."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        self.assertIs(verdicts.Verdict.NOT_RUN, call(port).verdict)

    def test_broken_off_after_any_number_of_bytes(self):
        """The endpoint read a part or all of the call and then died.

        It may have acted on what it read, so "not run" would be a lie.
        """
        for read in (0, 1, 40, 150, 100_000):
            server = OneShotServer(read, b"")
            error = call(server.port)
            server.join()
            self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, error.verdict, read)

    def test_the_answer_is_cut(self):
        """The call ran; its answer broke off in the middle."""
        for size in (1, 10, len(ANSWER) - 1):
            server = OneShotServer(1, ANSWER[:size])
            error = call(server.port)
            server.join()
            self.assertIs(verdicts.Verdict.MAY_HAVE_RUN, error.verdict)

    def test_a_refusal_needs_the_endpoints_own_mark(self):
        """Only the mark proves it: anything between may answer 503."""
        # The server reads the whole call: closing with unread bytes resets
        # the connection, and the reset may overtake the answer.
        server = OneShotServer(WHOLE_CALL, REFUSAL)
        self.assertIs(verdicts.Verdict.NOT_RUN, call(server.port).verdict)
        server.join()
        plain = REFUSAL.replace(b"Not-Run: 1\r\n", b"")
        server = OneShotServer(WHOLE_CALL, plain)
        self.assertEqual(503, call(server.port))
        server.join()

    def test_only_not_run_may_be_tried_again(self):
        """The rule for a call that is not idempotent."""
        for progress in verdicts.Progress:
            verdict = verdicts.verdict_of(progress)
            sent = verdicts.Progress.SENT_IN_PART <= progress
            sure = progress is verdicts.Progress.REFUSED
            self.assertEqual(
                not sent or sure, verdicts.may_retry(verdict, False)
            )


if __name__ == "__main__":
    unittest.main()
