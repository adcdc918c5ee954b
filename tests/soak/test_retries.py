"""The soak's check of the retry budget."""

from bench.soak import bounds
from bench.soak import callers
from bench.soak import history as history_module
from bench.soak import retries
from tests.soak import base

AT = 1_000.0


def arrival(attempt, at=AT, is_prefill=False, service="model"):
    """Return an arrival at an endpoint."""
    return history_module.Arrival(attempt, "e", service, at, is_prefill)


class Budget(base.HistoryCase):
    """Streams that reach engines once or several times."""

    def violations(self):
        """Return how many services are over their bound."""
        return len(list(retries.find_violations(self.history)))

    def record_streams(self, number, at=AT, kind="stream"):
        """Record streams that were sent and reached an engine."""
        names = [f"{at}-{each}" for each in range(number)]
        for name in names:
            self.history.sent.append(base.sent(name, kind, at=at))
            self.history.arrivals.append(arrival(name, at))
        return names

    def retry(self, names, at):
        """Record one more arrival of each request."""
        self.history.arrivals.extend(arrival(name, at) for name in names)

    def test_retries_within_the_bound(self):
        names = self.record_streams(100)
        self.retry(names[: 20 + bounds.RETRY_SLACK], AT + 1)
        self.assertEqual(self.violations(), 0)

    def test_retries_over_the_bound(self):
        names = self.record_streams(100)
        self.retry(names[: 21 + bounds.RETRY_SLACK], AT + 1)
        self.assertEqual(self.violations(), 1)

    def test_requests_of_the_window_before_count(self):
        names = self.record_streams(100)
        late = AT + 1.5 * bounds.RETRY_WINDOW_SECONDS
        self.retry(names[: 20 + bounds.RETRY_SLACK], late)
        self.assertEqual(self.violations(), 1)
        self.record_streams(100, late - bounds.RETRY_WINDOW_SECONDS / 2)
        self.assertEqual(self.violations(), 0)

    def test_the_first_prefill_is_not_a_retry(self):
        for name in self.record_streams(40):
            self.history.arrivals.append(arrival(name, AT, is_prefill=True))
        self.assertEqual(self.violations(), 0)
        self.history.arrivals.extend(
            arrival(f"{AT}-{each}", AT, is_prefill=True) for each in range(40)
        )
        self.assertEqual(self.violations(), 1)

    def test_streams_of_all_kinds_count_for_engines_only(self):
        # Guards against a bound of calls that grows with long streams.
        for kind in callers.STREAM_KINDS:
            with self.subTest(kind):
                self.setUp()
                names = self.record_streams(100, kind=kind)
                self.retry(names[: 20 + bounds.RETRY_SLACK], AT + 1)
                self.assertEqual(self.violations(), 0)
                self.history.arrivals.extend(
                    arrival("call", AT + 1, service="app")
                    for _ in range(bounds.RETRY_SLACK + 2)
                )
                self.assertEqual(self.violations(), 1)
