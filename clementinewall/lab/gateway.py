"""Gateways in virtual time: the real ones' decisions, without sockets.

What a gateway knows and decides is the product's own code: its table of
peers, its cell, its view of the engines' queues and caches, its placing.
Only the tasks that carry messages and requests are written anew here, for
virtual time.
"""

from clementinewall import domain
from clementinewall.gateway import cell_membership
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.gateway import peers
from clementinewall.gateway import placing

# What a gateway itself takes for a step: a wake-up, parsing and deciding.
STEP_MS = 1.5


class Gateway:
    """What one gateway knows, and how it tells its peers."""

    def __init__(self, ip, configuration, endpoint_by_id, network, loop):
        """Know all engines and, after the first messages, the peers.

        ``network(ip, tell)`` calls ``tell`` with that peer later, or never.
        """
        self.ip = ip
        self._loop = loop
        self._network = network
        known = fleet_view.FleetView(loop.read)
        known.configuration = configuration
        known.endpoint_by_id = endpoint_by_id
        self.endpoints = endpoints.Endpoints(known, loop.read)
        self.table = peer_table.PeerTable(ip, loop.read)
        self._cell_membership = cell_membership.CellMembership(
            _settings(ip), known
        )
        self.placer = placing.Placer(
            _settings(ip),
            self.endpoints,
            self,
            self._cell_membership,
            loop.read,
        )
        self._last_work = {}
        self._sent_at = -peers.HEARTBEAT_INTERVAL_MS
        self._is_planned = False

    def start(self, ips):
        """Learn who the others are and begin to tell them.

        No gateway comes or goes in the lab, so cells are dealt once.
        """
        for ip in ips:
            self.table.register(ip)
        self._cell_membership.update([ip for ip in ips if ip != self.ip])
        self._plan(peers.MAX_CHANGE_DELAY_MS)
        self._tell_far(ips)

    def _tell_far(self, ips):
        """Tell those outside of the cell, all at once, what engines keep."""
        period = peers.REMOTE_INTERVAL_MS * peers.REMOTE_ROUNDS
        rows = self.endpoints.cache_holders.message(period)
        for ip in ips:
            if ip != self.ip and not self._cell_membership.is_cell_gateway(ip):
                self._network(ip, lambda peer: peer.hear_far(rows))
        self._loop.after(period, self._tell_far, ips)

    def close_ips(self):
        """Return the peers that share this gateway's engines."""
        return [
            ip
            for ip in self.table.ips
            if self._cell_membership.is_cell_gateway(ip)
        ]

    def tell(self):
        """Let the others know of a new prompt as soon as that is due."""
        if not self._is_planned:
            gap = peers.SEND_GAP_MS_PER_PEER * max(1, len(self.close_ips()))
            self._is_planned = True
            self._loop.after(
                self._sent_at + gap - self._loop.now, self._send_new
            )

    def _plan(self, ms):
        self._loop.after(ms, self._send_changes)

    def _send_new(self):
        self._is_planned = False
        self._send(self.endpoints.work_by_endpoint_id())

    def _send_changes(self):
        work = self.endpoints.work_by_endpoint_id()
        old = self._loop.now - self._sent_at >= peers.HEARTBEAT_INTERVAL_MS
        if work != self._last_work or old:
            self._send(work)
        self._plan(peers.MAX_CHANGE_DELAY_MS)

    def _send(self, work):
        self._last_work = work
        self._sent_at = self._loop.now
        sign = peer_messages.Heartbeat(self.ip, "", "", True, self._loop.now)
        state = peer_messages.GatewayState(
            sign,
            work,
            {},
            estimate_by_service=self.endpoints.scales.estimate_by_service(),
        )
        read = self.endpoints.drain_prefills()
        for ip in self.close_ips():
            self._network(ip, lambda peer: peer.hear(self.ip, state, read))

    def hear(self, ip, state, read):
        """Take in what a peer of the cell told."""
        for endpoint_id, parts in read:
            self.endpoints.apply_peer_prefill(endpoint_id, parts)
        self.table.record_state(ip, state)

    def hear_far(self, rows):
        """Take in which engines keep what, from a gateway of another cell."""
        self.endpoints.cache_holders.merge(rows)


def _settings(ip):
    return domain.Settings(
        instance=ip,
        ip=ip,
        data_centre="",
        callers="",
        ready="",
        directory="",
        peer_port=0,
        store="",
        bounds=domain.Bounds(),
    )
