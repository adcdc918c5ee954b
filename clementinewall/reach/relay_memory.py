"""What other gateways answered when they were asked for tunnels."""

import math
import typing

from clementinewall import clock

# What a gateway said of one endpoint counts for this time.
ANSWER_LIFETIME_MS = 2_000
# A gateway that opened a tunnel is asked first for others for this time.
CONNECTS_LIFETIME_MS = 10_000
# So many failures in a row show that a gateway is cut off itself; one may be
# the fault of the endpoint.
FAILURES_TO_DOUBT = 2


class _Standing(typing.NamedTuple):
    """How a gateway answered lately, whichever endpoint it was asked for."""

    asked_at: clock.Millis
    connected_at: clock.Millis | None = None
    failures: int = 0


class RelayMemory:
    """The answers of gateways, by endpoint and as a whole.

    A gateway that is cut off from one endpoint is probably cut off from
    others, so that what it says of one counts for the choice for all.
    """

    def __init__(self, now):
        """Know nothing; ``now`` returns milliseconds."""
        self._now = now
        # Pairs of whether a gateway reached an endpoint and when it said so.
        self._answer_by_address_and_ip = {}
        self._standing_by_ip = {}

    def record_asked(self, ip):
        """Record that a gateway is being asked."""
        known = self._standing_by_ip.get(ip)
        if known is None:
            known = _Standing(self._now())
        self._standing_by_ip[ip] = known._replace(asked_at=self._now())

    def record_answer(self, address, ip, is_reached):
        """Record whether the gateway at ``ip`` reached an endpoint."""
        now = self._now()
        self._answer_by_address_and_ip[address, ip] = is_reached, now
        known = self._standing_by_ip.get(ip, _Standing(now))
        if is_reached:
            known = known._replace(connected_at=now, failures=0)
        else:
            known = known._replace(failures=known.failures + 1)
        self._standing_by_ip[ip] = known

    def has_answered(self, address, ip, is_reached):
        """Tell whether a gateway said this of an endpoint lately."""
        said, at = self._answer_by_address_and_ip.get((address, ip), (None, 0))
        return said is is_reached and self._now() - at < ANSWER_LIFETIME_MS

    def connects(self, ip):
        """Tell whether a gateway has lately opened a tunnel, to wherever."""
        known = self._standing_by_ip.get(ip)
        return (
            known is not None
            and known.connected_at is not None
            and known.failures < FAILURES_TO_DOUBT
            and self._now() - known.connected_at < CONNECTS_LIFETIME_MS
        )

    def asked_ms(self, ip):
        """Return for how many ms a gateway wasn't asked, infinite if never."""
        known = self._standing_by_ip.get(ip)
        return math.inf if known is None else self._now() - known.asked_at

    def sweep(self, ips):
        """Forget what gateways said long ago, and those not in ``ips``."""
        since = self._now() - ANSWER_LIFETIME_MS
        for key, (_, at) in list(self._answer_by_address_and_ip.items()):
            if at <= since:
                del self._answer_by_address_and_ip[key]
        for ip in self._standing_by_ip.keys() - ips:
            del self._standing_by_ip[ip]
