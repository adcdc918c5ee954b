"""Gateways that reach no endpoint, while callers and peers reach them."""

import time

from tests.integration import partition_base


class Partition(partition_base.PartitionCase):
    """Four gateways, two of which are cut off from all endpoints."""

    def test_streams_of_gateways_whose_links_hang_are_served(self):
        # Guards against gateways that know no other way to the engines.
        self.check_callers("/chat/x", "hang")

    def test_streams_of_gateways_whose_links_are_reset_are_served(self):
        # Guards against gateways that know no other way to the engines.
        self.check_callers("/chat/x", "reset")

    def test_calls_of_gateways_whose_links_hang_are_served(self):
        # Guards against gateways that know no other way to the services.
        self.check_callers("/look/x", "hang")

    def test_calls_of_gateways_that_are_refused_new_links_are_served(self):
        # Guards against gateways that know no other way to the services.
        self.is_closing = True
        self.check_callers("/look/x", "refuse")

    def test_bookings_of_gateways_that_are_cut_off_run_once(self):
        # Guards against bookings that two gateways pass on.
        self.check_callers("/book/x", "reset")
        self.assertEqual(len(self.runs), len(set(self.runs)))

    def test_a_cut_of_all_gateways_makes_no_part_of_prompts_harmful(self):
        # Guards against refusing all prompts that share a part after a cut.
        self.event_seconds = 0.3
        callers = self.start_callers("/chat/x")
        names = [f"gateway-{number}" for number in self.called_numbers]
        time.sleep(0.7)
        for mode in ("reset", "ok"):
            self.set_links(mode, names)
            time.sleep(1.5)
        self.event_seconds = partition_base.CALL_SECONDS
        began = time.monotonic()
        time.sleep(partition_base.JUDGED_SECONDS)
        self.stop_callers(callers)
        judged = [served for _, at, served in self.outcomes if at >= began]
        self.assertGreater(sum(judged), 0.9 * len(judged))
