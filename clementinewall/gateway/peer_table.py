"""Which other gateways live, from datagrams and from what others heard.

A gateway that isn't heard for a while counts as gone, and its work with it.
Gateways of the own cell are heard directly; of the others the table mostly
learns from gateways that hear them, so that the datagrams don't grow with
the square of the deployment.
"""

from clementinewall import logs

_log = logs.PartLog("peers")

# Gateways of a cell send every 300 ms, or oftener; of those outside somebody
# tells about four times a second, each time as of 300 ms ago at most.
# Callers that ask aren't sent to a gateway that died longer ago than this.
HEARTBEAT_TIMEOUT_MS = 1_600
# Cells are dealt anew only when a gateway is gone for longer than a restart
# takes, since each time the work of several cells is scattered.
MEMBER_TIMEOUT_MS = 5_000


class PeerTable:
    """The other gateways, by address."""

    def __init__(self, own_ip, now):
        """Know nobody."""
        self._own_ip = own_ip
        self._now = now
        self._heartbeat_by_ip = {}
        self._state_by_ip = {}
        self._member_until_by_ip = {}
        # Whether all gateways are known that the store names.
        self.is_complete = False

    @property
    def ips(self):
        """Return the addresses of all gateways ever heard of."""
        return self._member_until_by_ip.keys()

    def register(self, ip):
        """Note a gateway of the store's topic; it may have died long ago."""
        if ip != self._own_ip and ip not in self._member_until_by_ip:
            self._member_until_by_ip[ip] = self._now() + MEMBER_TIMEOUT_MS

    def remove(self, ip):
        """Forget a gateway whose record was removed."""
        self._member_until_by_ip.pop(ip, None)
        self._heartbeat_by_ip.pop(ip, None)
        self._state_by_ip.pop(ip, None)

    def record_state(self, ip, state):
        """Note what a gateway sent itself, from ``ip``."""
        self._state_by_ip[ip] = state
        self.record_heartbeat(state.sign._replace(ip=ip))

    def record_heartbeat(self, sign):
        """Note a sign of life, if it is the latest."""
        if sign.ip == self._own_ip:
            return
        known = self._heartbeat_by_ip.get(sign.ip)
        if known is not None and known.received_at >= sign.received_at:
            return
        if known is None:
            _log.info("peer heard", ip=sign.ip, ready=sign.ready)
        self._heartbeat_by_ip[sign.ip] = sign
        until = sign.received_at + MEMBER_TIMEOUT_MS
        known_until = self._member_until_by_ip.get(sign.ip, until)
        self._member_until_by_ip[sign.ip] = max(known_until, until)

    def is_known(self, ip):
        """Tell whether ``ip`` is that of a gateway."""
        return ip in self._member_until_by_ip

    def live(self):
        """Return the signs of the gateways heard of lately."""
        limit = self._now() - HEARTBEAT_TIMEOUT_MS
        return [
            s for s in self._heartbeat_by_ip.values() if s.received_at >= limit
        ]

    def states(self):
        """Return the states of those heard directly lately."""
        limit = self._now() - HEARTBEAT_TIMEOUT_MS
        return [
            s
            for s in self._state_by_ip.values()
            if s.sign.received_at >= limit
        ]

    def members(self):
        """Return the addresses of those that cells are dealt among."""
        now = self._now()
        return [
            ip
            for ip, until in self._member_until_by_ip.items()
            if until >= now
        ]
