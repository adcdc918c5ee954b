"""Listeners on addresses that are not available yet."""

import socket
import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.gateway import datagrams
from clementinewall.gateway import listening
from clementinewall.http1 import stream as streams

FREE_AFTER_SECONDS = 0.3


async def open_tcp(port):
    """Open and close a TCP listener."""
    async with anyio.create_task_group() as group:

        async def open_listener():
            return await streams.listen(f"127.0.0.1:{port}", None, group)

        listener = await listening.open_when_available(
            open_listener, clock.Clock().now
        )
        listener.close()


async def open_udp(port):
    """Open and close a socket for datagrams."""
    found = await listening.open_when_available(
        lambda: datagrams.open_socket("127.0.0.1", port, None),
        clock.Clock().now,
    )
    found.close()


class Listening(unittest.TestCase):
    """An address that another socket holds."""

    def check_opened(self, kind, open_one):
        """Check that a port is opened once its holder has closed it."""
        with socket.socket(socket.AF_INET, kind) as holder:
            holder.bind(("127.0.0.1", 0))
            if kind == socket.SOCK_STREAM:
                holder.listen()
            port = holder.getsockname()[1]

            async def run():
                async with anyio.create_task_group() as group:
                    group.start_soon(open_one, port)
                    await anyio.sleep(FREE_AFTER_SECONDS)
                    holder.close()

            anyio.run(run)

    def test_a_tcp_port_is_waited_for(self):
        # Guards against processes that end because the one before is late.
        self.check_opened(socket.SOCK_STREAM, open_tcp)

    def test_a_udp_port_is_waited_for(self):
        # Guards against processes that end because the one before is late.
        self.check_opened(socket.SOCK_DGRAM, open_udp)

    def test_an_address_that_stays_unavailable_fails(self):
        with (
            mock.patch.object(listening, "PATIENCE_MS", 200),
            self.assertRaises(errors.SettingsError),
        ):
            # No interface of this machine has an address of this block.
            anyio.run(
                listening.open_when_available,
                lambda: datagrams.open_socket("192.0.2.1", 9, None),
                clock.Clock().now,
            )

    def test_an_address_that_cannot_be_used_fails_at_once(self):
        tries = []

        async def open_listener():
            tries.append(1)
            raise errors.SettingsError("no") from PermissionError(13, "no")

        with self.assertRaises(errors.SettingsError):
            anyio.run(
                listening.open_when_available,
                open_listener,
                clock.Clock().now,
            )
        self.assertEqual(len(tries), 1)


if __name__ == "__main__":
    unittest.main()
