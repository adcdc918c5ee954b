"""How often a gateway calls the store to keep or read origins of streams.

All gateways share the calls that the store allows, and most of these are
meant for other topics.
"""

import math

WRITES_FRACTION = 0.05
READS_FRACTION = 0.25
# Of the appends that one topic takes, which are made one after another.
TOPIC_FRACTION = 0.5
# Of all gateways together, however few calls the store allows.
MIN_CALLS_PER_SECOND = 1.0
MIN_INTERVAL_MS = 100
# Rows are written again after this fraction of the time that the store keeps
# them, which leaves as long for a store that is away.
REPEAT_FRACTION = 0.5


def write_interval_ms(gateways, limits):
    """Return the time in ms between two appends of one gateway."""
    calls_per_second = WRITES_FRACTION * limits.writes_per_second
    if limits.append_ms:
        possible = 1_000 / limits.append_ms
        calls_per_second = min(calls_per_second, TOPIC_FRACTION * possible)
    return _interval_ms(gateways, calls_per_second)


def read_interval_ms(gateways, limits):
    """Return the time in ms between two reads of one gateway."""
    return _interval_ms(gateways, READS_FRACTION * limits.reads_per_second)


def _interval_ms(gateways, calls_per_second):
    shared = max(MIN_CALLS_PER_SECOND, calls_per_second)
    interval_ms = math.ceil(1_000 * gateways / shared)
    return max(MIN_INTERVAL_MS, interval_ms)


def repeat_after_ms(limits):
    """Return after which time rows are written again, ``None`` for never."""
    if limits.keep_ms is None:
        return None
    return int(REPEAT_FRACTION * limits.keep_ms)
