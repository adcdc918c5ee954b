"""Which other gateways are alive, from direct and forwarded heartbeats.

A gateway without a recent heartbeat counts as removed, and its work with it.
Gateways of the own cell send theirs directly; those of the others are mostly
forwarded by gateways that receive them, so that the number of datagrams does
not grow with the square of the deployment.
"""

from clementinewall import logs

_log = logs.PartLog("peers")

# Gateways of a cell send at least every 300 ms.  Heartbeats from outside the
# cell are forwarded about four times a second and are at most 300 ms old.
# Callers are not directed to a gateway that has been silent for longer.
HEARTBEAT_TIMEOUT_MS = 1_600
# Cells are reassigned only when a gateway is unreachable for longer than a
# restart takes, since each reassignment scatters the work of several cells.
MEMBER_TIMEOUT_MS = 5_000


class PeerTable:
    """The other gateways, by address."""

    def __init__(self, own_ip, now):
        """Start empty."""
        self._own_ip = own_ip
        self._now = now
        self._heartbeat_by_ip = {}
        self._state_by_ip = {}
        self._member_until_by_ip = {}
        # Whether all gateways in the store are registered here.
        self.is_complete = False

    @property
    def ips(self):
        """Return the addresses of all registered or observed gateways."""
        return self._member_until_by_ip.keys()

    def register(self, ip):
        """Add a gateway of the store's topic; it may have stopped long ago."""
        if ip != self._own_ip and ip not in self._member_until_by_ip:
            self._member_until_by_ip[ip] = self._now() + MEMBER_TIMEOUT_MS

    def remove(self, ip):
        """Remove a gateway whose record was removed."""
        self._member_until_by_ip.pop(ip, None)
        self._heartbeat_by_ip.pop(ip, None)
        self._state_by_ip.pop(ip, None)

    def record_state(self, ip, state):
        """Record the state that the gateway at ``ip`` itself sent."""
        self._state_by_ip[ip] = state
        self.record_heartbeat(state.heartbeat._replace(ip=ip))

    def record_heartbeat(self, heartbeat):
        """Record a heartbeat, if it is the latest."""
        if heartbeat.ip == self._own_ip:
            return
        known = self._heartbeat_by_ip.get(heartbeat.ip)
        if known is not None and known.received_at >= heartbeat.received_at:
            return
        if known is None:
            _log.info(
                "first heartbeat from a peer",
                ip=heartbeat.ip,
                ready=heartbeat.ready,
            )
        self._heartbeat_by_ip[heartbeat.ip] = heartbeat
        until = heartbeat.received_at + MEMBER_TIMEOUT_MS
        known_until = self._member_until_by_ip.get(heartbeat.ip, until)
        self._member_until_by_ip[heartbeat.ip] = max(known_until, until)

    def is_known(self, ip):
        """Return whether ``ip`` belongs to a known gateway."""
        return ip in self._member_until_by_ip

    def live(self):
        """Return the heartbeats that have not timed out."""
        limit = self._now() - HEARTBEAT_TIMEOUT_MS
        return [
            s for s in self._heartbeat_by_ip.values() if s.received_at >= limit
        ]

    def states(self):
        """Return the states received directly that have not timed out."""
        limit = self._now() - HEARTBEAT_TIMEOUT_MS
        return [
            s
            for s in self._state_by_ip.values()
            if s.heartbeat.received_at >= limit
        ]

    def members(self):
        """Return the addresses of the gateways that cells are assigned to."""
        now = self._now()
        return [
            ip
            for ip, until in self._member_until_by_ip.items()
            if until >= now
        ]
