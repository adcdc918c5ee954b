"""How often endpoints that are not reached directly are probed."""

import asyncio
import unittest

import anyio

from clementinewall import clock
from clementinewall.gateway import relays as relays_module

ENDPOINTS = 48


class _Path:
    """An endpoint whose probes take some time."""

    def __init__(self, test, needs_search=True):
        self._test = test
        self.is_direct = False
        self.needs_search = needs_search

    async def probe(self, may_search):
        """Count the probe; tell whether it found the endpoint."""
        test = self._test
        test.probed.append(self)
        test.searches += may_search
        test.running += 1
        test.most_running = max(test.most_running, test.running)
        await anyio.sleep(0.02)
        test.running -= 1
        self.is_direct = test.is_whole
        return self.is_direct


class ProbesTest(unittest.IsolatedAsyncioTestCase):
    """A gateway that is cut off from many endpoints."""

    def setUp(self):
        """Probe nothing yet."""
        self.tasks = []
        self.probed = []
        self.searches = 0
        self.running = self.most_running = 0
        self.is_whole = False
        self.search_interval_ms = 0
        self.probes = relays_module.Probes(
            self.start, lambda: self.search_interval_ms, clock.Clock().now
        )

    def start(self, function):
        """Run a function until the test ends."""
        self.tasks.append(asyncio.create_task(function()))

    async def asyncTearDown(self):
        """End the probes."""
        for task in self.tasks:
            task.cancel()

    def add(self, count, needs_search=True):
        """Be cut off from so many endpoints."""
        for _ in range(count):
            self.probes.add(_Path(self, needs_search))

    async def test_the_rate_of_probes_does_not_grow_with_the_endpoints(self):
        # Guards against a cut that keeps processors and endpoints busy.
        self.add(ENDPOINTS)
        await anyio.sleep(1.1)
        most = 1.1 * 1_000 / relays_module.PROBE_INTERVAL_MS
        self.assertLessEqual(
            len(self.probed), most * relays_module.MAX_PROBES_PER_INTERVAL + 1
        )
        self.assertEqual(len(set(self.probed)), len(self.probed))

    async def test_one_endpoint_is_probed_at_the_interval(self):
        self.add(1)
        await anyio.sleep(1.3)
        self.assertIn(len(self.probed), (2, 3))

    async def test_all_are_probed_soon_after_one_is_reached(self):
        # Guards against detours that last for a turn of all endpoints.
        self.add(ENDPOINTS)
        self.is_whole = True
        with anyio.fail_after(1.5):
            while not self.probes.is_idle:
                await anyio.sleep(0.02)
        self.assertEqual(len(self.probed), ENDPOINTS)
        self.assertLessEqual(
            self.most_running, relays_module.MAX_PROBES_AT_ONCE + 1
        )

    async def test_a_probe_that_fails_unexpectedly_does_not_end_the_others(
        self,
    ):
        # Guards against an endpoint that is never reached directly again.
        broken = _Path(self)
        broken.probe = None
        self.probes.add(broken)
        self.add(3)
        await anyio.sleep(0.6)
        self.is_whole = True
        await anyio.sleep(0.6)
        broken.is_direct = True
        with anyio.fail_after(2):
            while not self.probes.is_idle:
                await anyio.sleep(0.02)
        self.assertTrue(all(path.is_direct for path in self.probed))

    async def test_endpoints_with_a_way_take_no_turn_of_searches(self):
        # Guards against one unreached endpoint among many that are relayed.
        self.search_interval_ms = 400
        self.add(20, needs_search=False)
        await anyio.sleep(0.6)
        self.assertEqual(self.searches, 0)
        self.probes._waiting.appendleft(_Path(self))
        await anyio.sleep(0.3)
        self.assertEqual(self.searches, 1)

    async def test_searches_wait_for_their_interval(self):
        # Guards against a data centre whose gateways all ask all others.
        self.search_interval_ms = 10_000
        self.add(ENDPOINTS)
        await anyio.sleep(1)
        self.assertEqual(self.searches, 0)
        self.search_interval_ms = 0
        await anyio.sleep(0.5)
        self.assertGreater(self.searches, 0)
