"""Which gateways share the limit of an endpoint."""

import types
import unittest

from clementinewall import clock
from clementinewall.gateway import cell_membership
from tests.gateway import test_endpoints

OWN = "10.0.0.1"
OTHERS = [f"10.0.0.{number}" for number in range(2, 9)]
ENGINE = test_endpoints.ENGINE
SERVICE = ENGINE._replace(id="s1", stage=None)


class LimitGroup(unittest.TestCase):
    """One gateway of eight."""

    def setUp(self):
        """Know all others and one engine."""
        self.clock = clock.ManualClock(100_000)
        fleet_view = types.SimpleNamespace(endpoint_by_id={ENGINE.id: ENGINE})
        settings = types.SimpleNamespace(ip=OWN)
        self.membership = cell_membership.CellMembership(
            settings, fleet_view, self.clock.now
        )
        self.membership.update(OTHERS)

    def group(self, endpoint):
        """Return the group of an endpoint."""
        return self.membership.limit_group(endpoint, OTHERS)

    def test_a_cell_shares_its_engines(self):
        group = self.group(ENGINE)
        self.assertEqual(group.ips, {OWN, *OTHERS})
        self.assertEqual((group.size, group.is_member), (8, True))

    def test_an_engine_of_another_cell_is_not_shared(self):
        other = ENGINE._replace(id="unknown")
        self.assertFalse(self.group(other).is_member)

    def test_all_gateways_share_a_service(self):
        self.membership.update([])
        group = self.group(SERVICE)
        self.assertEqual((group.size, group.is_member), (8, True))

    def test_a_gateway_that_hears_nobody_keeps_the_size_of_its_cell(self):
        # Guards against a gateway that is cut off before a limit is named and
        # takes the shares of all others for its own.
        self.clock.advance(60_000)
        self.membership.update([])
        self.assertEqual(self.group(ENGINE).size, 8)
        self.clock.advance(cell_membership.SIZE_MEMORY_MS)
        self.membership.update([])
        self.assertEqual(self.group(ENGINE).size, 1)
