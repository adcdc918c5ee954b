"""Leaving out endpoints that fail, and trying them again."""

import unittest

from clementinewall.policy import endpoint_health


class Health(unittest.TestCase):
    """The record of one endpoint."""

    def test_one_failure_may_be_chance(self):
        health = endpoint_health.Health()
        health.record_failure(0)
        self.assertTrue(health.is_usable(1))

    def test_failures_in_a_row_leave_it_out_ever_longer(self):
        health = endpoint_health.Health()
        now = 0
        pauses = []
        for _ in range(6):
            pause = health.record_failure(now) or health.record_failure(now)
            pauses.append(pause)
            self.assertFalse(health.is_usable(now + pause - 1))
            now += pause
            self.assertTrue(health.is_usable(now))
        self.assertEqual(pauses, sorted(pauses))
        self.assertLessEqual(pauses[-1], endpoint_health.MAX_PAUSE_MS)

    def test_one_that_is_not_there_is_left_out_at_once(self):
        # An engine crashed and its record stays for seconds.  Each of 61
        # gateways that needs two refused connections to believe it costs
        # callers a hundred failures for one engine.
        health = endpoint_health.Health()
        health.record_failure(0, absent=True)
        self.assertFalse(health.is_usable(1))

    def test_one_that_is_not_there_stays_out_until_its_record_lapsed(self):
        # It is started anew within seconds, under another stage, and refuses
        # what is sent by the old record.
        health = endpoint_health.Health()
        health.record_failure(0, absent=True)
        self.assertFalse(health.is_usable(3_600))
        self.assertTrue(health.is_usable(endpoint_health.ABSENT_PAUSE_MS))

    def test_an_answer_clears_the_record(self):
        health = endpoint_health.Health()
        health.record_failure(0, absent=True)
        health.record_success()
        self.assertTrue(health.is_usable(1))
