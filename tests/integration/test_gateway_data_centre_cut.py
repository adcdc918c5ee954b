"""A data centre whose gateways reach no endpoint, among others that do."""

import json
import time

from standins import bringup
from tests.integration import partition_base

# More than are asked for a way within the time for which a gateway remembers
# who has none.
CUT = 30
# After the end of a cut all goes directly again within this time.
HEAL_SECONDS = 3.0


class DataCentreCut(partition_base.PartitionCase):
    """A data centre is cut off; one gateway stands in each of two others."""

    data_centres = "a" * CUT + "bc"
    cut_numbers = range(1, CUT + 1)
    called_numbers = (1, 2, CUT + 1, CUT + 2)

    def test_streams_of_a_cut_data_centre_whose_links_hang_are_served(self):
        # Guards against asking for a way only those that are cut off, too.
        self.check_callers("/chat/x", "hang")

    def test_calls_of_a_cut_data_centre_that_is_refused_are_served(self):
        # Guards against taking the refusals of a cut for endpoints that ended.
        self.is_closing = True
        self.check_callers("/look/x", "refuse")

    def test_a_data_centre_goes_directly_again_after_the_end_of_a_cut(self):
        # Guards against detours and refusals that outlast a cut.
        callers = self.start_callers("/chat/x")
        time.sleep(1)
        self.set_links("hang")
        time.sleep(partition_base.STABLE_SECONDS)
        self.set_links("ok")
        healed_at = time.monotonic()
        bringup.wait_until(
            lambda: not any(map(self._detours, self.cut_names)),
            HEAL_SECONDS,
            "direct connections",
        )
        judged_from = healed_at + HEAL_SECONDS
        judged_until = judged_from + partition_base.JUDGED_SECONDS
        time.sleep(judged_until - time.monotonic())
        self.stop_callers(callers)
        self.check_served(judged_from)

    def _detours(self, name):
        """Return the endpoints that a gateway doesn't reach directly."""
        reach_by_endpoint = {}
        for line in self.dep.log_of(name).splitlines():
            if "reach is" in line:
                row = json.loads(line)
                reach = row["message"].rpartition(" ")[2]
                reach_by_endpoint[row["endpoint"]] = reach
        return [
            endpoint
            for endpoint, reach in reach_by_endpoint.items()
            if reach != "direct"
        ]
