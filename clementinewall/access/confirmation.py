"""How a follower of the configuration learns and tells that it is current."""

import math

from clementinewall.access import freshness
from clementinewall.access import peer_clocks


class Confirmation:
    """Confirms the configuration by own reads and by those of others."""

    def __init__(self, found, clocks, ticker, has_customers):
        """Confirm ``found``, a :class:`Freshness`, by ``clocks``.

        While ``has_customers()`` is false, no key has to be known: nothing is
        read, and gateways compare no clocks, for the sake of it.
        """
        self._has_customers = has_customers
        self._freshness = found
        self._clocks = clocks
        self._clock = ticker

    def begin(self):
        """Return the time before the store is asked."""
        return self._clock.now_with_suspend()

    def record_read(self, begun_at):
        """Record an answer to a read that was begun at ``begun_at``."""
        self._freshness.confirm(begun_at)

    def reading(self, begun_at):
        """Return ``begun_at`` as other gateways can use it.

        It is ``None`` while nobody needs it.
        """
        if not self._has_customers():
            return None
        return self._clocks.reading(begun_at)

    def record_update(self, reading):
        """Record the read of another gateway that was begun at a reading."""
        if reading is None or not self._has_customers():
            return
        asked_at = self._clocks.earliest(peer_clocks.Reading(*reading))
        if asked_at is not None:
            self._freshness.confirm(asked_at)

    @property
    def own_read_due_ms(self):
        """Return after which time this gateway reads the store itself."""
        if not self._has_customers():
            return math.inf
        return self._freshness.own_read_due_ms

    @property
    def max_retry_ms(self):
        """Return after which time a read that fails is repeated at least."""
        if not self._has_customers():
            return math.inf
        return freshness.MAX_RETRY_MS
