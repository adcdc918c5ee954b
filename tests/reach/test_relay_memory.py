"""What is remembered of gateways that were asked for tunnels."""

import math
import unittest

from clementinewall import clock
from clementinewall.reach import relay_memory

IP = "10.0.0.2"
FIRST = "10.0.1.1:1"
SECOND = "10.0.1.2:1"


class RelayMemoryTest(unittest.TestCase):
    """One gateway that answers, and two endpoints."""

    def setUp(self):
        """Know nothing."""
        self.clock = clock.ManualClock(10_000)
        self.memory = relay_memory.RelayMemory(self.clock.now)

    def test_an_answer_counts_for_its_endpoint_only(self):
        self.memory.record_answer(FIRST, IP, False)
        self.assertTrue(self.memory.has_answered(FIRST, IP, False))
        self.assertFalse(self.memory.has_answered(FIRST, IP, True))
        self.assertFalse(self.memory.has_answered(SECOND, IP, False))
        self.clock.advance(relay_memory.ANSWER_LIFETIME_MS)
        self.assertFalse(self.memory.has_answered(FIRST, IP, False))

    def test_a_tunnel_tells_that_a_gateway_connects(self):
        self.assertFalse(self.memory.connects(IP))
        self.memory.record_answer(FIRST, IP, True)
        self.assertTrue(self.memory.connects(IP))
        self.clock.advance(relay_memory.CONNECTS_LIFETIME_MS)
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

    def test_when_a_gateway_was_asked_is_known(self):
        self.assertEqual(self.memory.asked_ms(IP), math.inf)
        self.memory.record_asked(IP)
        self.clock.advance(300)
        self.assertEqual(self.memory.asked_ms(IP), 300)

    def test_gateways_that_are_gone_are_forgotten(self):
        # Guards against memory that grows with the gateways there ever were.
        self.memory.record_asked(IP)
        self.memory.record_answer(FIRST, IP, True)
        self.clock.advance(relay_memory.ANSWER_LIFETIME_MS)
        self.memory.sweep({IP})
        self.assertTrue(self.memory.connects(IP))
        self.memory.sweep(set())
        self.assertFalse(self.memory.connects(IP))
        self.assertEqual(self.memory._answer_by_address_and_ip, {})
