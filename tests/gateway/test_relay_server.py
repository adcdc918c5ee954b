"""Which tunnels a gateway opens for others."""

import contextlib
import socket
import types
import unittest

import anyio

from clementinewall.gateway import endpoint_path
from clementinewall.gateway import relay_server
from clementinewall.http1 import stream as streams
from clementinewall.http1 import tunnel
from standins import scripted

UPLOAD_BYTES = 3_000_000


class RelayServerTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that knows one endpoint."""

    def setUp(self):
        """Listen as the endpoint."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        path = types.SimpleNamespace(reach=endpoint_path.Reach.DIRECT)
        self.state = types.SimpleNamespace(path=path)
        self.is_connected = True
        self.server = relay_server.RelayServer(self)

    def at_address(self, address):
        """Return the state of the endpoint at an address."""
        return self.state if address == self.address else None

    async def connects_to_another(self, _state):
        """Tell whether the gateway connects to another endpoint."""
        return self.is_connected

    async def status(self, address):
        """Return the status of a request for a tunnel, 200 if it opens."""
        async with anyio.create_task_group() as group:
            with socket.create_server(("127.0.0.1", 0)) as probe:
                relay = "127.0.0.1:%d" % probe.getsockname()[1]
            listening = await streams.listen(relay, self.server.serve, group)
            try:
                stream = await tunnel.open_tunnel(relay, address, 1_000)
                stream.abort()
                return 200
            except tunnel.NotConnected as exc:
                return exc.status
            finally:
                listening.close()
                group.cancel_scope.cancel()

    async def test_a_reset_after_the_end_of_the_data_ends_the_tunnel(self):
        # Guards against a part of an answer without a length that looks whole
        # to the gateway at the other end.
        async with anyio.create_task_group() as group:
            with socket.create_server(("127.0.0.1", 0)) as probe:
                relay = "127.0.0.1:%d" % probe.getsockname()[1]
            listening = await streams.listen(relay, self.server.serve, group)
            stream = await tunnel.open_tunnel(relay, self.address, 1_000)
            endpoint, _ = await anyio.to_thread.run_sync(self.listener.accept)
            group.start_soon(self._upload, stream)
            await anyio.sleep(0.1)
            endpoint.sendall(b"part")
            endpoint.shutdown(socket.SHUT_WR)
            self.assertEqual(await stream.receive(), b"part")
            await anyio.sleep(0.1)
            endpoint.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, scripted.LINGER_NONE
            )
            endpoint.close()
            with self.assertRaises(anyio.BrokenResourceError):
                await stream.receive()
            listening.close()
            group.cancel_scope.cancel()

    async def _upload(self, stream):
        """Send what the endpoint does not read."""
        with contextlib.suppress(anyio.BrokenResourceError):
            await stream.send(bytes(UPLOAD_BYTES))

    async def test_a_tunnel_leads_to_a_known_endpoint(self):
        self.assertEqual(await self.status(self.address), 200)

    async def test_no_tunnel_leads_anywhere_else(self):
        # Guards against gateways as open proxies.
        with socket.create_server(("127.0.0.1", 0)) as other:
            address = "127.0.0.1:%d" % other.getsockname()[1]
            self.assertEqual(await self.status(address), tunnel.NOT_RELAYED)
            other.settimeout(0.1)
            with self.assertRaises(TimeoutError):
                other.accept()

    async def test_a_gateway_that_is_cut_off_itself_says_so(self):
        # Guards against loops, and against waits for a time-out.
        for reach in (
            endpoint_path.Reach.RELAYED,
            endpoint_path.Reach.NONE,
        ):
            self.state.path.reach = reach
            self.assertEqual(
                await self.status(self.address), tunnel.ENDPOINT_UNREACHED
            )

    async def test_an_endpoint_that_refuses_is_told_apart(self):
        self.listener.close()
        self.assertEqual(
            await self.status(self.address), tunnel.ENDPOINT_REFUSED
        )

    async def test_a_gateway_that_is_refused_everywhere_is_no_witness(self):
        # Guards against endpoints that look down because of a cut.
        self.listener.close()
        self.is_connected = False
        self.assertEqual(
            await self.status(self.address), tunnel.ENDPOINT_UNREACHED
        )

    async def test_a_gateway_that_drains_opens_none(self):
        # Guards against tunnels that end with the process.
        self.server.drain()
        self.assertEqual(await self.status(self.address), tunnel.NOT_RELAYED)

    async def test_the_number_of_tunnels_is_bounded(self):
        # Guards against a gateway without descriptors for its own callers.
        self.server._open_tunnels = relay_server.MAX_TUNNELS
        self.assertEqual(await self.status(self.address), tunnel.NOT_RELAYED)
