"""Short runs of the soak with fixed seeds; longer ones are `make soak`."""

import unittest

from bench.soak import faults

SECONDS = 12
# Without what endpoints do beside it.
PLANNED_WORK = tuple(sorted(faults.PLANNED_KINDS))


class SoakTest(unittest.TestCase):
    """Real gateways under random faults."""

    maxDiff = None

    def check(
        self,
        seed,
        *kinds,
        planned=False,
        seconds=SECONDS,
        has_versions=False,
        **more,
    ):
        """Run a seed and check that every guarantee was kept."""
        soak = faults.Soak(
            seed,
            seconds,
            only=kinds,
            planned=planned,
            has_versions=has_versions,
            **more,
        )
        self.assertEqual(soak.run(), [])
        self.assertGreater(len(soak.history.sent), 50)
        return soak.history

    def test_killed_and_paused_gateways(self):
        self.check(1, "kill", "signal", "publish")

    def test_endpoints_that_come_and_go(self):
        # Guards against false blame of calls for crashes: equal calls are
        # open at endpoints that crash for other reasons.  Seed 12 with all
        # kinds of fault showed it first.
        self.check(12, "leave", "crash", "publish")

    def test_odd_entries_beside_kills(self):
        # Guards against entries of another writer that end gateways.
        history = self.check(660, "odd-entry", "kill", "publish")
        self.assertTrue(any("odd entry" in what for _, what in history.faults))

    def test_second_answers_beside_stops(self):
        # Guards against late answers that are taken for those to others, to a
        # gateway's own calls too.
        history = self.check(771, "second-answers", "term", seconds=16)
        self.assertIn("second answers", str(history.faults))

    def test_bytes_without_end(self):
        # Guards against gateways that keep what is no answer.
        history = self.check(772, "endless-answers", "publish", seconds=16)
        self.assertIn("without end", str(history.faults))

    def test_stops_and_cut_connections(self):
        self.check(2, "term", "proxy", "store")

    def test_planned_work_alone(self):
        self.check(4, *PLANNED_WORK, planned=True)

    def test_planned_work_that_held_requests_beyond_their_limits(self):
        self.check(397, *PLANNED_WORK, planned=True, seconds=18)

    def test_planned_work_beside_which_callers_that_left_were_served(self):
        self.check(396, *PLANNED_WORK, planned=True, seconds=18)

    def test_signals_in_a_drain(self):
        self.check(
            3, "hup-in-drain", "stop-twice", "hup-and-stop", planned=True
        )

    def test_gateways_that_are_cut_off_from_endpoints(self):
        # Guards against gateways that know no other way to the endpoints.
        history = self.check(1, *faults.PARTITION_KINDS, "kill", seconds=20)
        self.assertTrue(history.cuts)

    def test_a_data_centre_that_is_cut_off_and_what_follows(self):
        # Guards against ways that only gateways of other data centres have.
        history = self.check(1, "cut-data-centre", gateways=34)
        self.assertTrue(history.cuts)

    def test_endpoints_that_name_limits(self):
        # Guards against gateways that together send more than was named.
        history = self.check(411, "limit", "hup", "publish", planned=True)
        self.assertTrue(history.limit_notices)

    def test_endpoints_that_rest_leave_and_fall_silent(self):
        # Guards against requests to endpoints that asked for none.
        history = self.check(
            910,
            *faults.ENDPOINT_KINDS,
            "hup",
            "leave",
            "publish-series",
            planned=True,
            seconds=18,
        )
        self.assertTrue(history.rest_requests)
        self.assertTrue(history.leave_notices)

    def test_engines_of_several_versions(self):
        # Guards against streams that hold events of two versions.
        history = self.check(
            470, "crash", "kill", "leave", has_versions=True, seconds=16
        )
        self.assertGreater(len(history.returns), 12)

    def test_streams_that_went_on_at_another_version_after_a_loss(self):
        history = self.check(601, "rejoin-all", seconds=2)
        self.assertTrue(history.rejoins)

    def test_streams_that_were_refused_after_a_loss(self):
        history = self.check(602, "rejoin-all", seconds=2)
        self.assertTrue(history.rejoins)

    def test_the_loss_of_all_gateways_beside_a_late_store(self):
        # Guards against starts that give late answers of the store up.
        history = self.check(534, "lose-all", seconds=2)
        self.assertTrue(history.restarts)

    def test_the_loss_of_all_gateways_while_processors_are_few(self):
        # Guards against starts that take each other the time to be back in.
        history = self.check(
            703, "lose-all", seconds=2, gateways=12, processors=1
        )
        self.assertTrue(history.restarts)

    def test_duties_beside_faults_of_gateways_store_and_service(self):
        # Guards against two holders at a time and different reports of one
        # window, whatever fails together.
        self.check(
            612, *faults.DUTY_KINDS, "kill", "signal", "store", seconds=30
        )

    def test_parts_of_prompts_that_crash_engines(self):
        # Guards against a part that ends engine after engine.
        history = self.check(471, *faults.PART_KINDS, "hup", seconds=20)
        self.assertTrue(history.part_series[0].crashes)
