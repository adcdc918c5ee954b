"""The watchdog cancels long waits and names the side that caused them."""

import unittest

import anyio

from clementinewall import clock
from clementinewall.entry import watchdog


class WatchdogTest(unittest.TestCase):
    """A stream waits for its engine or for its caller."""

    def expire(self, what):
        """Return what expired when the wait for ``what`` never ends."""
        now = clock.ManualClock()
        watcher = watchdog.Watchdog(now.now)

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(watcher.run)
                with watcher.watch() as watch:
                    watch.wait_for(what, 500)
                    now.advance(501)
                    await anyio.sleep(30)
                group.cancel_scope.cancel()
            return watch.expired

        return anyio.run(run)

    def test_an_unresponsive_engine(self):
        """An engine keeps its connection open but sends nothing."""
        self.assertEqual(watchdog.ENGINE, self.expire(watchdog.ENGINE))

    def test_a_slow_caller(self):
        """A caller stops reading.

        If the engine were blamed, it would be excluded and the answer would
        resume for the same caller at another engine.
        """
        self.assertEqual(watchdog.CALLER, self.expire(watchdog.CALLER))

    def test_consecutive_waits_within_the_limit(self):
        """Each wait has its own limit; consecutive waits don't add up."""
        now = clock.ManualClock()
        watcher = watchdog.Watchdog(now.now)

        async def run():
            with watcher.watch() as watch:
                for _ in range(10):
                    watch.wait_for(watchdog.ENGINE, 500)
                    now.advance(400)
                    watch.check()
            return watch.expired

        self.assertIsNone(anyio.run(run))


if __name__ == "__main__":
    unittest.main()
