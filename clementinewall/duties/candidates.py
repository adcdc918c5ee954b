"""Which gateways may act for all, as a pure function."""

# The first one acts; the others stand by.  All three know what all gateways
# hand over, so that the loss of two at once loses nothing.
CANDIDATES = 3


def choose(own_ip, is_ready, live):
    """Return the addresses of the candidates, the first in line first.

    ``live`` are the heartbeats of other gateways, ``is_ready`` tells whether
    callers may use this one.  Gateways with the same view agree.
    """
    ips = {peer.ip for peer in live if peer.ready and peer.ip != own_ip}
    if is_ready:
        ips.add(own_ip)
    return tuple(sorted(ips)[:CANDIDATES])
