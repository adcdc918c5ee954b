"""What a process that has to stop may still take."""

import unittest

from clementinewall.policy import drain

SHORT = drain.Stream(first_ms=40, tokens_out=4, slots=128)


class Needed(unittest.TestCase):
    """How long a request may take."""

    def test_a_long_answer_needs_longer_than_a_short_one(self):
        long = SHORT._replace(tokens_out=1_000)
        self.assertLess(drain.stream_ms(SHORT), 1_000)
        self.assertGreater(drain.stream_ms(long), 9_000)

    def test_a_late_first_event_is_allowed_for(self):
        late = SHORT._replace(first_ms=400)
        difference = drain.stream_ms(late) - drain.stream_ms(SHORT)
        self.assertGreaterEqual(difference, 2 * 360)

    def test_what_was_slow_lately_may_be_slow_again(self):
        self.assertGreater(drain.needed_ms(10_000, 500, 3_000), 3_000)

    def test_nothing_outlasts_its_own_deadline(self):
        self.assertEqual(drain.needed_ms(1_000, 500, 3_000), 1_000)

    def test_an_unknown_route_is_predicted(self):
        self.assertEqual(drain.needed_ms(10_000, 500, None), 500)


class DurationsTest(unittest.TestCase):
    """How long the last requests took."""

    def test_few_say_nothing(self):
        durations = drain.Durations()
        durations.note(300)
        self.assertIsNone(durations.usual_ms())

    def test_slow_ones_count_although_most_are_fast(self):
        durations = drain.Durations()
        for number in range(drain.SEEN):
            durations.note(3_000 if number % 50 == 0 else 100)
        self.assertEqual(durations.usual_ms(), 3_000)

    def test_old_ones_are_forgotten(self):
        durations = drain.Durations()
        for took_ms in (3_000, 100):
            for _ in range(drain.SEEN):
                durations.note(took_ms)
        self.assertEqual(durations.usual_ms(), 100)
