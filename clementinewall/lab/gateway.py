"""Simulated gateways: the production decisions without sockets.

The state and the decisions of a gateway are the production code: the peer
table, the cell membership, the view of the engines' queues and caches, and
the placement.  Only the tasks that carry messages and requests are
reimplemented here, for virtual time.
"""

from clementinewall import domain
from clementinewall.gateway import cell_membership
from clementinewall.gateway import endpoints
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.gateway import peers
from clementinewall.gateway import placing

# Time of the gateway process per message: wake-up, parsing and decision.
PROCESSING_MS = 1.5
# Time in which an announcement reaches the gateways of other cells.
SPREAD_MS = 700


class Gateway:
    """The state of one gateway and its messages to its peers."""

    def __init__(self, ip, configuration, endpoint_by_id, deliver, loop):
        """Start with all engines known and no peers.

        ``deliver(ip, receive)`` calls ``receive`` with the gateway at ``ip``
        after the network delay, or never if the message is lost.
        """
        self.ip = ip
        # Whether it knows the fourth figure of the load header.
        self.reads_pace = True
        self._loop = loop
        self._deliver = deliver
        view = fleet_view.FleetView(loop.time_ms)
        view.configuration = configuration
        view.endpoint_by_id = endpoint_by_id
        self.endpoints = endpoints.Endpoints(view, loop.time_ms)
        self.table = peer_table.PeerTable(ip, loop.time_ms)
        self._cell_membership = cell_membership.CellMembership(
            _settings(ip), view, loop.time_ms
        )
        self.placer = placing.Placer(
            _settings(ip),
            self.endpoints,
            self,
            self._cell_membership,
            loop.time_ms,
        )
        self._last_sent_work = {}
        self._sent_at = -peers.REPEAT_INTERVAL_MS
        self._is_send_scheduled = False

    def start(self, ips):
        """Register the peers and start sending them state.

        No gateway joins or leaves in the lab, so cells are assigned once.
        """
        for ip in ips:
            self.table.register(ip)
        self._cell_membership.update([ip for ip in ips if ip != self.ip])
        self._schedule_check(peers.MAX_CHANGE_DELAY_MS)
        self._send_to_other_cells(ips)

    def _send_to_other_cells(self, ips):
        """Send the cache holders to all gateways of other cells at once."""
        rows = self.endpoints.cache_holders.message()
        for ip in ips:
            if ip != self.ip and not self._cell_membership.is_cell_gateway(ip):
                self._deliver(
                    ip, lambda peer: peer.receive_from_other_cell(rows)
                )
        self._loop.after(SPREAD_MS, self._send_to_other_cells, ips)

    def cell_ips(self):
        """Return the addresses of the peers in this gateway's cell."""
        return [
            ip
            for ip in self.table.ips
            if self._cell_membership.is_cell_gateway(ip)
        ]

    def notify(self):
        """Schedule a send of the changed state after the minimum gap."""
        if not self._is_send_scheduled:
            gap = peers.SEND_GAP_MS_PER_PEER * max(1, len(self.cell_ips()))
            self._is_send_scheduled = True
            self._loop.after(
                self._sent_at + gap - self._loop.now, self._send_scheduled
            )

    def _schedule_check(self, ms):
        self._loop.after(ms, self._send_if_changed)

    def _send_scheduled(self):
        self._is_send_scheduled = False
        self._send(self.endpoints.work_by_endpoint_id())

    def _send_if_changed(self):
        work = self.endpoints.work_by_endpoint_id()
        is_heartbeat_due = (
            self._loop.now - self._sent_at >= peers.REPEAT_INTERVAL_MS
        )
        if work != self._last_sent_work or is_heartbeat_due:
            self._send(work)
        self._schedule_check(peers.MAX_CHANGE_DELAY_MS)

    def _send(self, work):
        self._last_sent_work = work
        self._sent_at = self._loop.now
        heartbeat = peer_messages.Heartbeat(
            self.ip, "", "", True, self._loop.now
        )
        state = peer_messages.GatewayState(
            heartbeat,
            work,
            {},
            estimate_by_service=self.endpoints.scales.estimate_by_service(),
            speed_rows=self.endpoints.speeds.rows_to_send(),
        )
        prefilled = self.endpoints.drain_prefills()
        for ip in self.cell_ips():
            self._deliver(
                ip, lambda peer: peer.receive(self.ip, state, prefilled)
            )

    def receive(self, ip, state, prefilled):
        """Apply the state and the prefills that a peer of the cell sent."""
        for endpoint_id, parts in prefilled:
            self.endpoints.apply_peer_prefill(endpoint_id, parts)
        self.endpoints.speeds.take(ip, state.speed_rows, self.endpoints.find)
        self.table.record_state(ip, state)

    def receive_from_other_cell(self, rows):
        """Merge the cache holders that a gateway of another cell sent."""
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
