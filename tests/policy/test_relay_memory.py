"""What is remembered of gateways that were asked for tunnels."""

import math
import unittest

from clementinewall import clock
from clementinewall.policy import relay_choice

IP = "10.0.0.2"
FIRST = "10.0.1.1:1"
SECOND = "10.0.1.2:1"


class RelayMemoryTest(unittest.TestCase):
    """One gateway that answers, and two endpoints."""

    def setUp(self):
        """Know nothing."""
        self.clock = clock.ManualClock(10_000)
        self.memory = relay_choice.RelayMemory(self.clock.now)

    def test_an_answer_counts_for_its_endpoint_only(self):
        self.memory.record_answer(FIRST, IP, False)
        self.assertTrue(self.memory.has_answered(FIRST, IP, False))
        self.assertFalse(self.memory.has_answered(FIRST, IP, True))
        self.assertFalse(self.memory.has_answered(SECOND, IP, False))
        self.clock.advance(relay_choice.ANSWER_LIFETIME_MS)
        self.assertFalse(self.memory.has_answered(FIRST, IP, False))

    def test_a_tunnel_tells_that_a_gateway_connects(self):
        self.assertFalse(self.memory.connects(IP))
        self.memory.record_answer(FIRST, IP, True)
        self.assertTrue(self.memory.connects(IP))
        self.clock.advance(relay_choice.CONNECTS_LIFETIME_MS)
        self.assertFalse(self.memory.connects(IP))

    def test_one_endpoint_that_is_down_makes_no_gateway_doubtful(self):
        self.memory.record_answer(FIRST, IP, True)
        self.memory.record_answer(SECOND, IP, False)
        self.assertTrue(self.memory.connects(IP))

    def test_a_gateway_that_fails_twice_is_doubtful_until_it_connects(self):
        # Guards against asking first those that are cut off by now.
        self.memory.record_answer(FIRST, IP, True)
        for address in (FIRST, SECOND):
            self.memory.record_answer(address, IP, False)
        self.assertFalse(self.memory.connects(IP))
        self.memory.record_answer(SECOND, IP, True)
        self.assertTrue(self.memory.connects(IP))

    def test_who_connects_is_told_with_the_age_of_that(self):
        # Guards against a gateway that is cut off by now, told of for ever.
        self.assertEqual(self.memory.rows_to_tell(), [])
        self.memory.record_answer(FIRST, IP, True)
        self.clock.advance(100)
        self.assertEqual(self.memory.rows_to_tell(), [(IP, 100)])
        other = relay_choice.RelayMemory(self.clock.now)
        other.record_told(IP, 100)
        self.assertTrue(other.connects(IP))
        self.assertEqual(other.asked_ms(IP), math.inf)
        self.clock.advance(relay_choice.CONNECTS_LIFETIME_MS - 100)
        self.assertFalse(other.connects(IP))
        self.assertEqual(other.rows_to_tell(), [])

    def test_what_others_tell_outdoes_older_failures_only(self):
        # Guards against a search that goes by what was true before a cut.
        for address in (FIRST, SECOND):
            self.memory.record_answer(address, IP, False)
        self.memory.record_told(IP, 500)
        self.assertFalse(self.memory.connects(IP))
        self.clock.advance(100)
        self.memory.record_told(IP, 0)
        self.assertTrue(self.memory.connects(IP))

    def test_few_of_those_who_connect_are_told(self):
        # Guards against messages that grow with the gateways.
        for number in range(relay_choice.MAX_TOLD + 5):
            self.memory.record_answer(FIRST, f"10.0.1.{number}", True)
            self.clock.advance(1)
        told = [ip for ip, _ in self.memory.rows_to_tell()]
        self.assertEqual(told[0], f"10.0.1.{relay_choice.MAX_TOLD + 4}")
        self.assertEqual(len(told), relay_choice.MAX_TOLD)

    def test_when_a_gateway_was_asked_is_known(self):
        self.assertEqual(self.memory.asked_ms(IP), math.inf)
        self.memory.record_asked(IP)
        self.clock.advance(300)
        self.assertEqual(self.memory.asked_ms(IP), 300)

    def test_gateways_that_are_gone_are_forgotten(self):
        # Guards against memory that grows with the gateways there ever were.
        self.memory.record_asked(IP)
        self.memory.record_answer(FIRST, IP, True)
        self.clock.advance(relay_choice.ANSWER_LIFETIME_MS)
        self.memory.sweep({IP})
        self.assertTrue(self.memory.connects(IP))
        self.memory.sweep(set())
        self.assertFalse(self.memory.connects(IP))
        self.assertEqual(self.memory._answer_by_address_and_ip, {})
