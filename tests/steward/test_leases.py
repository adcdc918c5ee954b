"""Leases: at no moment may two stewards send orders in one scope."""

import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from clementinewall import _schema
from clementinewall import clock
from clementinewall.records import control
from clementinewall import settings
from clementinewall.steward import leases

LEASES = settings.Leases()
SCOPE = "s"
NAMES = ["x", "y"]


class OneHolder(stateful.RuleBasedStateMachine):
    """Two stewards with drifting clocks read one log with delays.

    Either may be slow or paused.  An append takes effect at once, but each
    steward sees it only when it reads the log.
    """

    def __init__(self):
        """Start with an empty log and free scopes."""
        super().__init__()
        self.log = []
        self.in_flight = []
        self.clocks = {n: clock.ManualClock(i) for i, n in enumerate(NAMES)}
        self.state = {n: control.State() for n in NAMES}
        self.table = {}
        for name in NAMES:
            self.state[name].begin(0)
            self.table[name] = leases.LeaseTable(
                LEASES, name, self.clocks[name].now
            )
        self.serial = 0

    @stateful.rule(by=st.sampled_from([500, 2_000, 8_100]))
    def pass_time(self, by):
        """Let time pass, for one clock a little faster than the other."""
        for name, own in self.clocks.items():
            drift = by // 100 if name == "y" else 0
            own.advance(by + drift)

    @stateful.rule(name=st.sampled_from(NAMES), acts=st.booleans())
    def read(self, name, acts):
        """Read to the end and observe; then claim if that is allowed."""
        state = self.state[name]
        for offset in range(state.next, len(self.log)):
            state.apply(offset, self.log[offset])
        self.table[name].observe(state)
        expected = self.table[name].challenge(SCOPE)
        if acts and expected is not None:
            self._claim_late(name, expected)

    @stateful.rule(name=st.sampled_from(NAMES), lost=st.booleans())
    def renew(self, name, lost):
        """Renew the lease this steward last read as its own, or lose it."""
        table = self.table[name]
        if table.is_own(SCOPE):
            claims = {SCOPE: table.fence(SCOPE)}
            record = control.Renewal(self._next(name), name, name, claims)
            if not lost:
                self.log.append(_schema.plain(record))

    def _claim_late(self, name, expected):
        """Decide on a claim now; it reaches the log some steps later."""
        record = control.Claim(
            self._next(name), SCOPE, name, name, "a", *expected
        )
        self.in_flight.append(_schema.plain(record))

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule()
    def arrive(self):
        """Append the oldest claim that is still in flight."""
        self.log.append(self.in_flight.pop(0))

    @stateful.invariant()
    def one_at_most(self):
        """At one moment only one steward would send an order."""
        able = [n for n in NAMES if self.table[n].may_order(SCOPE)]
        assert len(able) <= 1, able

    def _next(self, name):
        self.serial += 1
        self.table[name].record_sent(str(self.serial))
        return str(self.serial)


OneHolderTest = OneHolder.TestCase
OneHolderTest.settings = hypothesis.settings(
    max_examples=300, stateful_step_count=30
)


class OwnLeaseTest(unittest.TestCase):
    """The remaining time of a holder's own lease."""

    def test_lease_starts_when_its_record_was_sent(self):
        """Two stewards could order one engine if a lease started too late.

        The log is slow: the record took effect long before its sender reads
        it back, but a challenger read it at once and waits from then.  A
        lease that started at the read-back would outlast that wait.
        """
        now = clock.ManualClock()
        state = control.State()
        state.begin(0)
        table = leases.LeaseTable(LEASES, "x", now.now)
        table.record_sent("1")
        claim = control.Claim("1", SCOPE, "x", "x", "a", -1, -1)
        now.advance(LEASES.lease_ms - 1)
        state.apply(0, _schema.plain(claim))
        table.observe(state)
        self.assertEqual(1, table.remaining_ms(SCOPE))
        self.assertFalse(table.may_order(SCOPE))


class SecondCheckTest(unittest.TestCase):
    """The check of a claim by a steward other than its holder."""

    def setUp(self):
        """Append a claim by x, read by the checking steward z."""
        self.clock = clock.ManualClock()
        self.state = control.State()
        self.state.begin(0)
        self.table = leases.LeaseTable(LEASES, "z", self.clock.now)
        self._apply(control.Claim("1", SCOPE, "x", "x", "a", -1, -1))

    def _apply(self, record):
        self.state.apply(self.state.next, _schema.plain(record))
        self.table.observe(self.state)

    def test_a_current_claim_passes(self):
        """The claim is in effect and was read just now."""
        self.assertTrue(self.table.is_current(SCOPE, 0))

    def test_a_replaced_claim_is_refused(self):
        """An engine that ignores fencing tokens could get an outdated order.

        The holder is paused while y takes over, then sends its order.
        """
        self._apply(control.Claim("2", SCOPE, "y", "y", "a", 0, 0))
        self.assertFalse(self.table.is_current(SCOPE, 0))
        self.assertTrue(self.table.is_current(SCOPE, 1))

    def test_an_expired_claim_is_refused(self):
        """No other steward has claimed the scope yet, but one may now."""
        self.clock.advance(LEASES.lease_ms)
        self.assertFalse(self.table.is_current(SCOPE, 0))


if __name__ == "__main__":
    unittest.main()
