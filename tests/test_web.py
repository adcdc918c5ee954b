"""The HTTP server of entries and stewards."""

import unittest

import anyio

from clementinewall import _web
from standins import bringup


class Serve(unittest.TestCase):
    """How ``serve`` ends."""

    def test_cancelling_with_an_open_request_raises_no_other_error(self):
        address = bringup.address()
        host, _, port = address.rpartition(":")

        async def main():
            stop = anyio.Event()
            arrived = anyio.Event()

            async def app(scope, _receive, _send):
                if scope["type"] == "http":
                    arrived.set()
                    await anyio.sleep_forever()

            async with anyio.create_task_group() as group:
                group.start_soon(_web.serve, app, address, stop)
                stream = await self.connect(host, int(port))
                async with stream:
                    await stream.send(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
                    await arrived.wait()
                    stop.set()
                    await anyio.sleep(0.1)
                    group.cancel_scope.cancel()

        anyio.run(main)

    async def connect(self, host, port):
        """Return a connection, as soon as somebody listens."""
        with anyio.fail_after(10):
            while True:
                try:
                    return await anyio.connect_tcp(host, port)
                except OSError:
                    await anyio.sleep(0.01)
