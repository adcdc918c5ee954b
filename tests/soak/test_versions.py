"""The soak's check of streams beside engines of several versions."""

from bench.soak import bounds
from bench.soak import history as history_module
from bench.soak import versions
from tests.soak import base

LOST_AT = 1_000.0
READY_AT = LOST_AT + 3
JUDGED_AT = READY_AT + bounds.REJOIN_SECONDS + 0.2
END = JUDGED_AT + 4


class MixedStreamsTest(base.HistoryCase):
    """Streams with events of one or two versions."""

    def violations(self, mixed):
        """Return how many guarantees so many mixed streams break."""
        for number in range(mixed + 5):
            names = ("v1", "v1.1") if number < mixed else ("v1",)
            row = history_module.Stream(f"s{number}", frozenset(names))
            self.history.add(self.history.streams, row)
        return len(list(versions.find_violations(self.history)))

    def test_streams_of_two_versions_are_found(self):
        self.assertEqual(self.violations(bounds.MAX_MIXED_STREAMS + 1), 1)

    def test_the_bound_is_allowed(self):
        self.assertEqual(self.violations(bounds.MAX_MIXED_STREAMS), 0)


class RejoinTest(base.HistoryCase):
    """Gateways are lost once beside a release."""

    def setUp(self):
        """Record the loss, and an engine of the version that serves."""
        super().setUp()
        self.history.add(
            self.history.rejoins,
            history_module.Restart(LOST_AT, READY_AT, END),
        )
        self.record_engine()

    def record_engine(self, version="v1", start=LOST_AT - 5, end=END + 5):
        """Record how long an engine served."""
        row = history_module.EngineSpan("engine", version, start, end)
        self.history.add(self.history.engine_spans, row)

    def record_new(self, begun, refused, at=JUDGED_AT):
        """Record new streams of which some began."""
        for number in range(begun + refused):
            self.record(
                base.sent(
                    f"new {number}",
                    kind="stream",
                    at=at,
                    ended=at,
                    numbers=(1,) if number < begun else (),
                )
            )

    def record_returns(
        self, went_on, refused, at=JUDGED_AT, began_at=LOST_AT - 1
    ):
        """Record streams that were taken up, each once."""
        for number in range(went_on + refused):
            attempt = f"old {number}"
            self.record(
                base.sent(attempt, kind="stream", at=began_at, ended=began_at)
            )
            row = history_module.Return(
                attempt, base.GATEWAY, "v1", at, number < went_on
            )
            self.history.add(self.history.returns, row)

    def violations(self):
        """Return how many losses refused streams that could go on."""
        return len(list(versions.find_violations(self.history)))

    def test_refused_streams_of_a_version_that_serves_are_found(self):
        self.record_new(20, 0)
        self.record_returns(3, 7)
        self.assertEqual(self.violations(), 1)

    def test_half_is_enough(self):
        self.record_new(20, 0)
        self.record_returns(5, 5)
        self.assertEqual(self.violations(), 0)

    def test_new_streams_are_the_measure(self):
        self.record_new(8, 12)
        self.record_returns(3, 7)
        self.assertEqual(self.violations(), 0)

    def test_new_streams_of_other_seconds_are_no_measure(self):
        self.record_new(0, 20)
        self.record_new(20, 0, at=JUDGED_AT + 2)
        self.record_returns(0, 10)
        self.assertEqual(self.violations(), 0)

    def test_a_stream_that_goes_on_at_its_second_try_went_on(self):
        self.record_new(20, 0)
        self.record_returns(0, 10)
        self.record_returns(10, 0, at=JUDGED_AT + 0.1)
        self.assertEqual(self.violations(), 0)

    def test_tries_before_all_are_ready_again_are_not_judged(self):
        self.record_new(20, 0)
        self.record_returns(0, 10, at=READY_AT + bounds.REJOIN_SECONDS / 2)
        self.assertEqual(self.violations(), 0)

    def test_streams_that_began_after_the_loss_are_not_judged(self):
        self.record_new(20, 0)
        self.record_returns(0, 10, began_at=READY_AT + 0.1)
        self.assertEqual(self.violations(), 0)

    def test_few_returns_are_not_judged(self):
        self.record_new(20, 0)
        self.record_returns(0, bounds.MIN_JUDGED_REJOINED - 1)
        self.assertEqual(self.violations(), 0)

    def test_streams_of_a_version_that_left_are_not_judged(self):
        self.history.engine_spans.clear()
        self.record_engine("v1.1")
        self.record_engine("v1", end=JUDGED_AT - 0.1)
        self.record_new(20, 0)
        self.record_returns(0, 10)
        self.assertEqual(self.violations(), 0)

    def test_streams_of_a_version_that_came_back_are_not_judged(self):
        self.history.engine_spans.clear()
        self.record_engine("v1", start=LOST_AT + 1)
        self.record_new(20, 0)
        self.record_returns(0, 10)
        self.assertEqual(self.violations(), 0)
