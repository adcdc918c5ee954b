"""How gateways share an endpoint's request limit, as pure functions.

An endpoint in need names how many requests a second it takes from all
gateways together.  Gateways don't agree on each request.  A few of them, the
senders, may use the endpoint, each at even intervals.  In a window of ``t``
seconds, ``n`` senders with ``limit / n`` a second each send at most
``limit * t + n`` requests, and ``n`` more if requests take different times on
their way.  The number of senders is therefore bounded by the limit, however
many gateways there are.
"""

import math

# An endpoint that names a limit near zero still gets a request at times: its
# answer may say that the limit is over.
MAX_INTERVAL_MS = 10_000.0
# For a gateway that is no sender, in case that nobody else hears of the end.
EXCLUDED_INTERVAL_MS = 60_000.0


def max_senders(per_second):
    """Return how many gateways may use an endpoint with this limit."""
    return max(1, math.floor(per_second + 2))


def interval_ms(per_second, senders):
    """Return the time between two requests of one of the senders."""
    if per_second * MAX_INTERVAL_MS <= senders * 1_000:
        return MAX_INTERVAL_MS
    return senders * 1_000 / per_second
