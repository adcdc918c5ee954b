"""Until when removed keys can't be mistaken for keys in force.

A gateway that doesn't reach the store doesn't learn of removed keys.  It may
serve requests with keys only for as long after its last confirmation that no
newer configuration exists as removed keys may be served.
"""

from clementinewall import errors
from clementinewall import logs

_log = logs.PartLog("keys")

# From this fraction of the bound on a gateway reads the store itself.  The
# rest of the bound is left for a read that has to be repeated.
OWN_READ_FRACTION = 0.6
# While that read fails it is repeated at least this often, so that callers
# are served again soon after the store is back.
MAX_RETRY_MS = 1_000
# Callers of a gateway that can't tell which keys are in force return later.
RETRY_AFTER_MS = 500
# For clocks that count whole milliseconds.
MARGIN_MS = 20


class Freshness:
    """As of when the configuration in force is known to be the newest."""

    def __init__(self, bounds, ticker):
        """Take the bound of revocation and a :class:`clock.Clock`."""
        self._limit_ms = bounds.revocation_ms
        self._propagation_ms = bounds.configuration_ms
        self._clock = ticker
        self._confirmed_at = None
        self._is_stale_logged = False

    @property
    def is_bounded(self):
        """Return whether the deployment bounds how long removed keys live."""
        return self._limit_ms is not None

    @property
    def age_ms(self):
        """Return how long ago the newest confirmation was asked for.

        It counts the time for which the machine was suspended, and is
        ``None`` before the first one.
        """
        if self._confirmed_at is None:
            return None
        return self._clock.now_with_suspend() - self._confirmed_at

    @property
    def is_current(self):
        """Return whether requests with keys may be served."""
        if not self.is_bounded:
            return True
        age_ms = self.age_ms
        return age_ms is not None and age_ms < self._limit_ms - MARGIN_MS

    @property
    def own_read_due_ms(self):
        """Return after which time the gateway reads the store itself."""
        if self.age_ms is None:
            return 0
        return max(0, self._limit_ms * OWN_READ_FRACTION - self.age_ms)

    def confirm(self, asked_at):
        """Record that nothing newer existed at ``asked_at`` or later.

        ``asked_at`` is a time of ``now_with_suspend``, before the store was
        asked.
        """
        if self._confirmed_at is None or asked_at > self._confirmed_at:
            self._confirmed_at = asked_at
        self._log_recovery()

    def check(self):
        """Refuse a request with a key while removed keys aren't known.

        :raises StaleKeys: the store wasn't reached for too long.
        """
        if self.is_current:
            return
        self.log_if_stale()
        raise _stale()

    def log_if_stale(self):
        """Log, once, that requests with keys are refused from now on."""
        if self._is_stale_logged or self.is_current:
            return
        self._is_stale_logged = True
        _log.warning(
            "requests with keys are refused until the store is reached",
            age_ms=self.age_ms,
            limit_ms=self._limit_ms,
        )

    def _log_recovery(self):
        if self._is_stale_logged and self.is_current:
            self._is_stale_logged = False
            _log.info("keys are known again", age_ms=self.age_ms)

    def check_unknown(self):
        """Refuse a request with an unknown key that may have been added.

        Its caller may come back, whereas a 401 is final.

        :raises StaleKeys: a newer configuration may be in force by now.
        """
        if not self.is_bounded:
            return
        age_ms = self.age_ms
        if age_ms is None or age_ms > self._propagation_ms:
            raise _stale()


def _stale():
    return errors.StaleKeys(
        "this instance can't tell which keys are in force",
        retry_after_ms=RETRY_AFTER_MS,
    )
