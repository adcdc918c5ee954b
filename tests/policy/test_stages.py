"""How many engines prefill and how many decode."""

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

    def test_half_of_the_engines_prefill_without_load(self):
        fleet = [engine("a", True), engine("b", True)]
        fleet += [engine(name, False) for name in "cdef"]
        change = stages.plan(fleet)
        self.assertEqual((change.id, change.prefill), ("c", True))

    def test_fewer_engines_prefill_where_slots_are_few(self):
        # Engines with 16 slots are full of streams while the half of the fleet
        # that prefills is idle, and callers are refused.
        for slots, expected in ((96, True), (16, False)):
            fleet = [
                engine(str(n), prefill=n < 4, slots=slots) for n in range(10)
            ]
            change = stages.plan(fleet)
            self.assertEqual(change is not None, expected)

    def test_nothing_changes_while_streams_need_the_slots(self):
        # A change makes an engine unavailable for three seconds.  During a
        # burst it makes all answers late.
        fleet = [engine("a", True), engine("b", True)]
        fleet += [engine(name, False, streams=40) for name in "cdef"]
        self.assertIsNone(stages.plan(fleet))

    def test_an_engine_changes_to_decode_if_slots_stay_full(self):
        fleet = [engine(name, True) for name in "abc"]
        fleet += [engine(name, False, streams=95) for name in "def"]
        change = stages.plan(fleet)
        self.assertFalse(change.prefill)
        self.assertGreater(change.lasting_ms, stages.LASTING_MS)

    def test_an_engine_changes_to_decode_after_the_loss_of_one(self):
        # One of two decode engines is lost for good.  The other is full, three
        # engines prefill for it, and callers are refused although the fleet
        # could serve them.
        fleet = [engine(name, True) for name in "abc"]
        fleet.append(engine("d", False, streams=80))
        change = stages.plan(fleet)
        self.assertFalse(change.prefill)
        self.assertEqual(change.lasting_ms, stages.LASTING_MS)

    def test_an_empty_stage_gets_an_engine(self):
        only_prefill = stages.plan([engine(name, True) for name in "ab"])
        self.assertFalse(only_prefill.prefill)
        only_decode = stages.plan([engine(name, False) for name in "ab"])
        self.assertTrue(only_decode.prefill)

    @hypothesis.given(ENGINES)
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_no_change_empties_a_stage(self, fleet):
        change = stages.plan(fleet)
        if change is None:
            return
        after = [
            e._replace(prefill=change.prefill) if e.id == change.id else e
            for e in fleet
        ]
        decode_before = sum(not e.prefill and not e.unreachable for e in fleet)
        decode_after = sum(not e.prefill and not e.unreachable for e in after)
        self.assertFalse(decode_before and not decode_after)
        prefill_before = sum(e.prefill for e in fleet)
        prefill_after = sum(e.prefill for e in after)
        # Without a decode engine nothing is served; it can prefill too.
        self.assertFalse(
            prefill_before and not prefill_after and decode_before
        )

    @hypothesis.given(ENGINES)
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_changes_without_load_come_to_an_end(self, fleet):
        fleet = [e._replace(streams=0) for e in fleet]
        for _ in range(len(fleet) + 1):
            change = stages.plan(fleet)
            if change is None:
                return
            fleet = [
                e._replace(prefill=change.prefill) if e.id == change.id else e
                for e in fleet
            ]
        self.fail("the plan proposes changes without end")


class Versions(unittest.TestCase):
    """Engines of several software versions."""

    def test_a_version_keeps_its_last_decode_engine(self):
        # Guards against streams that no engine can go on with.
        fleet = [
            stages.Engine("a", False, 0, 96, version="v1"),
            stages.Engine("b", False, 1, 96, version="v2"),
            stages.Engine("c", False, 2, 96, version="v2"),
        ]
        self.assertEqual(stages.plan(fleet).id, "b")

    def test_a_version_that_none_decodes_gets_the_next_engine(self):
        # Guards against streams that no engine can go on with.
        fleet = [
            stages.Engine("a", True, 0, 96, version="v1"),
            stages.Engine("b", True, 0, 96, version="v2"),
            stages.Engine("c", False, 95, 96, version="v1"),
        ]
        self.assertEqual(stages.plan(fleet).id, "b")


class Unreachable(unittest.TestCase):
    """``plan`` while engines don't answer."""

    def test_the_last_decode_engine_is_replaced_at_once(self):
        fleet = [engine("a", True, 9), engine("b", True, 3)]
        fleet.append(engine("c", False)._replace(unreachable=True))
        change = stages.plan(fleet)
        self.assertEqual((change.id, change.prefill), ("b", False))
        self.assertLess(change.lasting_ms, stages.LASTING_MS)

    def test_the_last_reachable_engine_decodes(self):
        fleet = [
            engine("a", True),
            engine("b", False)._replace(unreachable=True),
        ]
        self.assertEqual(stages.plan(fleet).id, "a")

    def test_a_single_engine_decodes(self):
        change = stages.plan([engine("a", True)])
        self.assertEqual((change.id, change.prefill), ("a", False))
        self.assertIsNone(stages.plan([engine("a", False)]))

    def test_nothing_changes_while_all_engines_are_unreachable(self):
        fleet = [engine(n, n == "a")._replace(unreachable=True) for n in "abc"]
        self.assertIsNone(stages.plan(fleet))
