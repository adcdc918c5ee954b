"""How a gateway serves the connections of its callers."""

import socket
import types
import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import callers
from clementinewall.gateway import draining
from clementinewall.gateway import fleet_view
from clementinewall.gateway import program
from clementinewall.gateway import relay_server
from clementinewall.http1 import messages
from clementinewall.http1 import server
from clementinewall.http1 import stream as streams

GRACE_MS = 2_500
ANSWER_MS = 400
SUSPENDED_MS = 1_800
REQUEST = (
    b"POST /book/x HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: a1\r\n\r\n"
)
ROUTE = domain.Route(
    name="book",
    host="shop.example",
    prefix="/book/",
    kind="unsafe",
    shares=(domain.Share("app", 1.0),),
    timeout_ms=500,
    goal_ms=100,
    gap_goal_ms=100,
    priority=0,
    max_attempts=1,
    resumable=False,
)


class FakeStream:
    """A connection whose peer has sent ``data`` and waits for an answer."""

    def __init__(self, data):
        """Start with unread bytes."""
        self._data = data
        self._may_wait = True
        self.answer = b""
        self.is_closed = False

    @property
    def has_bytes(self):
        """Tell whether there are unread bytes."""
        return bool(self._data)

    def stop_waiting(self):
        """Make ``receive`` time out once all bytes were read."""
        self._may_wait = False

    def set_close_callback(self, _callback):
        """Accept a callback; the peer never closes."""

    async def receive(self, _limit_ms=None):
        """Return all unread bytes."""
        if not self._data:
            if not self._may_wait:
                raise TimeoutError
            await anyio.sleep_forever()
        data, self._data = self._data, b""
        return data

    async def send(self, data):
        """Keep the answer."""
        self.answer += data

    def close(self):
        """Close the connection."""
        self.is_closed = True


def stopped_callers():
    """Return the component for callers after it has stopped reading."""
    found = callers.Callers(
        fleet_view=fleet_view.FleetView(lambda: 0),
        freshness=None,
        budgets=None,
        plain=None,
        streams=None,
        drain=types.SimpleNamespace(is_on=True),
        now=lambda: 0,
    )
    found.stop_reading()
    return found


class EndOfReading(unittest.TestCase):
    """A connection that was accepted just before the process ends."""

    def serve(self, data):
        """Serve a connection whose peer has sent ``data``."""
        stream = FakeStream(data)

        async def run():
            with anyio.fail_after(2):
                await stopped_callers().serve(stream)

        anyio.run(run)
        self.assertTrue(stream.is_closed)
        return stream.answer

    def test_request_that_was_received_is_refused(self):
        # Guards against a request that the end of the process cuts off.
        answer = self.serve(REQUEST)
        self.assertIn(b" 503 ", answer.split(b"\r\n")[0])
        self.assertIn(b"this instance stops", answer)

    def test_idle_connection_is_closed(self):
        # Guards against a process that waits for a caller at its end.
        self.assertEqual(self.serve(b""), b"")


class SuspendableClock(clock.Clock):
    """The real clock, plus time that the machine was suspended."""

    def __init__(self):
        """Start without a suspension."""
        self.suspended_ms = 0

    def now_with_suspend(self):
        """Return the time with the suspensions so far."""
        return super().now_with_suspend() + self.suspended_ms


class SlowEndpoint:
    """Takes the place of the relay of plain calls."""

    def __init__(self, took_ms):
        """Answer after ``took_ms``."""
        self.took_ms = took_ms
        self.requests = 0

    async def run(self, exchange):
        """Answer the call."""
        self.requests += 1
        exchange.sends += 1
        await anyio.sleep(clock.seconds(self.took_ms))
        await exchange.connection.answer(
            messages.Head(200, b"OK", ()), b"done"
        )


class Stop(unittest.TestCase):
    """A gateway's drain with one connection of a caller."""

    def setUp(self):
        """Create the parts of a gateway that take part in a drain."""
        self.ticker = SuspendableClock()
        self.endpoint = SlowEndpoint(ANSWER_MS)
        self.fleet_view = types.SimpleNamespace(limits=server.Limits())
        self.use_route(ROUTE)
        self.callers = callers.Callers(
            self.fleet_view,
            None,
            types.SimpleNamespace(count_request=lambda service: None),
            self.endpoint,
            None,
            draining.Drain(self.ticker),
            self.ticker.now,
        )
        self.gateway = program.Gateway.__new__(program.Gateway)
        self.gateway._settings = types.SimpleNamespace(
            bounds=domain.Bounds(grace_ms=GRACE_MS)
        )
        self.gateway._now_with_suspend = self.ticker.now_with_suspend
        self.gateway._callers = self.callers
        self.gateway._duties = None
        self.gateway._relay_server = relay_server.RelayServer(None)

    def use_route(self, route):
        """Put a configuration with one route in force."""
        self.fleet_view.configuration = domain.Configuration(
            1,
            {route.host: (route,)},
            {"app": domain.Service("app", None)},
            server.Limits(),
        )

    async def connection(self):
        """Return a connection whose request has arrived, and its caller."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = "127.0.0.1:%d" % listener.getsockname()[1]
            stream = await streams.connect(address, 1_000)
            caller, _ = listener.accept()
        self.addCleanup(caller.close)
        caller.settimeout(2)
        caller.sendall(REQUEST)
        with anyio.fail_after(2):
            while stream.is_idle:
                await anyio.sleep(0)
        return stream, caller

    def check_answered(self, caller):
        """Check that the caller got an answer or a refusal."""
        status = caller.recv(65_536).partition(b" ")[2][:3]
        self.assertIn(status, (b"200", b"503", b"504"))

    async def suspend_in_drain(self):
        """Suspend the machine in a drain with an open request."""
        stream, caller = await self.connection()
        listener = types.SimpleNamespace(close=lambda: None)
        async with anyio.create_task_group() as group:
            group.start_soon(self.callers.serve, stream)
            with anyio.fail_after(2):
                while not self.endpoint.requests:
                    await anyio.sleep(0)
            async with anyio.create_task_group() as drain:
                drain.start_soon(self.gateway._drain, listener, [])
                await anyio.sleep(0.2)
                self.ticker.suspended_ms = SUSPENDED_MS
            group.cancel_scope.cancel()
        return caller

    def test_drain_that_a_suspension_shortens_answers_open_requests(self):
        # Guards against a lost request: its time limit does not run while the
        # machine is suspended, whereas the end of the process does.
        self.endpoint.took_ms = 10_000
        self.use_route(ROUTE._replace(timeout_ms=20_000))
        self.check_answered(anyio.run(self.suspend_in_drain))
