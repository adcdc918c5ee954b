"""How long a lease on a scope lasts, judged on this process's clock alone.

The log decides who holds a scope; this table decides until when a holder
may rely on it and when a challenger may try.  A holder counts from before
it sent the renewal that it later read back.  A challenger counts from when
it saw the last renewal, which is later, and waits for the lease, a margin
for the drift of the two clocks, and the time an order may take.  No two
clocks are ever compared.
"""

import collections
import typing

SENT_LIMIT = 256


class _Seen(typing.NamedTuple):
    held: typing.Any
    at: int


class LeaseTable:
    """What this process saw of every scope, and what it sent itself."""

    def __init__(self, leases, boot, now):
        """Take the lease settings, the own boot id and the clock."""
        self._leases = leases
        self._boot = boot
        self._now = now
        self._seen_by_scope = {}
        self._sent_by_id = collections.OrderedDict()
        self._offset_by_id = {}
        self._first_seen_by_scope = {}

    def sending(self, record_id):
        """Note that a claim or renewal is about to be sent."""
        self._sent_by_id[record_id] = self._now()
        while len(self._sent_by_id) > SENT_LIMIT:
            self._sent_by_id.popitem(last=False)

    def observe(self, state):
        """Take in what the fold of the log says now."""
        now = self._now()
        for scope, held in state.held_by_scope.items():
            seen = self._seen_by_scope.get(scope)
            if seen is None or seen.held != held:
                self._seen_by_scope[scope] = _Seen(held, now)
        self._offset_by_id = {
            record_id: state.outcome_by_id[record_id].offset
            for record_id in self._sent_by_id
            if record_id in state.outcome_by_id
        }

    def is_own(self, scope):
        """Tell whether the log says that this process holds the scope."""
        seen = self._seen_by_scope.get(scope)
        return (
            seen is not None
            and seen.held.boot == self._boot
            and not seen.held.released
        )

    def own_scopes(self):
        """Return the scopes that the log gives to this process."""
        return sorted(s for s in self._seen_by_scope if self.is_own(s))

    def fence(self, scope):
        """Return the fencing token for orders in the scope."""
        return self._seen_by_scope[scope].held.offset

    def left_ms(self, scope):
        """Return how long the own lease lasts; nothing left gives 0."""
        if not self.is_own(scope):
            return 0
        renewed = self._seen_by_scope[scope].held.renewed
        for record_id, sent in self._sent_by_id.items():
            if self._offset_by_id.get(record_id) == renewed:
                left = sent + self._leases.lease_ms - self._now()
                return max(0, left)
        return 0

    def may_order(self, scope):
        """Tell whether an order sent now ends well inside the lease."""
        leases = self._leases
        needed = leases.order_timeout_ms + leases.margin_ms
        return self.left_ms(scope) > needed

    def is_current(self, scope, fence):
        """Tell whether a claim is in force as far as is seen from here.

        This is the second check of an order, made by another process than
        the holder: the claim must stand and have been renewed lately.
        """
        seen = self._seen_by_scope.get(scope)
        if seen is None or seen.held.released or seen.held.offset != fence:
            return False
        return self._now() - seen.at < self._leases.lease_ms

    def challenge(self, scope, patience_ms=0):
        """Return ``(expects, after)`` for a claim, or ``None`` to wait.

        ``patience_ms`` is an extra wait by which better placed processes
        come first.
        """
        now = self._now()
        first = self._first_seen_by_scope.setdefault(scope, now)
        seen = self._seen_by_scope.get(scope)
        if seen is None:
            return (-1, -1) if now - first >= patience_ms else None
        expects = (seen.held.offset, seen.held.renewed)
        if seen.held.released:
            return expects if now - seen.at >= patience_ms else None
        if seen.held.boot == self._boot:
            return None
        leases = self._leases
        wait = leases.lease_ms + leases.margin_ms + leases.order_timeout_ms
        return expects if now - seen.at >= wait + patience_ms else None
