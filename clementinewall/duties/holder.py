"""Whether this gateway acts for all towards the platform.

A gateway that has begun goes on, so that the holder changes only with a loss
or a stop.  Others claim once the claim that stands was released, or has stayed
unchanged until it is certainly over; the later in line, the longer after.
"""

import anyio

from clementinewall import clock
from clementinewall.duties import candidates
from clementinewall.duties import lease
from clementinewall import errors
from clementinewall import logs
from clementinewall.platform import records

_log = logs.PartLog("duty")

HOLDER_KEY = "holder"
POLL_INTERVAL_MS = 500
# Before that the other gateways may not have been heard, and each one would
# take itself for the first in line.
FIRST_CLAIM_DELAY_MS = 3_000
# Each candidate leaves so much time to the one before it.
TAKEOVER_STEP_MS = 2_000
# Less than that for one whose claim stands: it renews at once, or it has
# restarted and claims nothing for now.
RENEWAL_STEP_MS = 1_000
# A lease that ends sooner is renewed before it is used.
MIN_LEFT_MS = 1_000
RELEASE_RETRY_MS = 1_000
# The store bills calls that it refuses too, so claims are tried again later
# and later.
CLAIM_RETRY_MS = 250
MAX_CLAIM_RETRY_MS = 2_000


class DutyHolder:
    """Keeps the lease of the duties while this gateway has them."""

    def __init__(self, settings, table, is_ready, ticker):
        """Be a candidate while ``is_ready()``; ``table`` has the peers."""
        self._own_ip = settings.ip
        self._table = table
        self._is_ready = is_ready
        self._clock = ticker
        self._started_at = ticker.now()
        self._lease = lease.Lease(
            settings, ticker, records.DUTIES_TOPIC, HOLDER_KEY
        )
        # A standby has to see a claim twice to know that it stands still.
        self._read_interval_ms = settings.bounds.usage_window_ms
        self._next_read = 0
        self._next_release = 0
        self._next_claim = 0
        self._claim_retry_ms = CLAIM_RETRY_MS
        self._vacant_since = None
        self._lock = anyio.Lock()

    @property
    def name(self):
        """Return the name by which this holder is known to others."""
        return self._own_ip

    @property
    def token(self):
        """Return the fencing token of the lease that is held."""
        return self._lease.token

    @property
    def value_by_key(self):
        """Return the values written under the lease, as last read."""
        return self._lease.value_by_key

    def is_held(self):
        """Return whether calls may be sent now."""
        return self._is_ready() and self._lease.is_held()

    def is_acting(self):
        """Return whether the claim that stands is this process's."""
        return (
            self._lease.has_unreleased_claim
            and not self._lease.is_claim_of_predecessor
        )

    def candidates(self):
        """Return the addresses of the gateways that may act."""
        return candidates.choose(
            self._own_ip, self._is_ready(), self._table.live()
        )

    def record_call(self):
        """Record that a call is sent, or may have been sent, now."""
        self._lease.record_order()

    async def run(self):
        """Poll until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))

    async def poll(self):
        """Release a lease that isn't needed; else look at the claim."""
        if self._own_ip not in self.candidates():
            self._vacant_since = None
            await self._release()
            return
        now = self._clock.now()
        if self.is_acting() or now < self._next_read:
            return
        if now - self._started_at < FIRST_CLAIM_DELAY_MS:
            return
        self._next_read = now + self._read_interval_ms
        try:
            async with self._lock:
                await self._lease.refresh()
        except errors.LogUnavailable as exc:
            _log.info("claim of the duties not read", why=exc.message)

    async def ensure(self):
        """Return whether calls may be sent for a second at least.

        A lease that isn't held is claimed, if it is this gateway's turn.  A
        gateway that is no candidate any more isn't told the counts of others.
        """
        async with self._lock:
            if self._own_ip not in self.candidates():
                return False
            if self.is_held() and self._lease.left_ms >= MIN_LEFT_MS:
                return True
            now = self._clock.now()
            if now < self._next_claim:
                return False
            if not self.is_acting() and not self._is_turn():
                return False
            try:
                held = await self._lease.renew()
            except errors.LogUnavailable as exc:
                _log.info("duties not claimed", why=exc.message)
                self._next_claim = self._clock.now() + self._claim_retry_ms
                self._claim_retry_ms = min(
                    MAX_CLAIM_RETRY_MS, 2 * self._claim_retry_ms
                )
                return False
            self._claim_retry_ms = CLAIM_RETRY_MS
            return held and self.is_held()

    async def write(self, key, value, previous):
        """Replace ``previous`` under the lease; return whether it was written.

        :raises LogUnavailable: it isn't known whether it was written.
        """
        async with self._lock:
            return await self._lease.write(key, value, previous)

    def _is_turn(self):
        """Return whether the lease may be claimed by this gateway now."""
        now = self._clock.now()
        ips = self.candidates()
        if self._own_ip not in ips or not self._table.is_complete:
            return False
        if now - self._started_at < self._first_claim_delay_ms(ips):
            return False
        wait_ms = self._lease.remaining_wait_ms
        if wait_ms is None or wait_ms > 0:
            self._vacant_since = None
            return False
        if self._vacant_since is None:
            self._vacant_since = now
        step_ms = sum(
            RENEWAL_STEP_MS if ip == self._lease.claimant else TAKEOVER_STEP_MS
            for ip in ips[: ips.index(self._own_ip)]
        )
        return now - self._vacant_since >= step_ms

    def _first_claim_delay_ms(self, ips):
        """Return how long after its start this process may claim.

        What earlier processes counted or were told is known to the other
        candidates only, so they are left time to claim first.
        """
        if len(ips) == 1 or not self._lease.has_seen_claim:
            return FIRST_CLAIM_DELAY_MS
        found = FIRST_CLAIM_DELAY_MS + self._read_interval_ms
        found += POLL_INTERVAL_MS
        if self._lease.claimant == self._own_ip:
            found += self._lease.takeover_wait_ms
        return found

    async def _release(self):
        now = self._clock.now()
        if not self._lease.has_unreleased_claim or now < self._next_release:
            return
        try:
            async with self._lock:
                await self._lease.release()
        except errors.LogUnavailable as exc:
            self._next_release = now + RELEASE_RETRY_MS
            _log.info("duties not released, will retry", why=exc.message)
