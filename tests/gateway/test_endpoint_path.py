"""What a gateway makes of an endpoint that it can't connect to."""

import asyncio
import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall.gateway import endpoint_path
from clementinewall.gateway import relays as relays_module
from clementinewall.policy import silence

ADDRESS = "10.0.1.1:1"
Reach = endpoint_path.Reach
Condition = endpoint_path.Condition


class _Stream:
    """A connection that stays open, unless it is reset."""

    def __init__(self, relay_ip=None, is_reset=False):
        self.relay_ip = relay_ip
        self._is_reset = is_reset

    async def receive(self, _limit_ms):
        """Time out, or fail as a connection that was reset does."""
        if self._is_reset:
            raise anyio.BrokenResourceError
        raise TimeoutError

    def abort(self):
        """Close."""


class _Relays:
    """Gateways that reach the endpoint, or not."""

    def __init__(self):
        self.outcome = None
        self.asked = 0
        self.available_ips = {"10.0.0.2"}
        self.tasks = []
        self.probes = relays_module.Probes(
            self.start, lambda: 0, clock.Clock().now
        )

    def start(self, function):
        """Run a function until the test ends."""
        self.tasks.append(asyncio.create_task(function()))

    def is_available(self, ip, _address):
        """Tell whether a gateway may carry tunnels."""
        return ip in self.available_ips

    async def connect(self, _address):
        """Return a tunnel, or fail as the test wants."""
        self.asked += 1
        await anyio.sleep(0)
        if self.outcome is None:
            return _Stream("10.0.0.2")
        raise self.outcome


REFUSED_BY_ALL = relays_module.Unreached(True, True)
UNREACHED_BY_ALL = relays_module.Unreached(False, True)
NOBODY_ANSWERS = relays_module.Unreached(False, False)


class PathTest(unittest.IsolatedAsyncioTestCase):
    """A gateway and one endpoint."""

    def setUp(self):
        """Reach the endpoint by no direct way until a test says otherwise."""
        self.clock = clock.ManualClock(10_000)
        self.relays = _Relays()
        self.direct = TimeoutError()
        patch = mock.patch.object(
            endpoint_path.streams, "connect", self.connect_directly
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.start()

    def start(self):
        """Know the endpoint anew."""
        self.changes = []
        self.path = endpoint_path.EndpointPath(
            ADDRESS,
            200,
            self.relays,
            lambda before, after, _ms: self.changes.append((before, after)),
            self.clock.now,
        )

    async def asyncTearDown(self):
        """End the probes."""
        for task in self.relays.tasks:
            task.cancel()

    async def connect_directly(self, _address, _limit_ms):
        """Return a connection, or fail as the test wants."""
        await anyio.sleep(0)
        if isinstance(self.direct, Exception):
            raise self.direct
        return self.direct

    async def test_an_endpoint_that_others_reach_is_relayed(self):
        for failure in (TimeoutError(), ConnectionRefusedError()):
            self.start()
            self.direct = failure
            stream = await self.path.connect()
            self.assertEqual(stream.relay_ip, "10.0.0.2")
            self.assertIs(self.path.reach, Reach.RELAYED)
            self.assertTrue(self.path.is_current(stream))
            # Connections from before may hang.
            self.assertFalse(self.path.is_current(_Stream()))

    async def test_a_tunnel_of_a_gateway_that_stops_is_not_used_again(self):
        # Guards against requests on a connection that is about to end.
        stream = await self.path.connect()
        self.relays.available_ips.clear()
        self.assertFalse(self.path.is_current(stream))

    async def test_an_endpoint_that_refuses_everybody_is_absent(self):
        # Guards against a detour to endpoints that are down.
        self.relays.outcome = REFUSED_BY_ALL
        for failure in (TimeoutError(), ConnectionRefusedError()):
            self.direct = failure
            with self.assertRaises(ConnectionRefusedError):
                await self.path.connect()
        self.assertIs(self.path.reach, Reach.DIRECT)

    async def test_without_other_gateways_a_refusal_tells_enough(self):
        self.relays.outcome = NOBODY_ANSWERS
        self.direct = ConnectionRefusedError()
        with self.assertRaises(ConnectionRefusedError):
            await self.path.connect()
        self.assertIs(await self.path.check(), Condition.REFUSING)

    async def test_an_endpoint_counts_as_unreached_after_a_pause(self):
        # Guards against refusals while all sound engines pause.
        self.relays.outcome = UNREACHED_BY_ALL
        with self.assertRaises(TimeoutError):
            await self.path.connect()
        self.assertIs(self.path.reach, Reach.NONE)
        self.assertFalse(self.path.is_unreached)
        self.clock.advance(silence.SOUND_SILENCE_MS)
        self.assertTrue(self.path.is_unreached)

    async def test_others_are_not_asked_by_each_request(self):
        # Guards against requests that wait for all other gateways.
        self.relays.outcome = UNREACHED_BY_ALL
        for _ in range(5):
            with self.assertRaises(TimeoutError):
                await self.path.connect()
        self.assertEqual(self.relays.asked, 1)

    async def test_a_connection_that_is_reset_at_once_is_no_way(self):
        # Guards against links that accept and then reset connections.
        self.direct = _Stream(is_reset=True)
        self.assertIs(await self.path.check(), Condition.ACCEPTING)
        self.assertIs(self.path.reach, Reach.RELAYED)

    async def test_only_one_check_runs_at_a_time(self):
        # Guards against a connection for each of many broken requests.
        self.relays.outcome = REFUSED_BY_ALL
        found = []

        async def check():
            found.append(await self.path.check())

        async with anyio.create_task_group() as group:
            for _ in range(20):
                group.start_soon(check)
        self.assertEqual(set(found), {Condition.REFUSING})
        self.assertEqual(self.relays.asked, 1)

    async def test_a_check_outlives_the_request_that_asked_for_it(self):
        # Guards against crashes without a record when a caller leaves.
        self.relays.outcome = REFUSED_BY_ALL
        with anyio.CancelScope() as scope:
            scope.cancel()
            await self.path.check()
        self.assertIs(await self.path.check(), Condition.REFUSING)

    async def test_it_goes_directly_again_after_the_cut(self):
        await self.path.connect()
        self.direct = _Stream()
        with anyio.fail_after(2):
            while self.path.reach is not Reach.DIRECT:
                await anyio.sleep(0.05)
        self.assertEqual(
            self.changes,
            [
                (Reach.DIRECT, Reach.RELAYED),
                (Reach.RELAYED, Reach.DIRECT),
            ],
        )

    async def test_an_unreached_endpoint_is_searched_for_if_that_is_due(self):
        # Guards against endpoints that stay unreached after the cut of others.
        self.relays.outcome = UNREACHED_BY_ALL
        with self.assertRaises(TimeoutError):
            await self.path.connect()
        self.relays.outcome = None
        self.relays.asked = 0
        self.assertFalse(await self.path.probe(may_search=False))
        self.assertEqual(self.relays.asked, 0)
        self.assertTrue(await self.path.probe(may_search=True))
        self.assertIs(self.path.reach, Reach.RELAYED)
        self.assertFalse(await self.path.probe(may_search=True))
        self.assertEqual(self.relays.asked, 1)

    async def test_an_endpoint_that_is_gone_is_not_probed(self):
        # Guards against tasks that never end.
        await self.path.connect()
        self.path.forget()
        with anyio.fail_after(2):
            while not self.relays.probes.is_idle:
                await anyio.sleep(0.05)

    async def test_an_endpoint_whose_record_comes_back_is_relayed_again(self):
        # Guards against a cut that outlasts the lapse of a record.
        await self.path.connect()
        self.path.forget()
        stream = await self.path.connect()
        self.assertEqual(stream.relay_ip, "10.0.0.2")
        self.assertIs(self.path.reach, Reach.RELAYED)

    async def test_a_silent_endpoint_is_checked_while_it_is_relayed(self):
        # Guards against a gateway that carries tunnels and is cut off itself.
        await self.path.connect()
        self.assertTrue(self.path.is_check_due)
        await self.path.check()
        self.assertFalse(self.path.is_check_due)
