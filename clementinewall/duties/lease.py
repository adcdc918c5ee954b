"""The lease that an instance holds while its gateway acts for all.

Engine orders and the duties towards the platform each have a lease of their
own, in a topic of their own.

A claim is a record in the platform's store, appended only if nothing was
appended since the claimant read the topic.  Its offset is the fencing token.
Who is called may ignore fencing tokens, so time has to separate two holders as
well: a holder counts its lease from before it sent the claim, and releases it
in the store once its last call can no longer overlap with one of the next
holder.  Expiry is checked on a clock that also advances during
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

STAGES_KEY = "stages"
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

    def __init__(
        self, settings, ticker, topic=records.LEASES_TOPIC, key=STAGES_KEY
    ):
        """Claim ``key`` of ``topic`` in the store of the settings.

        ``ticker`` is a :class:`clock.Clock`.
        """
        self._store = store.Store(settings.store, ticker.now)
        self._topic = topic
        self._key = key
        self._clock = ticker
        self._holder = settings.ip
        self._boot_id = secrets.token_hex(BOOT_ID_BYTES)
        self._order_interval_ms = settings.bounds.order_interval_ms
        self._takeover_wait_ms = LEASE_MS + self._order_interval_ms + MARGIN_MS
        self._latest_claim = None
        self._is_read = False
        self._held = None
        self._logged_wait_for = None
        # Offset of the claim that this instance has to release.
        self._unreleased_claim = None
        # Where the topic ends after the last record of this holder, ``None``
        # if that isn't known.
        self._end = None
        self._last_order_at = None
        # The newest other values of the topic, as last read.
        self.value_by_key = {}

    def is_held(self):
        """Return whether orders may be sent now."""
        held = self._held
        return held is not None and self._clock.now_with_suspend() < held.end

    @property
    def left_ms(self):
        """Return for how long the lease that was held last is still held."""
        return self._held.end - self._clock.now_with_suspend()

    @property
    def token(self):
        """Return the fencing token of the lease that is held."""
        return self._held.token

    @property
    def has_unreleased_claim(self):
        """Return whether a claim of this instance makes others wait."""
        return self._unreleased_claim is not None

    @property
    def takeover_wait_ms(self):
        """Return for how long an unreleased claim makes others wait."""
        return self._takeover_wait_ms

    @property
    def has_seen_claim(self):
        """Return whether there was a claim, released or not, as last read."""
        return self._latest_claim is not None

    @property
    def claimant(self):
        """Return who holds the claim that stands unreleased, or ``None``."""
        seen = self._latest_claim
        return None if seen is None or seen.is_released else seen.holder

    @property
    def is_claim_of_predecessor(self):
        """Return whether an earlier process of this instance claimed last."""
        seen = self._latest_claim
        return (
            seen is not None
            and seen.offset == self._unreleased_claim
            and seen.boot_id != self._boot_id
        )

    @property
    def remaining_wait_ms(self):
        """Return the ms after which the lease may be claimed, as last read.

        It is ``None`` before the first read.
        """
        if not self._is_read:
            return None
        if self._may_claim():
            return 0
        return self._remaining_wait_ms()

    def record_order(self):
        """Record that an order is sent, or may have been sent, now."""
        self._last_order_at = self._clock.now_with_suspend()

    async def refresh(self):
        """Record the newest claim, so that its age is known when needed.

        :raises LogUnavailable: the store doesn't answer.
        """
        await self._read()

    async def _read(self):
        """Read the newest claim and values; return where the topic ends."""
        batch = await self._store.newest(self._topic)
        self._is_read = True
        found = [r for r in batch.records if r.key == self._key]
        self._record_claim(max(found, key=lambda r: r.offset, default=None))
        self.value_by_key = {
            record.key: record.value
            for record in batch.records
            if record.key != self._key
        }
        if self._unreleased_claim is not None:
            self._end = batch.end
        return batch.end

    async def claim(self):
        """Try to get or renew the lease; return whether it is held.

        :raises LogUnavailable: the store doesn't answer.
        """
        end = await self._read()
        if not self._may_claim():
            self._log_wait()
            return False
        return await self._claim_at(end)

    async def renew(self):
        """Get the lease for longer; return whether it is held.

        Where nobody else wrote since the last record of this holder, that
        takes one call instead of two.

        :raises LogUnavailable: the store doesn't answer.
        """
        if self._end is None or self._unreleased_claim is None:
            return await self.claim()
        return await self._claim_at(self._end)

    async def _claim_at(self, end):
        started = self._clock.now_with_suspend()
        offset = await self._append(self._key, self._encode(False), end)
        if offset is None:
            _log.info("lease not claimed, another gateway was first", at=end)
            return False
        self._held = HeldLease(offset, started + LEASE_MS)
        self._unreleased_claim = offset
        _log.info("lease held", token=offset, for_ms=LEASE_MS)
        return self.is_held()

    async def write(self, key, value, previous):
        """Replace the newest value of a key; return whether it was written.

        It is written only if no other gateway has claimed the lease since
        the last record of this holder, however long the call takes, and if
        the value was ``previous`` when last read (``None``: none): a claim
        in the meantime may have read what another holder wrote.

        :raises LogUnavailable: it isn't known whether it was written.
        """
        if not self.is_held() or self._end is None:
            return False
        if self.value_by_key.get(key) != previous:
            return False
        offset = await self._append(key, value, self._end)
        if offset is None:
            self._held = None
            _log.info("value not written, the lease was claimed", key=key)
            return False
        self.value_by_key[key] = value
        return True

    async def _append(self, key, value, end):
        """Append a record where the topic has to end; return its offset."""
        # Without an answer the record may be there or come later.
        self._end = None
        offset = await self._store.append(self._topic, key, value, at=end)
        if offset is not None:
            self._end = offset + 1
        return offset

    async def release(self):
        """Release the claim, unless an order was sent too recently.

        :raises LogUnavailable: it isn't known whether it was released.
        """
        if self._unreleased_claim is None or not self._is_release_safe():
            return
        # A release without an answer may still be written later, so no order
        # may be sent after it.
        self._held = None
        if self._end is None:
            await self._read()
        claim = self._unreleased_claim
        if claim is None:
            return
        offset = await self._append(self._key, self._encode(True), self._end)
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
        except records.DECODE_ERRORS as exc:
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
