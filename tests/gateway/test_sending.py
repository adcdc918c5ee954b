"""Requests to one endpoint over connections that are used again."""

import threading
import time
import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import endpoint_state
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import request_limits
from clementinewall.gateway import sending
from clementinewall.http1 import messages
from clementinewall.platform import cache_calls
from clementinewall.platform import calls
from standins import scripted
from tests.gateway import test_endpoints

LIMIT_SECONDS = 10
LATE_SECONDS = 0.1
MAX_BYTES = 10_000
TOLD = (
    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\nContent-Length: 2\r\n\r\n{}"
)
REFUSED = (
    b"HTTP/1.1 429 X\r\nNot-Executed: 1\r\nKeep-Alive: timeout=30\r\n"
    b"Content-Length: 0\r\n\r\n"
)
ROUTE = domain.Route(
    "r", "h", "/", domain.STREAM, (), 3_000, 400, 200, 0, 2, False
)


def call(attempt):
    """Return a caller's request."""
    return calls.decode(
        messages.Request(
            b"POST",
            b"/x",
            ((b"Host", b"h"), (b"Attempt-Id", attempt.encode())),
        )
    )


class EndpointCase(unittest.TestCase):
    """One endpoint, whose connections stay open."""

    def setUp(self):
        """Start it."""
        self.ran = []
        # Each connection has a thread.
        self.connection = threading.local()
        self.endpoint = scripted.Endpoint(self.answer_request)
        self.addCleanup(self.endpoint.close)
        self.endpoint.cache_script = self.answer_cache_call
        ticker = clock.Clock()
        self.now = ticker.now
        self.state = endpoint_state.EndpointState(
            test_endpoints.ENGINE._replace(address=self.endpoint.address),
            ticker.now,
            request_limits.RequestLimits(ticker.now),
        )

    def answer_request(self, _endpoint, request):
        """Run a request."""
        attempt = request.header_by_name["attempt-id"]
        self.ran.append(attempt)
        data = scripted.answer(
            request, attempt.encode(), Keep_Alive="timeout=30"
        )
        self.connection.last_answer = data
        yield data

    def answer_cache_call(self, _endpoint, request):
        """Answer a call for the cache after what was answered last."""
        last = getattr(self.connection, "last_answer", None)
        if last is not None:
            yield last
            # Unlike a step, this goes on when the connection is closed.
            time.sleep(LATE_SECONDS)
            yield REFUSED
            return
        self.connection.last_answer = TOLD
        yield TOLD

    def run_async(self, test):
        """Run a coroutine function within the time limit."""

        async def limited():
            with anyio.fail_after(LIMIT_SECONDS):
                await test()

        anyio.run(limited)

    def exchange(self, attempt):
        """Return the state of a new request."""
        return exchanges.Exchange(None, call(attempt), ROUTE, None, self.now)

    async def ask(self, attempt, exchange=None):
        """Send a request; return its answer's body, or why it failed."""
        exchange = exchange or self.exchange(attempt)
        request = calls.run_request(exchange.call, self.state.endpoint, 1_000)
        try:
            async with sending.send(
                exchange, self.state, request, self.now
            ) as sent:
                return (await sent.read_all()).decode()
        except exchanges.AttemptFailed as exc:
            return exc

    async def ask_for_changes(self):
        """Send a call for the changes of the cache; return the status."""
        head, _body = await self.state.send_request(
            cache_calls.cache_changes_request(0, 0), MAX_BYTES
        )
        return head.status


class OwnCalls(EndpointCase):
    """Calls of the gateway's own beside requests of callers."""

    def test_a_second_answer_to_a_request_answers_no_own_call(self):
        # Guards against the true answer to that call, which comes later and
        # would be taken for the answer to the next request.
        async def test():
            self.assertEqual(await self.ask("a1"), "a1")
            self.assertEqual(await self.ask_for_changes(), 200)
            self.assertEqual(await self.ask("a2"), "a2")

        self.run_async(test)
        self.assertEqual(self.ran, ["a1", "a2"])

    def test_a_second_answer_to_an_own_call_answers_no_request(self):
        # Guards against the answer to a second call, which comes later and
        # would be taken for the answer to the next request.
        async def test():
            self.assertEqual(await self.ask_for_changes(), 200)
            self.assertEqual(await self.ask_for_changes(), 200)
            self.assertEqual(await self.ask("a1"), "a1")

        self.run_async(test)
        self.assertEqual(self.ran, ["a1"])

    def test_own_calls_reuse_their_connection(self):
        # Guards against a connection for each poll of an engine's cache.
        self.endpoint.cache_script = lambda _endpoint, _request: iter([TOLD])

        async def test():
            for _ in range(3):
                await self.ask_for_changes()
            await self.ask("a1")
            await self.ask("a2")

        self.run_async(test)
        self.assertEqual(self.endpoint.connections, 2)


class RepeatedSends(EndpointCase):
    """Several requests of one exchange to one endpoint."""

    def answer_request(self, _endpoint, request):
        """Answer with a number; a second copy comes late."""
        attempt = request.header_by_name["attempt-id"]
        self.ran.append(attempt)
        last = getattr(self.connection, "last_answer", None)
        if last is not None:
            yield last
        number = f"{attempt} {self.ran.count(attempt)}"
        data = scripted.answer(
            request, number.encode(), Keep_Alive="timeout=30"
        )
        self.connection.last_answer = data
        yield data

    def test_a_second_answer_to_a_prefill_answers_no_repeat_of_it(self):
        # Guards against the handle of an earlier prefill of the prompt, and
        # the answer to the repeat that is due on its connection.
        async def test():
            exchange = self.exchange("a1")
            for number in (1, 2, 3):
                body = await self.ask("a1", exchange)
                self.assertEqual(body, f"a1 {number}")

        self.run_async(test)

    def test_connections_are_reused_for_other_requests(self):
        async def test():
            for number in (1, 2, 3):
                self.assertEqual(await self.ask(f"a{number}"), f"a{number} 1")

        self.run_async(test)
        # The first one ends with the second answer that comes on it.
        self.assertEqual(self.endpoint.connections, 2)
