"""The retry budget, kept by each gateway without asking the others.

Sending a request to a second endpoint adds load just when endpoints fail.
The deployment allows, for each service, a part of its requests and a fixed
number besides, for all gateways together in a sliding window.  Each gateway
uses its equal part of the fixed number and the ratio of its own requests;
gateways that were not heard lately count too, since they may be cut off
rather than gone.
"""

import collections

# Left unused, since the windows of the gateways are not the same and callers
# may leave between the count here and the arrival.
MARGIN = 0.75


class Budget:
    """The budget of one service at one gateway."""

    def __init__(self, bounds, now):
        """Begin with no request."""
        self._bounds = bounds
        self._now = now
        self._requests = collections.deque()
        self._extra = collections.deque()

    def count_request(self):
        """Count a request of a caller."""
        now = self._now()
        self._requests.append(now)
        self._trim(now)

    def spend(self, gateways, sends=1):
        """Take further sends; return whether so many were left."""
        now = self._now()
        self._trim(now)
        slack = self._bounds.retry_slack / max(1, gateways)
        allowed = self._bounds.retry_ratio * len(self._requests) + slack
        if len(self._extra) + sends > allowed * MARGIN:
            return False
        self._extra.extend([now] * sends)
        return True

    def _trim(self, now):
        start = now - self._bounds.retry_window_ms
        for times in (self._requests, self._extra):
            while times and times[0] < start:
                times.popleft()
