"""Expiry of leases on scopes, judged by this process's clock alone.

The log decides who holds a scope; this table decides until when the holder
may rely on its lease and from when a challenger may claim the scope.  The
holder's lease starts just before it sent the renewal that it later read
back.  A challenger starts from when it read the last renewal, which is
later, and waits for the lease, a margin for clock drift, and the time an
order may take.  Clocks of different processes are never compared.
"""

import collections
import typing

MAX_SENT_RECORDS = 256


class _Observation(typing.NamedTuple):
    lease: typing.Any
    at: int


class LeaseTable:
    """The leases read from the log, and when own records were sent."""

    def __init__(self, leases, boot, now):
        """Take the lease settings, the own boot id and the clock."""
        self._leases = leases
        self._boot = boot
        self._now = now
        self._observation_by_scope = {}
        self._sent_by_id = collections.OrderedDict()
        self._offset_by_id = {}
        self._first_seen_by_scope = {}

    def record_sent(self, record_id):
        """Record that a claim or renewal is about to be sent."""
        self._sent_by_id[record_id] = self._now()
        while len(self._sent_by_id) > MAX_SENT_RECORDS:
            self._sent_by_id.popitem(last=False)

    def observe(self, state):
        """Update the table from the current state of the control stream."""
        now = self._now()
        for scope, lease in state.held_by_scope.items():
            observation = self._observation_by_scope.get(scope)
            if observation is None or observation.lease != lease:
                self._observation_by_scope[scope] = _Observation(lease, now)
        self._offset_by_id = {
            record_id: state.outcome_by_id[record_id].offset
            for record_id in self._sent_by_id
            if record_id in state.outcome_by_id
        }

    def is_own(self, scope):
        """Tell whether this process holds the scope according to the log."""
        observation = self._observation_by_scope.get(scope)
        return (
            observation is not None
            and observation.lease.boot == self._boot
            and not observation.lease.released
        )

    def own_scopes(self):
        """Return the scopes that this process holds, sorted."""
        return sorted(s for s in self._observation_by_scope if self.is_own(s))

    def fence(self, scope):
        """Return the fencing token for orders in the scope."""
        return self._observation_by_scope[scope].lease.offset

    def remaining_ms(self, scope):
        """Return the remaining time of the own lease; 0 once expired."""
        if not self.is_own(scope):
            return 0
        renewed = self._observation_by_scope[scope].lease.renewed
        for record_id, sent in self._sent_by_id.items():
            if self._offset_by_id.get(record_id) == renewed:
                left = sent + self._leases.lease_ms - self._now()
                return max(0, left)
        return 0

    def may_order(self, scope):
        """Tell whether an order sent now would end before the lease does."""
        leases = self._leases
        needed = leases.order_timeout_ms + leases.margin_ms
        return self.remaining_ms(scope) > needed

    def is_current(self, scope, fence):
        """Tell whether a claim is current as far as this process has read.

        A steward other than the holder uses this to check an order: the
        claim must not be replaced or released, and its last renewal must
        have been read within the lease time.
        """
        observation = self._observation_by_scope.get(scope)
        if (
            observation is None
            or observation.lease.released
            or observation.lease.offset != fence
        ):
            return False
        return self._now() - observation.at < self._leases.lease_ms

    def challenge(self, scope, patience_ms=0):
        """Return ``(expects, after)`` for a claim, or ``None`` to wait.

        ``patience_ms`` is added to the wait, so that preferred processes claim
        first.
        """
        now = self._now()
        first = self._first_seen_by_scope.setdefault(scope, now)
        observation = self._observation_by_scope.get(scope)
        if observation is None:
            return (-1, -1) if now - first >= patience_ms else None
        expects = (observation.lease.offset, observation.lease.renewed)
        if observation.lease.released:
            return expects if now - observation.at >= patience_ms else None
        if observation.lease.boot == self._boot:
            return None
        leases = self._leases
        wait = leases.lease_ms + leases.margin_ms + leases.order_timeout_ms
        return expects if now - observation.at >= wait + patience_ms else None
