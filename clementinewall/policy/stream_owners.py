"""Which gateways keep what is known of a stream, as a pure function.

Callers take a stream up at any gateway, also when the one that began it has
ended.  Each stream has a few owners, drawn by a hash of the attempt that began
it, so that what is told and asked for one stream is the same at any number of
gateways.  Gateways whose views differ by one or two members still agree on
most owners.
"""

import zlib

# Gateways that are told of a stream.
TOLD = 3
# Gateways that are asked, for members that have come, left or stop since.
ASKED = 5


def rank(attempt, ips, count):
    """Return the ``count`` first of ``ips`` in the order of an attempt.

    The order is that of the highest hash of attempt and address, so a member
    that comes or leaves changes only its own place.
    """
    key = zlib.crc32(attempt.encode("utf-8", "replace"))
    hashed = [(zlib.crc32(ip.encode(), key), ip) for ip in ips]
    hashed.sort(reverse=True)
    return [ip for _, ip in hashed[:count]]
