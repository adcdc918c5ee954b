"""The soak's check of the retry budget."""

from bench.soak import bounds
from bench.soak import ledger as ledger_module
from bench.soak import retries
from tests.soak import base

AT = 1_000.0


def arrival(attempt, at=AT, is_prefill=False):
    """Return an arrival at an engine."""
    return ledger_module.Arrival(attempt, "e", "model", at, is_prefill)


class Budget(base.LedgerCase):
    """Streams that reach engines once or more often."""

    def broken(self):
        """Return how many services are over their bound."""
        return len(list(retries.judge(self.ledger)))

    def streams(self, number, at=AT):
        """See streams that were sent and reached an engine."""
        names = [f"{at}-{each}" for each in range(number)]
        for name in names:
            self.ledger.sent.append(base.sent(name, "stream", at=at))
            self.ledger.arrivals.append(arrival(name, at))
        return names

    def again(self, names, at):
        """See requests reach an engine once more."""
        self.ledger.arrivals.extend(arrival(name, at) for name in names)

    def test_further_arrivals_within_the_bound(self):
        names = self.streams(100)
        self.again(names[: 20 + bounds.RETRY_SLACK], AT + 1)
        self.assertEqual(self.broken(), 0)

    def test_further_arrivals_over_the_bound(self):
        names = self.streams(100)
        self.again(names[: 21 + bounds.RETRY_SLACK], AT + 1)
        self.assertEqual(self.broken(), 1)

    def test_requests_of_the_window_before_count(self):
        names = self.streams(100)
        late = AT + 1.5 * bounds.RETRY_WINDOW_SECONDS
        self.again(names[: 20 + bounds.RETRY_SLACK], late)
        self.assertEqual(self.broken(), 1)
        self.streams(100, late - bounds.RETRY_WINDOW_SECONDS / 2)
        self.assertEqual(self.broken(), 0)

    def test_the_first_reading_of_a_prompt_is_free(self):
        for name in self.streams(40):
            self.ledger.arrivals.append(arrival(name, AT, is_prefill=True))
        self.assertEqual(self.broken(), 0)
        self.ledger.arrivals.extend(
            arrival(f"{AT}-{each}", AT, is_prefill=True) for each in range(40)
        )
        self.assertEqual(self.broken(), 1)
