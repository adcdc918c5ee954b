"""The retry budget, kept by each gateway without asking the others.

Sending a request to a second endpoint adds load just when endpoints fail.
The deployment allows, for each service, a part of its requests and a fixed
number besides, for all gateways together in a sliding window.

Credit is earned by requests that this process has seen in the last window.
A window of the deployment may hold what was earned in it and in the one
before it, at other gateways or in an earlier process of this instance; so a
request earns half of the ratio.  The fixed number is shared by all instances
that ever registered.  A process that isn't its instance's first uses its share
only when it is older than a window, since the one before it may have spent
the same.  With both, no demand, restart or loss of gateways takes the sum over
the bound.
"""

import collections

# What a request earns, of the deployment's ratio.
EARNED_FRACTION = 0.5
# Of the fixed number.  The rest is for sends that arrive later than they were
# counted, and for instances that others don't know yet.
SHARED_FRACTION = 0.9


def slack_share(bounds, gateways, age_ms, is_first):
    """Return what one process may spend of the fixed number.

    ``gateways`` is how many instances share it, ``None`` if that isn't known;
    ``is_first`` tells that no process of this instance was there before.
    """
    if gateways is None:
        return 0.0
    if not is_first and age_ms < bounds.retry_window_ms:
        return 0.0
    return SHARED_FRACTION * bounds.retry_slack / gateways


class Budget:
    """The budget of one service in one process of a gateway."""

    def __init__(self, bounds, now):
        """Begin with no request."""
        self._bounds = bounds
        self._now = now
        self._requests = collections.deque()
        self._sends = collections.deque()

    def count_request(self):
        """Count a request of a caller."""
        now = self._now()
        self._requests.append(now)
        self._trim(now)

    def spend(self, share, sends=1):
        """Take further sends; return whether so many were left.

        ``share`` is what :func:`slack_share` allows.
        """
        if not self.can_spend(share, sends):
            return False
        self._sends.extend([self._now()] * sends)
        return True

    def can_spend(self, share, sends=1):
        """Tell whether so many further sends could be taken."""
        self._trim(self._now())
        earned = (
            EARNED_FRACTION * self._bounds.retry_ratio * len(self._requests)
        )
        return len(self._sends) + sends <= earned + share

    def refund(self, sends):
        """Return sends that were taken last and reached nobody."""
        for _ in range(min(sends, len(self._sends))):
            self._sends.pop()

    def _trim(self, now):
        start = now - self._bounds.retry_window_ms
        for times in (self._requests, self._sends):
            while times and times[0] < start:
                times.popleft()
