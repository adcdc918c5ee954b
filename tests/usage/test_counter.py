"""The counts of one gateway and what candidates confirm."""

import unittest

from clementinewall import clock
from clementinewall import domain
from clementinewall.usage import counter
from clementinewall.usage import window_clock

WINDOW_MS = 5_000
IP = "10.0.0.2"
ANNA = domain.Customer("anna", None)


class Counts(unittest.TestCase):
    """A counter and one candidate."""

    def setUp(self):
        """Begin at the start of a window."""
        self.clock = clock.ManualClock(100 * WINDOW_MS)
        self.windows = window_clock.WindowClock(self.clock, WINDOW_MS)
        self.counter = counter.Counter(self.windows)

    def confirm(self, candidate="c1", ip=IP):
        """Confirm all messages of ended windows."""
        for process, window, _rows, size in self.counter.messages(ip):
            whole = size is not None
            self.counter.confirm(ip, [candidate, process, window, whole])

    def counts(self, ip=IP):
        """Return the counts handed over, by window."""
        found = {}
        for _process, window, rows, _size in self.counter.messages(ip):
            found.setdefault(window, {}).update(rows)
        return found

    def test_counts_are_totals_until_they_are_confirmed(self):
        # Guards against counts that a lost datagram loses.
        self.counter.count(ANNA)
        self.assertEqual(self.counts(), {100: {"anna": 1}})
        self.counter.count(ANNA)
        self.assertEqual(self.counts(), {100: {"anna": 2}})
        self.clock.advance(WINDOW_MS)
        self.assertEqual(self.counts(), {100: {"anna": 2}, 101: {}})
        self.confirm()
        self.assertEqual(self.counts(), {101: {}})

    def test_an_open_window_is_never_confirmed(self):
        # Guards against counts after the confirmation of an open window.
        self.counter.count(ANNA)
        self.confirm()
        self.counter.count(ANNA)
        self.assertEqual(self.counts(), {100: {"anna": 2}})

    def test_restarted_candidate_gets_ended_windows_again(self):
        # Guards against counts that are lost with the memory of a candidate.
        self.counter.count(ANNA)
        self.clock.advance(WINDOW_MS)
        self.confirm("c1")
        self.assertEqual(self.counts(), {101: {}})
        self.confirm("c2")
        self.assertEqual(self.counts(), {100: {"anna": 1}, 101: {}})

    def test_other_candidates_confirm_for_themselves(self):
        # Guards against a window that only one of the candidates knows.
        self.counter.count(ANNA)
        self.clock.advance(WINDOW_MS)
        self.confirm()
        self.assertIn(100, self.counts("10.0.0.3"))

    def test_confirmation_for_an_earlier_process_is_ignored(self):
        # Guards against counts that the process before had confirmed.
        self.counter.count(ANNA)
        self.clock.advance(WINDOW_MS)
        self.counter.confirm(IP, ["c1", "other", 100, True])
        self.assertIn(100, self.counts())

    def test_closed_counter_hands_over_its_last_window_as_final(self):
        # Guards against reports that wait for a gateway that has stopped.
        self.counter.count(ANNA)
        self.counter.close()
        self.assertEqual(
            self.counter.messages(IP)[0][1:], [100, [("anna", 1)], 1]
        )

    def test_messages_are_bounded(self):
        # Guards against datagrams that are too large with many customers.
        for number in range(86):
            self.counter.count(domain.Customer(f"c{number}", None))
        sizes = [len(rows) for _, _, rows, _ in self.counter.messages(IP)]
        self.assertEqual(sizes, [40, 40, 6])

    def test_old_windows_are_dropped(self):
        # Guards against memory that grows while no candidate answers.
        for _ in range(20):
            self.counter.count(ANNA)
            self.clock.advance(WINDOW_MS)
        self.assertLessEqual(len(self.counts()), counter.KEEP_WINDOWS + 1)
        self.assertLessEqual(
            len(self.counter._counts_by_window), counter.KEEP_WINDOWS + 1
        )

    def test_correction_of_the_clock_reopens_no_window(self):
        # Guards against counts that come after the final ones of a window,
        # since the time of day was set back a little at its end.
        self.counter.count(ANNA)
        self.clock.advance(WINDOW_MS)
        self.confirm()
        self.clock.wall_offset -= 200
        self.counter.count(ANNA)
        self.clock.advance(WINDOW_MS)
        self.assertEqual(self.counts()[101], {"anna": 1})

    def test_clock_that_was_ahead_at_the_start_loses_no_counts(self):
        # Guards against counts that aren't handed over for an hour, since
        # the clock was an hour ahead when the process started.
        self.clock.wall_offset -= 3_600_000 // WINDOW_MS * WINDOW_MS
        self.windows.now()
        self.clock.advance(window_clock.JUMP_LASTING_MS)
        self.windows.now()
        self.counter.count(ANNA)
        self.assertIn({"anna": 1}, self.counts().values())
