"""What a gateway keeps of recent admissions, refusals and sizes."""

import unittest

from clementinewall.admission import controller
from clementinewall.admission import recent
from clementinewall.admission import returns
from clementinewall.admission import sizes
from clementinewall import clock

SERVICE = "model"


class Counts(unittest.TestCase):
    """Counts of two gateways of a cell."""

    def setUp(self):
        """Create the counts of two gateways."""
        self.ticker = clock.ManualClock(10_000)
        self.own = recent.Recent(self.ticker.now)
        self.peer = recent.Recent(self.ticker.now)

    def record(self, counts, owner, times, is_admitted):
        """Count some requests of an owner."""
        group = recent.Group(SERVICE, owner, 0)
        for _ in range(times):
            counts.record(group, is_admitted, not is_admitted, True)

    def test_what_a_peer_reports_counts_once(self):
        # Load: two gateways, one report that comes twice.  Guards against
        # deciding by the own requests alone, and against double counts.
        self.record(self.own, "a", 5, True)
        self.record(self.peer, "a", 15, False)
        for _ in range(2):
            self.own.take_report("peer", self.peer.report())
        group = recent.Group(SERVICE, "a", 0)
        self.assertAlmostEqual(self.own.standing(group).asked, 20.0)
        self.assertAlmostEqual(self.own.load(SERVICE).pressure, 0.75)

    def test_counts_fade_and_the_report_ends(self):
        # Load: none after some requests.  Guards against refusals because
        # of an overload that is over, and against messages without need.
        self.record(self.own, "a", 20, False)
        self.assertGreater(self.own.load(SERVICE).pressure, 0.9)
        self.ticker.advance(60_000)
        self.assertEqual(self.own.load(SERVICE).pressure, 0.0)
        self.assertIsNone(self.own.report())

    def test_the_report_and_the_memory_are_bounded(self):
        # Load: 3,000 callers.  Guards against datagrams over the limit and
        # memory that grows with the number of callers.
        for number in range(3_000):
            self.record(self.own, f"c{number}", 1, True)
        _, rows = self.own.report()
        self.assertEqual(len(rows), recent.MAX_REPORTED_GROUPS)
        self.assertLessEqual(len(self.own._tally_by_group), recent.MAX_GROUPS)

    def test_malformed_reports_are_refused(self):
        # Load: none.  Guards against datagrams of any sender that end the
        # process or spoil the counts.
        total = {SERVICE: [1.0, 1.0, 0.0, 0.0]}
        row = [SERVICE, "a", 0, 1.0, 1.0]
        for data in (
            None,
            [total],
            [total, [row] * 41],
            [{SERVICE: [1.0, 1.0, 0.0, float("nan")]}, []],
            [{SERVICE: [1.0, -1.0, 0.0, 0.0]}, []],
            [total, [[SERVICE, "a", "0", 1.0, 1.0]]],
            [total, [[SERVICE, "a" * 201, 0, 1.0, 1.0]]],
            [total, [[SERVICE, "a", 0, 1.0, 1e300]]],
        ):
            with self.assertRaises((AttributeError, TypeError, ValueError)):
                self.own.take_report("peer", data)
        self.assertIsNone(self.own.report())


class Reports(unittest.TestCase):
    """What a gateway adds to its messages."""

    def test_counts_are_not_in_each_message(self):
        # Load: messages each 10 ms.  Guards against counts that fill slow
        # links.
        ticker = clock.ManualClock(10_000)
        admission = controller.Admission(ticker.now)
        group = recent.Group(SERVICE, "a", 0)
        admission._recent.record(group, True, False, True)
        messages = 0
        for _ in range(100):
            messages += admission.message() is not None
            ticker.advance(10)
        self.assertEqual(messages, 4)


class Returns(unittest.TestCase):
    """Callers that come back."""

    def setUp(self):
        """Refuse a request."""
        self.ticker = clock.ManualClock(10_000)
        self.returns = returns.Returns(self.ticker.now)
        self.returns.record_refusal("a", 500)

    def test_a_return_counts_after_the_advised_time(self):
        # Load: one caller.  Guards against an advantage for repeats.
        self.assertIsNone(self.returns.is_return("b"))
        self.assertIs(self.returns.is_return("a"), False)
        self.ticker.advance(500)
        self.assertIs(self.returns.is_return("a"), True)
        self.ticker.advance(returns.KEEP_MS + 1)
        self.assertIsNone(self.returns.is_return("a"))

    def test_repeats_put_the_return_off(self):
        # Load: one caller, each 100 ms.  Guards against a caller that gets
        # the advantage of a return without waiting.
        for _ in range(50):
            self.ticker.advance(100)
            self.assertIs(self.returns.is_return("a"), False)
            self.returns.record_refusal("a", 500)

    def test_refusals_are_bounded(self):
        # Load: 5,000 callers.  Guards against memory that grows with them.
        for number in range(5_000):
            self.returns.record_refusal(number, 500)
        self.assertEqual(
            len(self.returns._refusal_by_key), returns.MAX_REFUSALS
        )


class Sizes(unittest.TestCase):
    """The largest prompts."""

    def test_the_largest_tenth_is_large(self):
        # Load: prompts of 1 to 100.  Guards against rules for large prompts
        # that apply to others.
        found = sizes.Sizes()
        for tokens in range(1, 101):
            found.record(tokens, True)
        self.assertTrue(found.is_large(95))
        self.assertFalse(found.is_large(85))

    def test_prompts_of_one_size_are_not_large(self):
        # Load: one size, half refused.  Guards against serving all late.
        found = sizes.Sizes()
        for number in range(100):
            found.record(6_000, number % 2 == 0)
        self.assertFalse(found.is_underserved(6_000))

    def test_refused_large_prompts_are_underserved(self):
        # Load: all but the largest are served.  Guards against a size that
        # is refused each time.
        found = sizes.Sizes()
        for number in range(200):
            tokens = number % 20 + 1
            found.record(tokens, tokens < 19)
        self.assertTrue(found.is_underserved(20))
        self.assertFalse(found.is_underserved(3))

    def test_the_fifth_below_the_largest_counts_by_itself(self):
        # Load: the largest tenth is served, the fifth below it isn't.  Guards
        # against sizes that lie between two rules.
        found = sizes.Sizes()
        for number in range(200):
            tokens = number % 20 + 1
            found.record(tokens, not 15 <= tokens <= 18)
        self.assertTrue(found.is_underserved(16))
        self.assertFalse(found.is_underserved(20))
        self.assertFalse(found.is_underserved(3))

    def test_prompts_without_an_event_are_not_served(self):
        # Guards against admissions that count though nothing came of them.
        found = sizes.Sizes()
        for number in range(200):
            tokens = number % 20 + 1
            found.record(tokens, True)
            if tokens >= 19:
                found.withdraw(tokens)
        self.assertTrue(found.is_underserved(20))
