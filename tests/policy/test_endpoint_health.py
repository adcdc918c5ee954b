"""Pausing endpoints that fail, and trying them again."""

import unittest

from clementinewall.policy import endpoint_health


class Health(unittest.TestCase):
    """The health of one endpoint."""

    def test_one_failure_does_not_pause(self):
        health = endpoint_health.Health()
        health.record_failure(0)
        self.assertTrue(health.is_usable(1))

    def test_consecutive_failures_pause_for_longer_each_time(self):
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

    def test_an_absent_endpoint_is_paused_at_once(self):
        # An engine crashes and its record stays for seconds.  If each of 61
        # gateways needed two refused connections to pause it, callers would
        # see a hundred failures for one engine.
        health = endpoint_health.Health()
        health.record_failure(0, absent=True)
        self.assertFalse(health.is_usable(1))

    def test_an_absent_endpoint_is_paused_until_its_record_lapsed(self):
        # The endpoint restarts within seconds in another stage, and refuses
        # what is sent to it by its old record.
        health = endpoint_health.Health()
        health.record_failure(0, absent=True)
        self.assertFalse(health.is_usable(3_600))
        self.assertTrue(health.is_usable(endpoint_health.ABSENT_PAUSE_MS))

    def test_an_answer_ends_the_pause(self):
        health = endpoint_health.Health()
        health.record_failure(0, absent=True)
        health.record_success()
        self.assertTrue(health.is_usable(1))
