"""The watchdog ends waits that take too long and blames the right side."""

import unittest

import anyio

from clementinewall import clock
from clementinewall.entry import watchdog


class WatchdogTest(unittest.TestCase):
    """A stream waits for its engine or for its caller."""

    def expire(self, what):
        """Return what expired when the wait for ``what`` never ends."""
        now = clock.ManualClock()
        dog = watchdog.Watchdog(now.now)

        async def run():
            async with anyio.create_task_group() as group:
                group.start_soon(dog.run)
                with dog.watch() as watch:
                    watch.wait_for(what, 500)
                    now.advance(501)
                    await anyio.sleep(30)
                group.cancel_scope.cancel()
            return watch.expired

        return anyio.run(run)

    def test_a_silent_engine(self):
        """An engine keeps its connection open and says nothing."""
        self.assertEqual(watchdog.ENGINE, self.expire(watchdog.ENGINE))

    def test_a_slow_caller(self):
        """A caller stops reading.

        Blamed on the engine, it would be left out and the answer sent to
        the same caller from another one.
        """
        self.assertEqual(watchdog.CALLER, self.expire(watchdog.CALLER))

    def test_a_wait_within_its_limit(self):
        """Waits that follow one another are not added up."""
        now = clock.ManualClock()
        dog = watchdog.Watchdog(now.now)

        async def run():
            with dog.watch() as watch:
                for _ in range(10):
                    watch.wait_for(watchdog.ENGINE, 500)
                    now.advance(400)
                    watch.check()
            return watch.expired

        self.assertIsNone(anyio.run(run))


if __name__ == "__main__":
    unittest.main()
