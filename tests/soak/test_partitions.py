"""Whom the soak cuts off, and when it judges that."""

import random
import threading
import unittest
from unittest import mock

from bench.soak import history as history_module
from bench.soak import partitions


class PartitionsTest(unittest.TestCase):
    """Four gateways, three of which stand in one data centre."""

    def setUp(self):
        """Let nothing take time."""
        self.deployment = mock.Mock()
        self.deployment.history = history_module.History()
        self.deployment.reserve.return_value = True
        self.deployment.stopping = threading.Event()
        self.deployment.stopping.set()
        self.deployment.run_in_thread = lambda function: function()
        self.deployment.data_centre_by_gateway = {
            "gateway-1": "b",
            **{f"gateway-{number}": "a" for number in (2, 3, 4)},
        }
        patch = mock.patch.object(partitions.time, "sleep", autospec=True)
        patch.start()
        self.addCleanup(patch.stop)

    def cut(self):
        """Cut off a data centre; return the rows of what is judged."""
        partitions.cut_data_centre(self.deployment, random.Random(1))
        return self.deployment.history.cuts

    def test_all_gateways_of_a_data_centre_are_cut_off_together(self):
        # Guards against cuts beside which gateways nearby have a way.
        names = ("gateway-2", "gateway-3", "gateway-4")
        self.assertEqual([row.gateways for row in self.cut()], [names] * 2)

    def test_what_follows_the_end_of_a_cut_is_judged_too(self):
        # Guards against refusals that outlast a cut.
        during, after = self.cut()
        self.assertLessEqual(during.start, after.start)
        self.assertAlmostEqual(
            after.end - after.start, partitions.HEALED_SECONDS
        )
        released = [
            call.args[0] for call in self.deployment.release.mock_calls
        ]
        self.assertEqual(len(released), 3)
