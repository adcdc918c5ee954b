"""The retry budget, kept by each gateway without coordination.

Sending a request to a second endpoint adds load just when endpoints fail.
For each service and sliding window, the deployment allows all gateways
together a ratio of the requests plus a fixed number, the slack.

A process earns credit from the requests that it received in the last window.
Sends in one window of the deployment may spend credit of that window and of
the one before it, at other gateways or in an earlier process of this instance;
so a request earns half of the ratio.  The slack is shared by all instances
that ever registered.  A process that is not the first of its instance uses its
share only once it is older than a window, since its predecessor may have spent
the same share.  With both rules, no load, restart or loss of gateways takes
the sum over the bound.
"""

import collections

# A request earns this fraction of the deployment's retry ratio.
EARNED_FRACTION = 0.5
# Of the slack.  The rest covers sends that arrive in a later window than the
# one they were counted in, and instances that others do not know yet.
SHARED_SLACK_FRACTION = 0.9


def slack_share(bounds, gateways, age_ms, is_first):
    """Return how many sends of the slack one process may spend.

    ``gateways`` is how many instances share the slack, ``None`` if unknown;
    ``is_first`` is true if this is the first process of its instance.
    """
    if gateways is None:
        return 0.0
    if not is_first and age_ms < bounds.retry_window_ms:
        return 0.0
    return SHARED_SLACK_FRACTION * bounds.retry_slack / gateways


class Budget:
    """The budget of one service in one process of a gateway."""

    def __init__(self, bounds, now):
        """Start without credit; ``now`` returns the time in ms."""
        self._bounds = bounds
        self._now = now
        self._requests = collections.deque()
        self._sends = collections.deque()

    def count_request(self):
        """Earn credit for a request of a caller."""
        now = self._now()
        self._requests.append(now)
        self._trim(now)

    def spend(self, share, sends=1):
        """Spend further sends if all are allowed; return whether they are.

        ``share`` is what :func:`slack_share` allows.
        """
        if not self.can_spend(share, sends):
            return False
        self._sends.extend([self._now()] * sends)
        return True

    def can_spend(self, share, sends=1):
        """Tell whether the budget allows ``sends`` further sends."""
        self._trim(self._now())
        earned = (
            EARNED_FRACTION * self._bounds.retry_ratio * len(self._requests)
        )
        return len(self._sends) + sends <= earned + share

    def refund(self, sends):
        """Undo the last ``sends``, which reached no endpoint."""
        for _ in range(min(sends, len(self._sends))):
            self._sends.pop()

    def _trim(self, now):
        start = now - self._bounds.retry_window_ms
        for times in (self._requests, self._sends):
            while times and times[0] < start:
                times.popleft()
