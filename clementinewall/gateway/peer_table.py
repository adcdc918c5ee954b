"""Which other gateways are alive, from heartbeats that all of them pass on.

A gateway without a recent heartbeat counts as removed, and its work with it.
"""

import typing

from clementinewall import clock
from clementinewall.gateway import peer_messages
from clementinewall.policy import dissemination
from clementinewall.policy import store_polling

# Callers are not directed to a gateway that has been silent for longer.
HEARTBEAT_TIMEOUT_MS = 1_600
# Cells are reassigned only when a gateway is unreachable for longer than a
# restart takes, since each reassignment scatters the work of several cells.
MEMBER_TIMEOUT_MS = 5_000


class _KnownFacts(typing.NamedTuple):
    facts: dissemination.Facts
    learned_at: clock.Millis


class PeerTable:
    """The other gateways, by address."""

    def __init__(self, own_ip, now):
        """Start empty."""
        self._own_ip = own_ip
        self._now = now
        self._facts_by_ip = {}
        self._beat_by_ip = {}
        self._heartbeat_by_ip = {}
        self._state_by_ip = {}
        self._member_until_by_ip = {}
        self._arrivals = set()
        # Whether all gateways in the store are registered here.
        self.is_complete = False
        # The newest heartbeat that others hold of this gateway.
        self.own_beat = None

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
        for by_ip in (
            self._member_until_by_ip,
            self._heartbeat_by_ip,
            self._facts_by_ip,
            self._beat_by_ip,
            self._state_by_ip,
        ):
            by_ip.pop(ip, None)

    def record_state(self, ip, state):
        """Record the state that the gateway at ``ip`` itself sent."""
        if ip == self._own_ip:
            return
        self._state_by_ip[ip] = state
        self.record_heartbeat(state.heartbeat._replace(ip=ip))

    def keep_states(self, ips):
        """Drop the states of all other gateways, which send no more."""
        for ip in self._state_by_ip.keys() - ips:
            del self._state_by_ip[ip]

    def merge_facts(self, rows):
        """Merge what others know of the gateways' processes."""
        for facts in rows:
            known = self._facts_by_ip.get(facts.ip)
            if facts.ip != self._own_ip and (
                known is None or known.facts.incarnation < facts.incarnation
            ):
                self._facts_by_ip[facts.ip] = _KnownFacts(facts, self._now())

    def merge_beats(self, rows):
        """Merge heartbeats that a gateway knows, its own or others'.

        ``rows`` have the fields of :class:`dissemination.Beat`.  Return the
        addresses whose facts are missing, and whose heartbeats therefore
        don't count yet.
        """
        missing = []
        for row in rows:
            ip, incarnation, count, _, _ = row
            latest = self._beat_by_ip.get(ip)
            # Most rows are known already, so this comes first.
            if latest is not None and (
                incarnation < latest.incarnation
                or (
                    incarnation == latest.incarnation and count <= latest.count
                )
            ):
                continue
            beat = dissemination.Beat._make(row)
            if ip == self._own_ip:
                self._merge_own(beat)
                continue
            known = self._facts_by_ip.get(ip)
            if known is None or known.facts.incarnation < incarnation:
                missing.append(ip)
                continue
            if latest is None or incarnation > latest.incarnation:
                # What an earlier process sent is void.
                self._state_by_ip.pop(ip, None)
                self._arrivals.add(ip)
            self._beat_by_ip[ip] = beat
            self._record(
                peer_messages.Heartbeat(
                    ip,
                    known.facts.callers,
                    known.facts.data_centre,
                    beat.is_ready,
                    beat.sent_at,
                )
            )
        return missing

    def _merge_own(self, beat):
        known = self.own_beat
        if known is None or beat[1:3] > known[1:3]:
            self.own_beat = beat

    def beats(self):
        """Return the newest heartbeats of other gateways, to pass on."""
        return dissemination.freshest(
            self._beat_by_ip.values(), self._now() - HEARTBEAT_TIMEOUT_MS
        )

    def recent_facts(self):
        """Return the facts learned lately, the newest first, to pass on."""
        since = self._now() - dissemination.FACTS_SPREAD_MS
        recent = [
            k for k in self._facts_by_ip.values() if k.learned_at > since
        ]
        recent.sort(key=lambda known: -known.learned_at)
        return [known.facts for known in recent[: dissemination.MAX_FACTS]]

    def facts(self, ips):
        """Return the known facts of the gateways at ``ips``."""
        return [
            self._facts_by_ip[ip].facts
            for ip in ips
            if ip in self._facts_by_ip
        ]

    def record_heartbeat(self, heartbeat):
        """Record a heartbeat whose time is known, if it is the latest."""
        if heartbeat.ip == self._own_ip:
            return
        known = self._heartbeat_by_ip.get(heartbeat.ip)
        if known is None or known.received_at < heartbeat.received_at:
            self._record(heartbeat)

    def _record(self, heartbeat):
        ip = heartbeat.ip
        known = self._heartbeat_by_ip.get(ip)
        limit = self._now() - HEARTBEAT_TIMEOUT_MS
        if known is None or known.received_at < limit:
            self._arrivals.add(ip)
        elif known.received_at > heartbeat.received_at:
            heartbeat = heartbeat._replace(received_at=known.received_at)
        self._heartbeat_by_ip[ip] = heartbeat
        until = heartbeat.received_at + MEMBER_TIMEOUT_MS
        if until > self._member_until_by_ip.get(ip, -1):
            self._member_until_by_ip[ip] = until

    def take_arrivals(self):
        """Return and clear the gateways that started or were heard again."""
        found = self._arrivals
        self._arrivals = set()
        return found

    def is_known(self, ip):
        """Return whether ``ip`` belongs to a known gateway."""
        return ip in self._member_until_by_ip

    def is_live(self, ip):
        """Return whether the heartbeat of ``ip`` has not timed out."""
        known = self._heartbeat_by_ip.get(ip)
        limit = self._now() - HEARTBEAT_TIMEOUT_MS
        return known is not None and known.received_at >= limit

    def is_ready(self, ip):
        """Return whether the gateway at ``ip`` is live and takes callers."""
        return self.is_live(ip) and self._heartbeat_by_ip[ip].ready

    def live(self):
        """Return the heartbeats that have not timed out."""
        limit = self._now() - HEARTBEAT_TIMEOUT_MS
        return [
            s for s in self._heartbeat_by_ip.values() if s.received_at >= limit
        ]

    def states(self):
        """Return the states received of gateways that have not timed out."""
        limit = self._now() - HEARTBEAT_TIMEOUT_MS
        heartbeat_by_ip = self._heartbeat_by_ip
        return [
            state
            for ip, state in self._state_by_ip.items()
            if heartbeat_by_ip[ip].received_at >= limit
        ]

    def group(self):
        """Return the live peers for which one gateway reads the store."""
        ips = [heartbeat.ip for heartbeat in self.live()]
        group = store_polling.group(self._own_ip, ips, len(self.ips) + 1)
        return [ip for ip in group if ip != self._own_ip]

    def group_rank(self):
        """Return the own gateway's rank among those that are live and ready.

        The order is by address, so that gateways with the same view agree.
        """
        return store_polling.rank(
            self._own_ip, self._ips_in_line(), len(self.ips) + 1
        )

    def order_rank(self, data_centre):
        """Return the own gateway's place in the line for giving orders.

        It is the line of :meth:`group_rank`, but data centres take turns;
        ``data_centre`` is the own one.
        """
        data_centre_by_ip = {peer.ip: peer.data_centre for peer in self.live()}
        data_centre_by_ip[self._own_ip] = data_centre
        group = store_polling.group(
            self._own_ip, self._ips_in_line(), len(self.ips) + 1
        )
        names = store_polling.in_turns(group, data_centre_by_ip)
        return names.index(self._own_ip)

    def _ips_in_line(self):
        """Return the addresses of the others that may act for all."""
        live = self.live()
        # While all start, none is ready, and still one has to act for all.
        return [peer.ip for peer in live if peer.ready] or [
            peer.ip for peer in live
        ]

    def members(self):
        """Return the addresses of the gateways that cells are assigned to."""
        now = self._now()
        return [
            ip
            for ip, until in self._member_until_by_ip.items()
            if until >= now
        ]
