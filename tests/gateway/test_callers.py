"""How a gateway serves the connections of its callers."""

import types
import unittest

import anyio

from clementinewall.gateway import callers
from clementinewall.gateway import fleet_view

REQUEST = b"POST /book/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: a1\r\n\r\n"


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
        budgets=None,
        crash_guard=None,
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
