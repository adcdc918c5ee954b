"""The cell of gateways and engines that this gateway belongs to."""

from clementinewall import domain
from clementinewall.gateway import request_limits
from clementinewall import logs
from clementinewall.policy import cells

_log = logs.PartLog("cell")

# A gateway that hears fewer others may only be cut off from them: for this
# time its share of a request limit stays that of the larger cell.
SIZE_MEMORY_MS = 600_000


class CellMembership:
    """Keeps the cell of this gateway current."""

    def __init__(self, settings, fleet_view, now):
        """Start as the only gateway, without engines; ``now`` returns ms."""
        self._ip = settings.ip
        self._fleet_view = fleet_view
        self._now = now
        self._cell = cells.Cell(frozenset((self._ip,)), frozenset())
        self._assigned = None
        self._largest_size = 1
        self._largest_at = now()

    def update(self, live_ips):
        """Reassign the cells if the live gateways or engines changed."""
        self._assign(live_ips)
        size = len(self._cell.gateways)
        if (
            size >= self._largest_size
            or self._now() - self._largest_at > SIZE_MEMORY_MS
        ):
            self._largest_size = size
            self._largest_at = self._now()

    def _assign(self, live_ips):
        engines = [
            cells.Engine(endpoint.id, endpoint.service, endpoint.stage)
            for endpoint in self._fleet_view.endpoint_by_id.values()
            if endpoint.stage in domain.STAGES and not endpoint.draining
        ]
        assigned = frozenset(live_ips), frozenset(engines)
        if assigned == self._assigned:
            return
        self._assigned = assigned
        cell = cells.assign(self._ip, {self._ip, *live_ips}, engines)
        if cell == self._cell:
            return
        self._cell = cell
        _log.info(
            "cell assigned",
            gateways=len(cell.gateways),
            engines=len(cell.engines),
            of_gateways=len(live_ips) + 1,
            of_engines=len(engines),
        )

    def is_cell_gateway(self, ip):
        """Return whether a gateway belongs to this gateway's cell."""
        return ip in self._cell.gateways

    def is_cell_engine(self, state):
        """Return whether an engine belongs to this gateway's cell."""
        return state.endpoint.id in self._cell.engines

    def limit_group(self, endpoint, all_ips):
        """Return the gateways that share the request limit of an endpoint.

        ``all_ips`` are those of all other gateways that ever registered.
        """
        if endpoint.stage not in domain.STAGES:
            ips = frozenset((self._ip, *all_ips))
            return request_limits.Group(ips, len(ips), True)
        is_member = endpoint.id in self._cell.engines
        return request_limits.Group(
            self._cell.gateways, self._largest_size, is_member
        )

    def cell_engines(self, states, or_all=True):
        """Return those of the cell.

        With ``or_all``, return all if the cell has no decode engine.
        """
        own = [s for s in states if self.is_cell_engine(s)]
        return own if not or_all or _has_decode_engine(own) else states


def _has_decode_engine(states):
    return any(s.endpoint.stage == domain.DECODE for s in states)
