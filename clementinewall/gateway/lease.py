"""The lease that one gateway holds while it gives orders to engines.

The claim is a record in the platform's store, appended only if nothing was
appended since the claimant read the topic.  Its offset is the fencing token.
Engines here may ignore tokens, so time has to keep two holders apart as
well: a holder counts its lease from before it sent the claim, and another
gateway claims only after it has seen the same claim stand for the length of
the lease and a span in which no order may come from two holders.  A holder
that was paused notices by a clock that counts suspension too.
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
# Long enough for a report and an order to several engines in turn.
LEASE_MS = 4_000
# Beyond the span between two holders' orders that the deployment demands:
# for an order on its way, and for the drift of two clocks.
MARGIN_MS = 2_000
BOOT_BYTES = 6


class Held(typing.NamedTuple):
    """A lease: its token, and until when orders may be sent."""

    token: int
    end: clock.Millis


class _Seen(typing.NamedTuple):
    offset: int
    holder: str
    boot: str
    at: clock.Millis


class Lease:
    """Claims the lease for this process when asked."""

    def __init__(self, settings, ticker):
        """Use the store of the settings and a :class:`clock.Clock`."""
        self._store = store.Store(settings.store, ticker.now)
        self._clock = ticker
        self._holder = settings.ip
        self._boot = secrets.token_hex(BOOT_BYTES)
        self._wait_ms = LEASE_MS + settings.bounds.turn_ms + MARGIN_MS
        self._seen = None
        self._held = None
        self._waited_for = None

    def is_held(self):
        """Tell whether orders may be sent at this moment."""
        held = self._held
        return held is not None and self._clock.now_with_suspend() < held.end

    @property
    def token(self):
        """Return the fencing token of the lease that is held."""
        return self._held.token

    async def look(self):
        """Note which claim stands, so that its age is known when it matters.

        :raises LogUnavailable: the store doesn't answer.
        """
        batch = await self._store.newest(records.LEASES_TOPIC)
        self._look(_newest(batch.records))

    async def claim(self):
        """Try to get or renew the lease; return whether it is held.

        :raises LogUnavailable: the store doesn't answer.
        """
        batch = await self._store.newest(records.LEASES_TOPIC)
        newest = _newest(batch.records)
        self._look(newest)
        if not self._may_claim():
            self._note_wait()
            return False
        started = self._clock.now_with_suspend()
        value = json.dumps({"holder": self._holder, "boot": self._boot})
        offset = await self._store.append(
            records.LEASES_TOPIC, KEY, value.encode(), at=batch.end
        )
        if offset is None:
            _log.info("lease claimed by another gateway first", at=batch.end)
            return False
        self._held = Held(offset, started + LEASE_MS)
        _log.info("lease held", token=offset, for_ms=LEASE_MS)
        return self.is_held()

    def _look(self, record):
        """Note the claim that stands, and since when it is seen."""
        if record is None:
            self._seen = None
            return
        if self._seen is not None and self._seen.offset >= record.offset:
            return
        try:
            data = json.loads(record.value)
            holder, boot = str(data["holder"]), str(data["boot"])
        except (ValueError, KeyError, TypeError) as exc:
            _log.warning("unreadable claim", offset=record.offset, why=exc)
            holder = boot = ""
        self._seen = _Seen(record.offset, holder, boot, self._clock.now())
        _log.info(
            "claim seen",
            token=record.offset,
            holder=holder,
            is_own=boot == self._boot,
        )

    def _may_claim(self):
        seen = self._seen
        if seen is None or seen.boot == self._boot:
            return True
        return self._wait_left_ms() <= 0

    def _wait_left_ms(self):
        return self._seen.at + self._wait_ms - self._clock.now()

    def _note_wait(self):
        """Log, once for each claim, that it keeps this gateway waiting."""
        if self._waited_for == self._seen.offset:
            return
        self._waited_for = self._seen.offset
        _log.info(
            "waits for the claim of another holder to end",
            token=self._seen.offset,
            holder=self._seen.holder,
            left_ms=self._wait_left_ms(),
        )


def _newest(records):
    found = [record for record in records if record.key == KEY]
    return max(found, key=lambda record: record.offset, default=None)
