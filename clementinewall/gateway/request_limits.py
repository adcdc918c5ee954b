"""The request limits that endpoints name, and this gateway's share of them.

A gateway hears of a limit by an answer to a request of its own, or from
another gateway.  Of two statements about an endpoint the later one holds.  The
shares of :mod:`clementinewall.policy.request_limit` follow from the gateways
that share an endpoint: those of its cell for an engine, all for a service.
Views of these differ for a while when gateways start or stop, so a share that
grows is used only after :data:`GROWTH_DELAY_MS`.
"""

import math
import typing

from clementinewall import logs
from clementinewall.membership import members
from clementinewall import metrics
from clementinewall.policy import request_limit

_log = logs.PartLog("limit")

GROWTH_DELAY_MS = 3_000
# Statements are passed on while they are younger, and kept that long if they
# say that there is no limit any more.
SPREAD_MS = 5_000
# Without any statement for so long, a limit counts as forgotten.
RETENTION_MS = 600_000
# Ages are passed on without the time on the way, so a peer's statement has to
# be newer by this to replace one.
MIN_NEWER_MS = 100
MAX_ROWS = 64
MAX_LIMITS = 4_000


class Group(typing.NamedTuple):
    """The gateways that share an endpoint.

    ``ips`` are those known now, ``size`` is how many there may be, and
    ``is_member`` tells whether this gateway is one of them.
    """

    ips: frozenset[str]
    size: int
    is_member: bool


class _Limit:
    """What is known of the limit of one incarnation of an endpoint."""

    def __init__(self, now):
        self.per_second = None
        self.stated_at = now
        # When this gateway used its share last.
        self.used_at = now
        # The time between two uses, ``None`` until the share is known.
        self.interval_ms = None
        self.may_grow_at = now
        # The share as computed last, and for which group.
        self.share_ms = None
        self.group = None

    def apply_interval(self, interval_ms, now):
        """Apply a share: a smaller one at once, a larger one if it lasts."""
        if self.interval_ms is None or interval_ms >= self.interval_ms:
            self.may_grow_at = now + GROWTH_DELAY_MS
        elif now < self.may_grow_at:
            return
        self.interval_ms = interval_ms


class RequestLimits:
    """The limits of all endpoints, by incarnation."""

    def __init__(self, now):
        """Know no limit, and no other gateway; ``now`` returns ms."""
        self._own_ip = ""
        self._now = now
        self._limit_by_incarnation = {}
        self._find_group = _only_own

    def share_with(self, own_ip, find_group):
        """Share limits with the :class:`Group` of ``find_group(endpoint)``."""
        self._own_ip = own_ip
        self._find_group = find_group

    def per_second(self, endpoint):
        """Return the limit that an endpoint named, ``None`` without one."""
        limit = self._limit_by_incarnation.get(endpoint.incarnation_key)
        return limit and limit.per_second

    def wait_ms(self, endpoint):
        """Return after which time this gateway may use an endpoint."""
        limit = self._limit_by_incarnation.get(endpoint.incarnation_key)
        if limit is None or limit.per_second is None:
            return 0
        interval_ms = limit.interval_ms
        if interval_ms is None:
            interval_ms = request_limit.EXCLUDED_INTERVAL_MS
        return max(0, limit.used_at + interval_ms - self._now())

    def message(self):
        """Return the latest statements as plain data, for peers."""
        now = self._now()
        recent = [
            (now - limit.stated_at, key, limit.per_second)
            for key, limit in self._limit_by_incarnation.items()
            if now - limit.stated_at < SPREAD_MS
        ]
        recent.sort(key=lambda row: row[0])
        return [
            [*key, per_second, age_ms]
            for age_ms, key, per_second in recent[:MAX_ROWS]
        ]

    def record(self, endpoint, per_second):
        """Record what an endpoint says now; ``None`` is no limit."""
        key = endpoint.incarnation_key
        if per_second is None and key not in self._limit_by_incarnation:
            return
        self._apply(key, per_second, self._now(), "own")
        limit = self._limit_by_incarnation.get(key)
        if limit is not None and limit.interval_ms is None:
            self._update_share(endpoint, limit)

    def merge(self, rows):
        """Merge the statements that a peer passes on.

        :raises TypeError, ValueError, OverflowError: if malformed.
        """
        for endpoint_id, incarnation, address, per_second, age_ms in rows:
            if per_second is not None and not 0 <= per_second < math.inf:
                raise ValueError(f"limit of {endpoint_id!r}: {per_second!r}")
            key = str(endpoint_id), int(incarnation), str(address)
            stated_at = self._now() - max(0, int(age_ms)) - MIN_NEWER_MS
            self._apply(key, per_second, stated_at, "peer")

    def use(self, endpoint):
        """Count a request that is sent to an endpoint, or soon will be."""
        limit = self._limit_by_incarnation.get(endpoint.incarnation_key)
        if limit is not None:
            limit.used_at = self._now()

    def sweep(self, endpoint_by_id):
        """Forget old statements and update the shares of known endpoints."""
        now = self._now()
        for key, limit in list(self._limit_by_incarnation.items()):
            is_over = limit.per_second is None
            kept_ms = SPREAD_MS if is_over else RETENTION_MS
            if now - limit.stated_at > kept_ms:
                del self._limit_by_incarnation[key]
                continue
            endpoint = endpoint_by_id.get(key[0])
            if endpoint is not None and endpoint.incarnation_key == key:
                self._update_share(endpoint, limit)

    def _apply(self, key, per_second, stated_at, source):
        limit = self._limit_by_incarnation.get(key)
        if limit is None:
            if len(self._limit_by_incarnation) >= MAX_LIMITS:
                return
            limit = self._limit_by_incarnation[key] = _Limit(self._now())
        elif stated_at < limit.stated_at:
            return
        limit.stated_at = stated_at
        if per_second == limit.per_second:
            return
        if limit.per_second is None:
            limit.used_at = self._now()
        limit.per_second = per_second
        limit.interval_ms = None
        limit.group = None
        metrics.count("request_limits", source=source)
        _log.info(
            "endpoint names no limit any more"
            if per_second is None
            else "endpoint names a limit",
            endpoint=key[0],
            per_second=per_second,
            source=source,
        )

    def _update_share(self, endpoint, limit):
        if limit.per_second is None:
            return
        group = self._find_group(endpoint)
        if group != limit.group:
            limit.group = group
            limit.share_ms = self._share(endpoint, group, limit.per_second)
        before = limit.interval_ms
        limit.apply_interval(limit.share_ms, self._now())
        if limit.interval_ms != before:
            _log.info(
                "share of a limit",
                endpoint=endpoint.id,
                per_second=limit.per_second,
                interval_ms=round(limit.interval_ms),
            )

    def _share(self, endpoint, group, per_second):
        """Return the time between two requests of this gateway, in ms."""
        count = request_limit.max_senders(per_second)
        senders = members.rendezvous(endpoint.id, group.ips)[:count]
        if not group.is_member or self._own_ip not in senders:
            return request_limit.EXCLUDED_INTERVAL_MS
        return request_limit.interval_ms(per_second, min(count, group.size))


def _only_own(_endpoint):
    return Group(frozenset(("",)), 1, True)
