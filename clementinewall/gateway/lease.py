"""The lease that an instance holds while its gateway orders engines.

A claim is a record in the platform's store, appended only if nothing was
appended since the claimant read the topic.  Its offset is the fencing token.
Engines may ignore fencing tokens, so time has to separate two holders as
well: a holder counts its lease from before it sent the claim, and releases it
in the store once its last order can no longer overlap with an order of the
next holder.  Expiry is checked on a clock that also advances during
suspension, so a holder that was suspended notices that its lease expired.

An unreleased claim belongs to a process that is running or has ended.
Another instance claims only after it has seen the same claim unchanged for
the duration of the lease plus the interval that must separate orders of two
holders.  The instance itself needn't wait, as only its newest process runs.
"""

import json
import secrets
import typing

from clementinewall import clock
from clementinewall import logs
from clementinewall.platform import records
from clementinewall.platform import store

_log = logs.PartLog("lease")

KEY = "stages"
# Covers the answer to the claim, a report and an order.
LEASE_MS = 2_000
# Added to the interval that the deployment demands between orders of two
# holders: covers an order in transit and the drift between two clocks.
MARGIN_MS = 2_000
BOOT_ID_BYTES = 6


class HeldLease(typing.NamedTuple):
    """A lease: its fencing token, and until when orders may be sent."""

    token: int
    end: clock.Millis


class _SeenClaim(typing.NamedTuple):
    """The newest record of the topic, and when it was first seen."""

    offset: int
    holder: str
    boot_id: str
    is_released: bool
    at: clock.Millis


class Lease:
    """Claims the lease for this process when asked."""

    def __init__(self, settings, ticker):
        """Use the store of the settings and a :class:`clock.Clock`."""
        self._store = store.Store(settings.store, ticker.now)
        self._clock = ticker
        self._holder = settings.ip
        self._boot_id = secrets.token_hex(BOOT_ID_BYTES)
        self._order_interval_ms = settings.bounds.order_interval_ms
        self._takeover_wait_ms = LEASE_MS + self._order_interval_ms + MARGIN_MS
        self._latest_claim = None
        self._held = None
        self._logged_wait_for = None
        # Offset of the claim that this instance has to release.
        self._unreleased_claim = None
        self._last_order_at = None

    def is_held(self):
        """Return whether orders may be sent now."""
        held = self._held
        return held is not None and self._clock.now_with_suspend() < held.end

    @property
    def token(self):
        """Return the fencing token of the lease that is held."""
        return self._held.token

    @property
    def has_unreleased_claim(self):
        """Return whether a claim of this instance makes others wait."""
        return self._unreleased_claim is not None

    def record_order(self):
        """Record that an order is sent, or may have been sent, now."""
        self._last_order_at = self._clock.now_with_suspend()

    async def refresh(self):
        """Record the newest claim, so that its age is known when needed.

        :raises LogUnavailable: the store doesn't answer.
        """
        batch = await self._store.newest(records.LEASES_TOPIC)
        self._record_claim(_newest_claim(batch.records))

    async def claim(self):
        """Try to get or renew the lease; return whether it is held.

        :raises LogUnavailable: the store doesn't answer.
        """
        batch = await self._store.newest(records.LEASES_TOPIC)
        newest = _newest_claim(batch.records)
        self._record_claim(newest)
        if not self._may_claim():
            self._log_wait()
            return False
        started = self._clock.now_with_suspend()
        offset = await self._store.append(
            records.LEASES_TOPIC, KEY, self._encode(False), at=batch.end
        )
        if offset is None:
            _log.info(
                "lease not claimed, another gateway was first", at=batch.end
            )
            return False
        self._held = HeldLease(offset, started + LEASE_MS)
        self._unreleased_claim = offset
        _log.info("lease held", token=offset, for_ms=LEASE_MS)
        return self.is_held()

    async def release(self):
        """Release the claim, unless an order was sent too recently.

        :raises LogUnavailable: it isn't known whether it was released.
        """
        if self._unreleased_claim is None or not self._is_release_safe():
            return
        # A release without an answer may still be written later, so no order
        # may be sent after it.
        self._held = None
        claim = self._unreleased_claim
        offset = await self._store.append(
            records.LEASES_TOPIC, KEY, self._encode(True), at=claim + 1
        )
        self._unreleased_claim = None
        if offset is not None:
            _log.info("lease released", token=claim)

    def _encode(self, is_released):
        value = {
            "holder": self._holder,
            "boot": self._boot_id,
            "released": is_released,
        }
        return json.dumps(value).encode()

    def _is_release_safe(self):
        """Return whether the last order is old enough for a new holder."""
        if self._last_order_at is None:
            return True
        apart_ms = self._order_interval_ms + MARGIN_MS
        return self._clock.now_with_suspend() >= self._last_order_at + apart_ms

    def _record_claim(self, record):
        """Record the newest claim and when it was first seen."""
        if record is None:
            self._latest_claim = None
            return
        if (
            self._latest_claim is not None
            and self._latest_claim.offset >= record.offset
        ):
            return
        seen = self._decode(record)
        self._latest_claim = seen
        _log.info(
            "new claim in the store",
            token=seen.offset,
            holder=seen.holder,
            released=seen.is_released,
            is_own=seen.boot_id == self._boot_id,
        )
        if seen.holder != self._holder or seen.is_released:
            self._unreleased_claim = None
            return
        # A claim whose answer was lost makes others wait as well.
        self._unreleased_claim = seen.offset
        if seen.boot_id != self._boot_id:
            # The previous process may have sent an order just before it ended.
            self.record_order()

    def _decode(self, record):
        now = self._clock.now()
        try:
            data = json.loads(record.value)
            return _SeenClaim(
                record.offset,
                str(data["holder"]),
                str(data["boot"]),
                data.get("released") is True,
                now,
            )
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            _log.warning(
                "unreadable claim, waiting until it has expired",
                offset=record.offset,
                why=exc,
            )
            return _SeenClaim(record.offset, "", "", False, now)

    def _may_claim(self):
        seen = self._latest_claim
        if seen is None or seen.is_released or seen.holder == self._holder:
            return True
        return self._remaining_wait_ms() <= 0

    def _remaining_wait_ms(self):
        return (
            self._latest_claim.at + self._takeover_wait_ms - self._clock.now()
        )

    def _log_wait(self):
        """Log, once for each claim, that this gateway waits for its end."""
        if self._logged_wait_for == self._latest_claim.offset:
            return
        self._logged_wait_for = self._latest_claim.offset
        _log.info(
            "waits for the claim of another holder to end",
            token=self._latest_claim.offset,
            holder=self._latest_claim.holder,
            left_ms=self._remaining_wait_ms(),
        )


def _newest_claim(records):
    found = [record for record in records if record.key == KEY]
    return max(found, key=lambda record: record.offset, default=None)
