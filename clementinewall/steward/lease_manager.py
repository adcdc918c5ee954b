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
POLL_INTERVAL_MS = 200
FAILURE_BACKOFF_MS = 500
READ_BACK_TIMEOUT_MS = 3_000


class LeaseManager:
    """Claims and renews the leases on the scopes set by ``set_scopes``."""

    def __init__(self, node):
        """Use the node's log and state."""
        self._node = node
        self._leases = node.settings.leases
        self.table = leases.LeaseTable(self._leases, node.boot, node.clock.now)
        self._claim_delay_by_scope = {}
        self._last_failure = None
        self._next_renewal_at = 0
        self._is_stopping = False
        # Held while records are committed, whose outcome is not yet known.
        self._committing = anyio.Lock()

    def set_scopes(self, claim_delay_by_scope):
        """Set the scopes to hold, each with its claim delay in ms."""
        self._claim_delay_by_scope = dict(claim_delay_by_scope)

    def holds(self, scope):
        """Tell whether the lease is long enough to send an order now."""
        return self.table.may_order(scope)

    async def run(self):
        """Claim, renew and release scopes until :meth:`release_all`."""
        while not self._is_stopping:
            self.table.observe(self._node.tail.state)
            try:
                async with self._committing:
                    await self._renew()
                    await self._release_unwanted()
                    await self._claim()
                self._last_failure = None
            except errors.ClementinewallError as exc:
                await self._back_off(exc)
            await self._node.tail.wait_change(POLL_INTERVAL_MS)
            self.table.observe(self._node.tail.state)

    async def _back_off(self, exc):
        """Log a repeated failure once, and wait before the next attempt."""
        if exc.message != self._last_failure:
            _log.warning(
                "lease records could not be committed; retrying",
                error=exc.message,
            )
        self._last_failure = exc.message
        await anyio.sleep(clock.seconds(FAILURE_BACKOFF_MS))

    async def release_all(self):
        """Release every scope, so that others need not wait for expiry."""
        self._is_stopping = True
        self._claim_delay_by_scope = {}
        # A claim on its way would take effect after the release.
        with anyio.move_on_after(clock.seconds(READ_BACK_TIMEOUT_MS)) as scope:
            async with self._committing:
                pass
        if scope.cancelled_caught:
            _log.warning("a claim may be on its way; it will expire")
        claims = self._own_claims()
        if not claims:
            return
        record = control.Release(_new_id(), claims)
        try:
            await self._node.log.append(control.STREAM, record)
        except errors.ClementinewallError as exc:
            _log.warning(
                "leases not released; they will expire", error=exc.message
            )

    def _own_claims(self):
        return {
            scope: self.table.fence(scope) for scope in self.table.own_scopes()
        }

    async def _renew(self):
        claims = self._own_claims()
        now = self._node.clock.now()
        if not claims or now < self._next_renewal_at:
            return
        own = self._node
        record = control.Renewal(_new_id(), own.id, own.boot, claims)
        await self._commit(record)
        self._next_renewal_at = now + self._leases.renew_ms

    async def _release_unwanted(self):
        claims = {
            scope: fence
            for scope, fence in self._own_claims().items()
            if scope not in self._claim_delay_by_scope
        }
        if claims:
            await self._commit(control.Release(_new_id(), claims))

    async def _claim(self):
        for scope, delay_ms in list(self._claim_delay_by_scope.items()):
            if self._is_stopping:
                return
            expected = self.table.challenge(scope, delay_ms)
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
                _log.info(
                    "claim rejected by the log",
                    scope=scope,
                    why=outcome.reason,
                )
                jitter_ms = random.uniform(0, POLL_INTERVAL_MS)
                await anyio.sleep(clock.seconds(jitter_ms))

    async def _commit(self, record):
        """Append the record and return its outcome as read back.

        An append whose answer was lost is not repeated: if it took effect, the
        record is read back; otherwise the next pass appends a new one.

        :raises AppendUnknown: the record was not read back in time.
        """
        self.table.record_sent(record.id)
        try:
            await self._node.log.append(control.STREAM, record)
        except errors.AppendUnknown:
            _log.debug("append not answered; reading it back", id=record.id)
        outcome = await self._node.tail.wait_outcome(
            record.id, READ_BACK_TIMEOUT_MS
        )
        self.table.observe(self._node.tail.state)
        return outcome


def _new_id():
    return secrets.token_hex(ID_BYTES)
