"""A seeded run: faults of random kinds at random times, then the checks."""

import random
import time

from bench.soak import bounds
from bench.soak import checks
from bench.soak import deployment
from bench.soak import duties
from bench.soak import endpoint_faults
from bench.soak import garbled
from bench.soak import harmful_parts
from bench.soak import odd_entries
from bench.soak import partitions
from bench.soak import planned_work
from bench.soak import rejoins
from bench.soak import restarts
from bench.soak import unplanned_faults
from tests.integration import gateway_base

GAP_SECONDS = (0.3, 2.0)
LENGTH_SECONDS = (0.4, 4.0)
SETTLE_SECONDS = 5.0

# Seeds draw from this table: adding or removing a kind changes every run.
KINDS = {
    "signal": unplanned_faults.pause,
    "kill": unplanned_faults.kill,
    "term": planned_work.stop,
    "hup": planned_work.reload,
    "proxy": unplanned_faults.disturb_proxy,
    "store": unplanned_faults.disturb_store,
    "crash": unplanned_faults.crash,
    "leave": planned_work.drain_endpoint,
    "publish": planned_work.publish_configuration,
}
PLANNED_KINDS = {
    "stop": planned_work.stop,
    "stop-two": planned_work.stop_two,
    "stop-twice": planned_work.stop_twice,
    "stop-after-start": planned_work.stop_after_start,
    "hup": planned_work.reload,
    "hup-in-drain": planned_work.reload_while_draining,
    "hup-and-stop": planned_work.reload_and_stop,
    "leave": planned_work.drain_endpoint,
    "publish": planned_work.publish_configuration,
    "publish-series": planned_work.publish_series,
}

# What sound endpoints do.  These come beside the kinds above, drawn by a
# generator of their own.
ENDPOINT_KINDS = {
    "announce-leave": endpoint_faults.announce_leave,
    "limit": endpoint_faults.name_limit,
    "rest": endpoint_faults.rest,
    "rest-all": endpoint_faults.rest_all,
    "silence": endpoint_faults.fall_silent,
}

# What cuts gateways off from endpoints; drawn by a generator of its own, too.
PARTITION_KINDS = {
    "cut": partitions.cut_one,
    "cut-most": partitions.cut_most,
    "cut-all": partitions.cut_all,
    "cut-some": partitions.cut_some,
}
# Needs gateways in several data centres, so that it is drawn only when it is
# asked for.
DATA_CENTRE_KINDS = {"cut-data-centre": partitions.cut_data_centre}
ALL_PARTITION_KINDS = {**PARTITION_KINDS, **DATA_CENTRE_KINDS}
PARTITION_GAP_SECONDS = (2.0, 6.0)
# Requests that crash engines; drawn by a generator of its own, too.
PART_KINDS = {"harmful-part": harmful_parts.send_series}
PART_GAP_SECONDS = (4.0, 10.0)
# Entries of another writer; drawn by a generator of its own, too.
ENTRY_KINDS = {"odd-entry": odd_entries.write}
ENTRY_GAP_SECONDS = (1.0, 4.0)
# Wrong bytes of endpoints; drawn by a generator of its own, too.
GARBLE_GAP_SECONDS = (2.0, 6.0)
# The loss of all gateways leaves little undisturbed, so it is drawn only when
# it is asked for; by a generator of its own, too.
RESTART_KINDS = {"lose-all": restarts.lose_all}
RESTART_GAP_SECONDS = (18.0, 22.0)
# Needs customers and a duty service, so that it is drawn only when it is asked
# for; by a generator of its own, too.
DUTY_KINDS = {"duty": duties.disturb}
# Losses of gateways beside releases of newer engine versions, drawn only when
# they are asked for; by a generator of its own, too.
REJOIN_KINDS = {
    "rejoin-all": rejoins.lose_all,
    "rejoin-most": rejoins.lose_most,
    "rejoin-each": rejoins.lose_each,
}
SIDE_KINDS = {
    **ENDPOINT_KINDS,
    **ALL_PARTITION_KINDS,
    **PART_KINDS,
    **ENTRY_KINDS,
    **garbled.KINDS,
    **RESTART_KINDS,
    **DUTY_KINDS,
    **REJOIN_KINDS,
}
VERSIONS = ("v1", "v2")


class Soak:
    """One seeded run."""

    def __init__(
        self,
        seed,
        seconds,
        gateways=3,
        only=(),
        planned=False,
        has_versions=False,
        processors=None,
    ):
        """Prepare the run; :meth:`run` executes it.

        ``planned`` leaves out all faults but planned work; with
        ``has_versions`` engines have several software versions, and callers
        take streams up that break off.  With ``processors`` the gateways
        share so many.
        """
        self._seconds = seconds
        self._only = only
        self._endpoint_rng = random.Random(f"endpoints {seed}")
        self._partition_rng = random.Random(f"partitions {seed}")
        self._part_rng = random.Random(f"parts {seed}")
        self._entry_rng = random.Random(f"entries {seed}")
        self._garble_rng = random.Random(f"garbled {seed}")
        self._restart_rng = random.Random(f"restarts {seed}")
        self._duty_rng = random.Random(f"duties {seed}")
        self._rejoin_rng = random.Random(f"rejoins {seed}")
        self._function_by_kind = PLANNED_KINDS if planned else KINDS
        self._planned = planned
        self._deployment = deployment.Deployment(
            seed,
            gateways,
            bool(self._partition_kinds()),
            VERSIONS if has_versions else VERSIONS[:1],
            bool(self._duty_kinds()),
            bool(self._rejoin_kinds()),
            processors,
            bool(DATA_CENTRE_KINDS.keys() & {*only}),
        )
        self.history = self._deployment.history

    def run(self):
        """Run, and return a sentence for each broken guarantee."""
        try:
            self._deployment.bring_up()
            threads = self._deployment.start_clients()
            side_threads = [
                self._deployment.run_in_thread(inject)
                for inject in (
                    self._inject_endpoint_faults,
                    self._inject_partitions,
                    self._inject_parts,
                    self._inject_entries,
                    self._inject_garbled,
                    self._inject_restarts,
                    self._inject_duty_faults,
                    self._inject_rejoins,
                )
            ]
            self._inject()
            for thread in side_threads:
                thread.join()
            time.sleep(SETTLE_SECONDS)
            self._deployment.stopping.set()
            for thread in threads:
                thread.join(30)
            self._deployment.end_spans()
            return [
                *checks.find_violations(self.history),
                *self._deployment.duty_violations(),
                *self._ended_gateways(),
                *self._large_gateways(),
            ]
        finally:
            self._deployment.close()

    def _kinds(self):
        """Return the kinds that this run draws from."""
        names = sorted(self._function_by_kind)
        # With all kinds at once no gateway stays undisturbed for long, and
        # guarantees that hold only for undisturbed ones would go unchecked.
        # So each seed draws a few kinds.
        drawn = self._deployment.rng.sample(
            names, self._deployment.rng.randint(2, 5)
        )
        if self._only:
            return tuple(k for k in self._only if k not in SIDE_KINDS)
        return tuple(names if self._planned else drawn)

    def _endpoint_kinds(self):
        kinds = sorted(ENDPOINT_KINDS)
        if self._only:
            return [kind for kind in self._only if kind in kinds]
        return kinds

    def _partition_kinds(self):
        """Return the kinds of cuts; planned work is run without them."""
        if self._only:
            return [k for k in self._only if k in ALL_PARTITION_KINDS]
        return [] if self._planned else sorted(PARTITION_KINDS)

    def _inject(self):
        rng = self._deployment.rng

        def inject(kind):
            length = rng.uniform(*LENGTH_SECONDS)
            return self._function_by_kind[kind](self._deployment, length)

        self._inject_series(rng, self._kinds(), inject)

    def _inject_endpoint_faults(self):
        rng = self._endpoint_rng

        def inject(kind):
            length = rng.uniform(*LENGTH_SECONDS)
            return ENDPOINT_KINDS[kind](self._deployment, rng, length)

        self._inject_series(rng, self._endpoint_kinds(), inject)

    def _inject_partitions(self):
        rng = self._partition_rng

        def inject(kind):
            return ALL_PARTITION_KINDS[kind](self._deployment, rng)

        self._inject_series(
            rng, self._partition_kinds(), inject, PARTITION_GAP_SECONDS
        )

    def _inject_parts(self):
        rng = self._part_rng

        def inject(kind):
            return PART_KINDS[kind](self._deployment, rng)

        kinds = [] if self._planned else sorted(PART_KINDS)
        if self._only:
            kinds = [kind for kind in self._only if kind in PART_KINDS]
        self._inject_series(rng, kinds, inject, PART_GAP_SECONDS)

    def _inject_entries(self):
        rng = self._entry_rng

        def inject(kind):
            return ENTRY_KINDS[kind](self._deployment, rng)

        kinds = [] if self._planned else sorted(ENTRY_KINDS)
        if self._only:
            kinds = [kind for kind in self._only if kind in ENTRY_KINDS]
        self._inject_series(rng, kinds, inject, ENTRY_GAP_SECONDS)

    def _inject_garbled(self):
        rng = self._garble_rng

        def inject(kind):
            garbled.KINDS[kind](self._deployment, rng)

        kinds = [] if self._planned else sorted(garbled.KINDS)
        if self._only:
            kinds = [kind for kind in self._only if kind in garbled.KINDS]
        self._inject_series(rng, kinds, inject, GARBLE_GAP_SECONDS)

    def _inject_restarts(self):
        rng = self._restart_rng

        def inject(kind):
            # Callers need some time to be served before.
            time.sleep(bounds.JUDGED_RESTART_SECONDS)
            return RESTART_KINDS[kind](self._deployment, rng)

        kinds = [kind for kind in self._only if kind in RESTART_KINDS]
        self._inject_series(rng, kinds, inject, RESTART_GAP_SECONDS)

    def _duty_kinds(self):
        return [kind for kind in self._only if kind in DUTY_KINDS]

    def _inject_duty_faults(self):
        rng = self._duty_rng

        def inject(kind):
            return DUTY_KINDS[kind](self._deployment, rng)

        self._inject_series(rng, self._duty_kinds(), inject)

    def _rejoin_kinds(self):
        return [kind for kind in self._only if kind in REJOIN_KINDS]

    def _inject_rejoins(self):
        rng = self._rejoin_rng

        def inject(kind):
            REJOIN_KINDS[kind](self._deployment, rng)

        self._inject_series(rng, self._rejoin_kinds(), inject)

    def _inject_series(self, rng, kinds, inject, gap_seconds=GAP_SECONDS):
        end = time.monotonic() + self._seconds
        threads = []
        while kinds and time.monotonic() < end:
            threads.append(inject(rng.choice(kinds)))
            time.sleep(rng.uniform(*gap_seconds))
        for thread in threads:
            if thread is not None:
                thread.join()

    def _large_gateways(self):
        case = self._deployment.case
        for name in self._deployment.gateways:
            is_running = self._deployment.process(name).poll() is None
            if is_running and case.peak_mb(name) > gateway_base.MEMORY_MB:
                yield f"{name} took {case.peak_mb(name):.0f} MB"

    def _ended_gateways(self):
        for name in self._deployment.gateways:
            if self._deployment.process(name).poll() is not None:
                yield f"{name} ended without being stopped"
