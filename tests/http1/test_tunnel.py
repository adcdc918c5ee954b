"""Tunnels: how their end differs from that of the endpoint's data."""

import socket
import unittest

import anyio

from clementinewall.http1 import tunnel

ENDPOINT = "10.0.1.1:80"


class TunnelTest(unittest.IsolatedAsyncioTestCase):
    """A tunnel whose relay is played by the test."""

    def setUp(self):
        """Listen as the relay."""
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.request = b""

    def accept(self, answer):
        """Accept one request for a tunnel and send ``answer``."""
        relay, _ = self.listener.accept()
        relay.settimeout(2)
        self.addCleanup(relay.close)
        while not self.request.endswith(b"\r\n\r\n"):
            self.request += relay.recv(1_000)
        relay.sendall(answer)
        return relay

    async def open(self, answer=b"HTTP/1.1 200 \r\n\r\n", limit_ms=2_000):
        """Return a tunnel and the relay's socket."""
        relay = None

        async def accept():
            nonlocal relay
            relay = await anyio.to_thread.run_sync(self.accept, answer)

        async with anyio.create_task_group() as group:
            group.start_soon(accept)
            stream = await tunnel.open_tunnel(self.address, ENDPOINT, limit_ms)
        return stream, relay

    async def test_an_address_that_cant_be_sent_is_a_failed_connection(self):
        # Guards against an error that ends the search for another way.
        for address in ("::1%\ufffd:80", "fe80::1% x:80", "10.0.0.1\r\n:80"):
            with self.subTest(address), self.assertRaises(OSError):
                await tunnel.open_tunnel(self.address, address, 2_000)

    async def test_bytes_pass_both_ways(self):
        stream, relay = await self.open()
        self.assertTrue(
            self.request.startswith(b"CONNECT 10.0.1.1:80 HTTP/1.1\r\n")
        )
        await stream.send(b"question")
        self.assertEqual(relay.recv(100), b"question")
        for data in (tunnel.frame(b"answer"), tunnel.frame(b"more")):
            relay.sendall(data[:3])
            relay.sendall(data[3:])
        self.assertEqual(await stream.receive(2_000), b"answer")
        self.assertEqual(await stream.receive(2_000), b"more")
        relay.sendall(tunnel.frame(b""))
        self.assertEqual(await stream.receive(2_000), b"")

    async def test_a_tunnel_that_ends_early_is_broken(self):
        # Guards against a cut answer without a length that looks complete.
        for sent in (b"", tunnel.frame(b"part")[:-1]):
            stream, relay = await self.open()
            relay.sendall(sent)
            relay.close()
            with self.assertRaises(anyio.BrokenResourceError):
                await stream.receive(2_000)

    async def test_a_pause_loses_no_bytes(self):
        stream, relay = await self.open()
        data = tunnel.frame(b"answer")
        relay.sendall(data[:6])
        with self.assertRaises(TimeoutError):
            await stream.receive(50)
        relay.sendall(data[6:])
        self.assertEqual(await stream.receive(2_000), b"answer")

    async def test_a_tunnel_with_bytes_that_nobody_asked_for_is_not_idle(self):
        # Guards against an answer to one request that another one gets.
        stream, relay = await self.open()
        self.assertTrue(stream.is_idle)
        relay.sendall(tunnel.frame(b"late")[:4])
        with self.assertRaises(TimeoutError):
            await stream.receive(50)
        self.assertFalse(stream.is_idle)

    async def test_a_gateway_that_lost_power_is_noticed(self):
        # Guards against tunnels that stay open without end.
        stream, _relay = await self.open()
        raw = stream.raw_socket
        self.assertTrue(raw.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE))
        self.assertEqual(
            raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
            tunnel.LOSS_TIMEOUT_MS,
        )

    async def test_a_refusal_tells_why(self):
        answer = b"HTTP/1.1 502 \r\nContent-Length: 0\r\n\r\n"
        with self.assertRaises(ExceptionGroup) as caught:
            await self.open(answer)
        [refused] = caught.exception.exceptions
        self.assertIsInstance(refused, tunnel.NotConnected)
        self.assertEqual(refused.status, tunnel.ENDPOINT_REFUSED)

    async def test_a_relay_that_is_no_gateway_is_an_error(self):
        for answer in (b"SSH-2.0\r\n\r\n", b""):
            with self.assertRaises(ExceptionGroup) as caught:
                self.request = b""
                await self.open(answer, 300)
            [refused] = caught.exception.exceptions
            self.assertIsInstance(refused, (OSError, TimeoutError))
