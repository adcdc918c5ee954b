"""A seeded run: which kinds of fault come when, then the checks."""

import time

from bench.soak import checks
from bench.soak import deployment
from bench.soak import planned_work
from bench.soak import unplanned

GAP_SECONDS = (0.3, 2.0)
LENGTH_SECONDS = (0.4, 4.0)
SETTLE_SECONDS = 5.0

# Seeds draw from this table: a kind more or less changes what each one does.
KINDS = {
    "signal": unplanned.pause,
    "kill": unplanned.kill,
    "term": planned_work.stop,
    "hup": planned_work.hang_up,
    "proxy": unplanned.disturb_proxy,
    "store": unplanned.disturb_store,
    "crash": unplanned.crash,
    "leave": planned_work.leave,
    "publish": planned_work.change,
}
PLANNED_KINDS = {
    "stop": planned_work.stop,
    "stop-two": planned_work.stop_two,
    "stop-twice": planned_work.stop_twice,
    "stop-after-start": planned_work.stop_after_start,
    "hup": planned_work.hang_up,
    "hup-in-drain": planned_work.hang_up_in_drain,
    "hup-and-stop": planned_work.hang_up_and_stop,
    "leave": planned_work.leave,
    "publish": planned_work.change,
    "publish-series": planned_work.change_in_series,
}


class Soak:
    """One seeded run."""

    def __init__(self, seed, seconds, gateways=3, only=(), planned=False):
        """Prepare; :meth:`go` does the work.

        ``planned`` leaves out all faults but planned work.
        """
        self._seconds = seconds
        self._only = only
        self._begin_by_kind = PLANNED_KINDS if planned else KINDS
        self._planned = planned
        self._deployment = deployment.Deployment(seed, gateways)
        self.ledger = self._deployment.ledger

    def go(self):
        """Run, and return a sentence for each broken promise."""
        try:
            self._deployment.bring_up()
            threads = self._deployment.start_clients()
            self._inject()
            time.sleep(SETTLE_SECONDS)
            self._deployment.stopping.set()
            for thread in threads:
                thread.join(30)
            return [*checks.judge(self.ledger), *self._ended_gateways()]
        finally:
            self._deployment.close()

    def _kinds(self):
        """Return the kinds that this run draws from."""
        names = sorted(self._begin_by_kind)
        # A run with all kinds at once leaves no gateway calm for long, and
        # what must hold at calm ones goes unchecked: each seed draws some.
        drawn = self._deployment.draw.sample(
            names, self._deployment.draw.randint(2, 5)
        )
        if self._only:
            return self._only
        return tuple(names if self._planned else drawn)

    def _inject(self):
        draw = self._deployment.draw
        kinds = self._kinds()
        end = time.monotonic() + self._seconds
        threads = []
        while time.monotonic() < end:
            kind = draw.choice(kinds)
            length = draw.uniform(*LENGTH_SECONDS)
            threads.append(self._begin_by_kind[kind](self._deployment, length))
            time.sleep(draw.uniform(*GAP_SECONDS))
        for thread in threads:
            if thread is not None:
                thread.join()

    def _ended_gateways(self):
        for name in self._deployment.gateways:
            if self._deployment.process(name).poll() is not None:
                yield f"{name} ended by itself"
