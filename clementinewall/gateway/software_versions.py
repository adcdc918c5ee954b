"""The software versions of each service that serve, or served lately.

Several versions may serve side by side, in no order.  What two of them write
to one stream doesn't fit together.
"""

import collections
import math

# A stream may be taken up for this time after its version has left, and as
# long as the longest answer may last.
MIN_RETENTION_MS = 60_000
MAX_RETENTION_MS = 600_000


class SoftwareVersions:
    """Counts the endpoints of each version, from records as they change."""

    def __init__(self, now):
        """Start without endpoints; ``now`` returns the time in ms."""
        self._now = now
        self._counts = collections.Counter()
        # When the last endpoint of a version left, by service and version.
        self._left_at_by_service = collections.defaultdict(dict)
        # Versions that left before are not known; ``None`` before any read.
        self._observed_since = None
        # Whether what served before the first read has been added.
        self.is_complete = False
        self.retention_ms = MIN_RETENTION_MS

    def set_longest_answer(self, longest_ms):
        """Keep versions for as long as the longest answer may last."""
        self.retention_ms = min(
            MAX_RETENTION_MS, max(MIN_RETENTION_MS, longest_ms)
        )

    def record_read(self, at):
        """Record that the endpoints' records were read as of ``at``."""
        if self._observed_since is None:
            self._observed_since = at

    @property
    def known_ms(self):
        """Return for how long back all versions are known, in ms."""
        if self.is_complete or self.is_observed_long:
            return self.retention_ms
        if self._observed_since is None:
            return 0
        return self._now() - self._observed_since

    @property
    def is_observed_long(self):
        """Return whether what left before the first read matters no more."""
        since = self._observed_since
        return since is not None and self._now() - since >= self.retention_ms

    def add_served(self, versions_by_service, is_after_gap=False):
        """Add versions that served before the endpoints were read.

        Those that don't serve now, nor are known, count as having left now;
        after a gap in what was read, known ones too.
        """
        now = self._now()
        for service, versions in versions_by_service.items():
            left_at_by_version = self._left_at_by_service[service]
            for version in versions:
                left_at = left_at_by_version.setdefault(version, now)
                if is_after_gap and left_at != math.inf:
                    left_at_by_version[version] = now

    def record_complete(self):
        """Record that what served before the first read has been added."""
        self.is_complete = True

    def serving_by_service(self):
        """Return the sets of versions that have endpoints now."""
        return {
            service: frozenset(
                version
                for version, left_at in left_at_by_version.items()
                if left_at == math.inf
            )
            for service, left_at_by_version in self._left_at_by_service.items()
        }

    def recent_by_service(self):
        """Return the sets of versions that serve or served lately."""
        return {
            service: self.recent(service)
            for service in self._left_at_by_service
        }

    def apply(self, before, after):
        """Apply that an endpoint's record ``before`` became ``after``.

        Either is ``None`` if there is none.
        """
        for endpoint, change in ((after, 1), (before, -1)):
            if endpoint is None:
                continue
            key = endpoint.service, endpoint.version
            self._counts[key] += change
            left_at = math.inf if self._counts[key] else self._now()
            self._left_at_by_service[endpoint.service][endpoint.version] = (
                left_at
            )

    def recent(self, service):
        """Return the versions of a service that serve or served lately."""
        left_at_by_version = self._left_at_by_service.get(service, {})
        since = self._now() - self.retention_ms
        return frozenset(
            version
            for version, left_at in left_at_by_version.items()
            if left_at > since
        )

    def are_several(self, service):
        """Tell whether streams of a service may belong to several versions."""
        return len(self.recent(service)) > 1

    def expire(self):
        """Forget the versions that left long ago."""
        for service, left_at_by_version in self._left_at_by_service.items():
            recent = self.recent(service)
            for version in left_at_by_version.keys() - recent:
                del left_at_by_version[version]
                del self._counts[service, version]
