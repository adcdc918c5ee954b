"""Whether an engine has memory for one more request."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.backpressure import engine_memory
from clementinewall import domain

CAPACITY = 100_000
amounts = strategies.integers(0, CAPACITY)


class HasRoom(unittest.TestCase):
    """Decisions from the tokens that are known to be held."""

    @hypothesis.given(amounts, amounts, amounts, strategies.booleans())
    @hypothesis.settings(derandomize=True)
    def test_known_work_never_exceeds_the_memory(
        self, own, others, request, is_shared
    ):
        # Guards against a request that crashes an engine, with all others.
        if engine_memory.has_room(CAPACITY, own, others, request, is_shared):
            self.assertLessEqual(own + others + request, CAPACITY)

    @hypothesis.given(amounts, amounts, amounts)
    @hypothesis.settings(derandomize=True)
    def test_two_gateways_at_once_do_not_exceed_it(self, own, others, size):
        # Guards against two gateways that take the last room at a time.
        hypothesis.assume(own or others)
        if engine_memory.has_room(CAPACITY, own, others, size, True):
            self.assertLessEqual(own + others + 2 * size, CAPACITY)

    @hypothesis.given(
        strategies.integers(0, CAPACITY // 8),
        strategies.integers(0, CAPACITY // 8),
        strategies.integers(0, CAPACITY // 8),
        strategies.booleans(),
    )
    @hypothesis.settings(derandomize=True)
    def test_engines_far_from_full_always_have_room(
        self, own, others, request, is_shared
    ):
        # Guards against other placements than before in ordinary load.
        self.assertTrue(
            engine_memory.has_room(CAPACITY, own, others, request, is_shared)
        )

    def test_the_largest_request_goes_to_an_engine_without_work(self):
        # Guards against a margin by which such a request is served nowhere.
        def has_room(own, request):
            return engine_memory.has_room(CAPACITY, own, 0, request, True)

        self.assertTrue(has_room(0, CAPACITY))
        self.assertFalse(has_room(1, CAPACITY))
        self.assertFalse(has_room(0, CAPACITY + 1))

    def test_an_unknown_memory_bounds_nothing(self):
        # Guards against refusals where operators name no memory.
        self.assertTrue(engine_memory.has_room(0, 9**9, 9**9, 9**9, True))

    def test_tokens_of_a_prompt(self):
        # Guards against decode engines for whose answers nothing is counted.
        prompt = domain.Prompt("m", 70, 5, ())
        self.assertEqual(engine_memory.tokens(prompt), 75)
        self.assertEqual(engine_memory.tokens(prompt, False), 70)
        self.assertEqual(engine_memory.tokens(None), 0)
