"""Claims and releases of a steward that stops."""

import types
import unittest

import anyio

from clementinewall import _schema
from clementinewall import clock
from clementinewall.records import control
from clementinewall import settings
from clementinewall.steward import lease_manager


class SlowLog:
    """A log that answers the first append only when it is told to."""

    def __init__(self):
        """Start with an empty log."""
        self.records = []
        self.state = control.State()
        self.state.begin(0)
        self.may_answer = anyio.Event()

    async def append(self, _stream, record):
        """Append a record."""
        if not self.records:
            await self.may_answer.wait()
        self.state.apply(len(self.records), _schema.plain(record))
        self.records.append(record)

    async def wait_outcome(self, record_id, _limit_ms):
        """Return what became of a record."""
        return self.state.outcome_by_id[record_id]

    async def wait_change(self, limit_ms):
        """Wait, as if nothing changed."""
        await anyio.sleep(clock.seconds(limit_ms))


class Stop(unittest.TestCase):
    """A steward that releases its scopes at the end."""

    def test_no_scope_stays_claimed_by_a_steward_that_has_stopped(self):
        # Guards against scopes without orders until the lease of a process
        # that has ended expires.
        async def run():
            log = SlowLog()
            node = types.SimpleNamespace(
                id="i/steward",
                boot="b",
                clock=clock.ManualClock(1_000),
                log=log,
                tail=log,
                settings=types.SimpleNamespace(
                    leases=settings.Leases(),
                    listen=types.SimpleNamespace(control=""),
                ),
            )
            manager = lease_manager.LeaseManager(node)
            manager.set_scopes({"s1": 0, "s2": 0})
            async with anyio.create_task_group() as group:
                group.start_soon(manager.run)
                await anyio.sleep(0.01)
                async with anyio.create_task_group() as release:
                    release.start_soon(manager.release_all)
                    await anyio.sleep(0.01)
                    log.may_answer.set()
                # As long as a steward waits between the release and its end.
                await anyio.sleep(0.1)
                group.cancel_scope.cancel()
            return log.state.held_by_scope

        held_by_scope = anyio.run(run)
        self.assertEqual(
            [s for s, lease in held_by_scope.items() if not lease.released],
            [],
        )
