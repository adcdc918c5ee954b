"""The parts of the duties, put together for a gateway that has them."""

from clementinewall.duties import client
from clementinewall.duties import collection
from clementinewall.duties import holder
from clementinewall.scaling import load_samples
from clementinewall.scaling import scaler
from clementinewall.usage import counter
from clementinewall.usage import ledger
from clementinewall.usage import reporting
from clementinewall.usage import window_clock

# A datagram may be lost, and a gateway that stops sends no more.
FINAL_SENDS = 2


class Duties:
    """What this gateway does for all, or hands over to who does."""

    def __init__(
        self, settings, peers, fleet_view, endpoints, is_ready, ticker
    ):
        """Use the duty service of the settings; ``peers`` carry messages."""
        self._own_ip = settings.ip
        self._table = peers.table
        service = settings.duty_service
        self._holder = holder.DutyHolder(
            settings, peers.table, is_ready, ticker
        )
        self._client = client.DutyClient(settings, self._holder, ticker)
        self._collection = collection.Collection(
            settings, self._holder, peers.send_to
        )
        peers.listeners.append(self._collection.take)
        self._task_by_name = {
            "the lease of the duties": self._holder.run,
            "the collection": self._collection.run,
        }
        self.counter = None
        if service.reports_usage:
            self._add_usage(settings, ticker)
        if service.orders_engines:
            self._add_scaling(settings, fleet_view, endpoints, ticker.now)

    def _add_usage(self, settings, ticker):
        windows = window_clock.WindowClock(
            ticker, settings.bounds.usage_window_ms
        )
        self.counter = counter.Counter(windows)
        found = ledger.Ledger(windows)
        self._collection.add("usage", self.counter, found)
        reporter = reporting.UsageReporter(
            self._holder,
            self._client,
            found,
            windows,
            self._live_ips,
            ticker,
        )
        self._task_by_name["usage reports"] = reporter.run

    def _add_scaling(self, settings, fleet_view, endpoints, now):
        def services():
            known = fleet_view.configuration
            rows = known.service_by_name.values() if known else ()
            return [row.name for row in rows if row.scale is not None]

        board = load_samples.LoadBoard(now)
        sampler = load_samples.Sampler(endpoints, services, now)
        self._collection.add("load", sampler, board)
        found = scaler.Scaler(
            fleet_view,
            self._holder,
            self._client,
            board,
            self._live_ips,
            now,
            settings.engine_limits_by_service,
        )
        self._task_by_name["orders of engines"] = found.run

    def _live_ips(self):
        """Return the addresses of all gateways that are heard, and the own."""
        return {self._own_ip, *(peer.ip for peer in self._table.live())}

    def start(self, start_task):
        """Start the tasks, each by ``start_task(name, function)``."""
        for name, task in self._task_by_name.items():
            start_task(name, task)

    def count_begun(self, call):
        """Count a request that an endpoint began to run."""
        if self.counter is not None and call.customer is not None:
            self.counter.count(call.customer)

    def finish(self):
        """Hand over the last counts, as the process is about to end."""
        if self.counter is not None:
            self.counter.close()
        for _ in range(FINAL_SENDS):
            self._collection.send()
