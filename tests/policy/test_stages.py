"""How many engines read prompts, as a pure decision."""

import unittest

import hypothesis
from hypothesis import strategies

from clementinewall.policy import stages


def engine(name, prefill, streams=0, slots=96):
    """Return an engine."""
    return stages.Engine(name, prefill, streams, slots)


ENGINES = strategies.lists(
    strategies.builds(
        stages.Engine,
        id=strategies.uuids().map(str),
        prefill=strategies.booleans(),
        streams=strategies.integers(0, 200),
        slots=strategies.integers(1, 128),
    ),
    max_size=12,
)


class Plan(unittest.TestCase):
    """``plan`` on fleets of the deployments' sizes."""

    def test_half_read_before_there_is_load(self):
        fleet = [engine("a", True), engine("b", True)]
        fleet += [engine(name, False) for name in "cdef"]
        change = stages.plan(fleet)
        self.assertEqual((change.id, change.prefill), ("c", True))

    def test_fewer_read_where_slots_are_few(self):
        # An engine with 16 slots is full of streams while half of the fleet
        # that reads prompts is idle, and callers are refused.
        for slots, expected in ((96, True), (16, False)):
            fleet = [
                engine(str(n), prefill=n < 4, slots=slots) for n in range(10)
            ]
            change = stages.plan(fleet)
            self.assertEqual(change is not None, expected)

    def test_nothing_changes_while_streams_need_the_slots(self):
        # A change takes an engine away for three seconds.  Made in the
        # middle of a burst, it makes everybody late.
        fleet = [engine("a", True), engine("b", True)]
        fleet += [engine(name, False, streams=40) for name in "cdef"]
        self.assertIsNone(stages.plan(fleet))

    def test_full_slots_get_an_engine_back_if_that_lasts(self):
        fleet = [engine(name, True) for name in "abc"]
        fleet += [engine(name, False, streams=95) for name in "def"]
        change = stages.plan(fleet)
        self.assertFalse(change.prefill)
        self.assertGreater(change.lasting_ms, stages.LASTING_MS)

    def test_an_engine_is_given_back_after_a_decoding_one_was_lost(self):
        # One of two decoding engines is lost for good.  The other is full,
        # three read prompts for it, and callers are refused although the
        # fleet could serve them.
        fleet = [engine(name, True) for name in "abc"]
        fleet.append(engine("d", False, streams=80))
        change = stages.plan(fleet)
        self.assertFalse(change.prefill)
        self.assertEqual(change.lasting_ms, stages.LASTING_MS)

    def test_a_stage_that_nobody_has_is_filled(self):
        only_reading = stages.plan([engine(name, True) for name in "ab"])
        self.assertFalse(only_reading.prefill)
        only_decoding = stages.plan([engine(name, False) for name in "ab"])
        self.assertTrue(only_decoding.prefill)

    @hypothesis.given(ENGINES)
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_no_change_empties_a_stage_that_was_filled(self, fleet):
        change = stages.plan(fleet)
        if change is None:
            return
        after = [
            e._replace(prefill=change.prefill) if e.id == change.id else e
            for e in fleet
        ]
        decoded = sum(not e.prefill and not e.unreachable for e in fleet)
        decode = sum(not e.prefill and not e.unreachable for e in after)
        self.assertFalse(decoded and not decode)
        reading = sum(e.prefill for e in fleet)
        read = sum(e.prefill for e in after)
        # Without a decoding engine nothing is served; one reads prompts too.
        self.assertFalse(reading and not read and decoded)

    @hypothesis.given(ENGINES)
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_changes_in_a_lull_come_to_an_end(self, fleet):
        fleet = [e._replace(streams=0) for e in fleet]
        for _ in range(len(fleet) + 1):
            change = stages.plan(fleet)
            if change is None:
                return
            fleet = [
                e._replace(prefill=change.prefill) if e.id == change.id else e
                for e in fleet
            ]
        self.fail("the plan never rests")


class Lost(unittest.TestCase):
    """``plan`` while engines don't answer."""

    def test_the_loss_of_the_last_decoding_engine_is_made_up_for_at_once(self):
        fleet = [engine("a", True, 9), engine("b", True, 3)]
        fleet.append(engine("c", False)._replace(unreachable=True))
        change = stages.plan(fleet)
        self.assertEqual((change.id, change.prefill), ("b", False))
        self.assertLess(change.lasting_ms, stages.LASTING_MS)

    def test_the_last_engine_that_answers_decodes(self):
        fleet = [
            engine("a", True),
            engine("b", False)._replace(unreachable=True),
        ]
        self.assertEqual(stages.plan(fleet).id, "a")

    def test_an_engine_that_is_left_alone_decodes(self):
        change = stages.plan([engine("a", True)])
        self.assertEqual((change.id, change.prefill), ("a", False))
        self.assertIsNone(stages.plan([engine("a", False)]))

    def test_nothing_changes_while_no_engine_answers(self):
        fleet = [engine(n, n == "a")._replace(unreachable=True) for n in "abc"]
        self.assertIsNone(stages.plan(fleet))
