"""The task that claims, renews and releases scopes in the log."""

import random
import secrets

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall.records import control
from clementinewall.steward import leases

_log = logs.PartLog("lease")

ID_BYTES = 8
TICK_MS = 200
FAILURE_PAUSE_MS = 500
READ_BACK_MS = 3_000


class LeaseManager:
    """Holds the scopes that this process wants, as far as others let it."""

    def __init__(self, node):
        """Use the node's log and state."""
        self._node = node
        self._leases = node.settings.leases
        self.table = leases.LeaseTable(self._leases, node.boot, node.clock.now)
        self._patience_by_scope = {}
        self._failure = None
        self._renew_at = 0

    def want(self, patience_by_scope):
        """Set which scopes to hold, with the patience before a claim."""
        self._patience_by_scope = dict(patience_by_scope)

    def holds(self, scope):
        """Tell whether an order in the scope may be sent now."""
        return self.table.may_order(scope)

    async def run(self):
        """Claim and renew for ever."""
        while True:
            self.table.observe(self._node.tail.state)
            try:
                await self._renew()
                await self._give_back()
                await self._claim()
                self._failure = None
            except errors.ClementinewallError as exc:
                await self._after_failure(exc)
            await self._node.tail.wait_change(TICK_MS)
            self.table.observe(self._node.tail.state)

    async def _after_failure(self, exc):
        """Say a failure once, and spare a log that is in trouble."""
        if exc.message != self._failure:
            _log.warning("the log did not answer", error=exc.message)
        self._failure = exc.message
        await anyio.sleep(clock.seconds(FAILURE_PAUSE_MS))

    async def release_all(self):
        """Give up every scope, so that others need not wait."""
        self._patience_by_scope = {}
        claims = self._own_claims()
        if not claims:
            return
        record = control.Release(_new_id(), claims)
        try:
            await self._node.log.append(control.STREAM, record)
        except errors.ClementinewallError as exc:
            _log.warning("the release was not sent", error=exc.message)

    def _own_claims(self):
        return {
            scope: self.table.fence(scope) for scope in self.table.own_scopes()
        }

    async def _renew(self):
        claims = self._own_claims()
        now = self._node.clock.now()
        if not claims or now < self._renew_at:
            return
        own = self._node
        record = control.Renewal(_new_id(), own.id, own.boot, claims)
        await self._commit(record)
        self._renew_at = now + self._leases.renew_ms

    async def _give_back(self):
        claims = {
            scope: fence
            for scope, fence in self._own_claims().items()
            if scope not in self._patience_by_scope
        }
        if claims:
            await self._commit(control.Release(_new_id(), claims))

    async def _claim(self):
        for scope, patience in list(self._patience_by_scope.items()):
            expected = self.table.challenge(scope, patience)
            if expected is None:
                continue
            own = self._node
            record = control.Claim(
                _new_id(),
                scope,
                own.id,
                own.boot,
                own.settings.listen.control,
                *expected,
            )
            outcome = await self._commit(record)
            if outcome.valid:
                _log.info("claimed", scope=scope, fence=outcome.offset)
            else:
                _log.info("lost a claim", scope=scope, why=outcome.reason)
                spread = random.uniform(0, TICK_MS)
                await anyio.sleep(clock.seconds(spread))

    async def _commit(self, record):
        """Append the record and return its outcome as read back.

        An append whose answer was lost is not repeated: the record is read
        back if it took effect, and otherwise the next round makes a new one.
        """
        self.table.sending(record.id)
        try:
            await self._node.log.append(control.STREAM, record)
        except errors.AppendUnknown:
            _log.debug("an append got no answer", id=record.id)
        outcome = await self._node.tail.wait_outcome(record.id, READ_BACK_MS)
        self.table.observe(self._node.tail.state)
        return outcome


def _new_id():
    return secrets.token_hex(ID_BYTES)
