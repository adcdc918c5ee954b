"""Which parts of prompts count as crashing engines."""

import time
import unittest

import hypothesis
from hypothesis import strategies

from clementinewall import clock
from clementinewall.membership import crashing_parts

PARTS = strategies.sampled_from(("first", "bad", "rare"))
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("crash", "answer", "wait")),
        strategies.sets(PARTS, min_size=1),
    ),
    max_size=20,
)


class PartTableTest(unittest.TestCase):
    """Crash records of parts at one gateway, and of its peers."""

    def setUp(self):
        """Start without crash records."""
        self.clock = clock.ManualClock(1_000_000)
        self.table = crashing_parts.PartTable(self.clock.now)

    def crash(self, endpoint, *parts):
        """Record an engine that crashed with parts, by depth."""
        for depth, part in enumerate(parts):
            self.table.add(crashing_parts.PartCrash(part, endpoint, 0, depth))

    def harmful(self, *parts):
        """Return which parts are harmful."""
        return {part for part in parts if self.table.is_harmful(part)}

    def suspect(self, *parts):
        """Return the suspect part of a prompt, or ``None``."""
        found = self.table.find_suspect(parts)
        return found and found.part

    def test_two_crashes_make_a_part_harmful(self):
        self.crash("e1", "bad")
        self.assertEqual(self.harmful("bad"), set())
        self.assertEqual(self.suspect("bad"), "bad")
        self.crash("e2", "bad")
        self.assertEqual(self.table.find_harmful(["x", "bad"]), "bad")

    def test_a_crash_counts_once(self):
        self.crash("e1", "bad")
        self.crash("e1", "bad")
        self.assertEqual(self.harmful("bad"), set())

    def test_an_answered_part_is_neither_suspect_nor_harmful(self):
        # Guards against refusing the first part that nearly all prompts have.
        self.crash("e1", "first")
        self.table.record_answer("first")
        self.crash("e2", "first")
        self.clock.advance(crashing_parts.SOUND_MS - 1)
        self.crash("e3", "first")
        self.assertIsNone(self.suspect("first"))

    def test_an_answer_long_ago_clears_only_earlier_crashes(self):
        # Guards against a part that new software can't bear any more.
        self.table.record_answer("bad")
        self.clock.advance(crashing_parts.SOUND_MS)
        self.crash("e1", "bad")
        self.crash("e2", "bad")
        self.assertEqual(self.harmful("bad"), {"bad"})
        late = crashing_parts.PartCrash(
            "other", "e3", crashing_parts.SOUND_MS, 0
        )
        self.table.record_answer("other")
        self.clock.advance(crashing_parts.SOUND_MS - 1)
        self.assertFalse(self.table.add(late))

    def test_parts_of_the_same_two_crashes_stay_suspect(self):
        # Guards against refusing a sound part that was there by chance.
        self.crash("e1", "rare", "bad")
        self.crash("e2", "rare", "bad")
        self.assertEqual(self.harmful("bad", "rare"), set())
        self.crash("e3", "other", "bad")
        self.assertEqual(self.harmful("bad", "rare"), {"bad"})
        self.assertIsNone(self.suspect("rare"))

    def test_of_parts_that_always_come_together_the_last_is_harmful(self):
        # Guards against refusing a first part that most prompts share.
        for endpoint in ("e1", "e2", "e3"):
            self.crash(endpoint, "first", "bad")
        self.assertEqual(self.harmful("first", "bad"), {"bad"})

    def test_a_harmful_first_part_is_found_beside_varying_others(self):
        for number in range(2):
            self.crash(f"e{number}", "bad", f"s{number}")
        self.assertEqual(self.harmful("bad", "s0", "s1"), {"bad"})

    def test_the_last_suspect_part_of_a_prompt_is_isolated(self):
        self.crash("e1", "first", "rare")
        self.assertEqual(self.suspect("first", "rare"), "rare")

    def test_records_and_answers_reach_a_peer(self):
        peer = crashing_parts.PartTable(self.clock.now)
        self.crash("e1", "bad", "first")
        self.crash("e2", "bad")
        self.assertEqual(len(peer.merge(self.table.message(), [])), 3)
        self.assertEqual(peer.merge(self.table.message(), []), [])
        self.assertTrue(peer.is_harmful("bad"))
        peer.record_answer("first")
        self.table.merge(peer.message(), peer.sound_parts())
        self.assertIsNone(self.suspect("first"))

    def test_a_peer_that_suspects_a_sound_part_is_told(self):
        # Guards against a gateway that has just started and suspects all.
        self.table.record_answer("first")
        self.clock.advance(10_000)
        crash = crashing_parts.PartCrash("first", "e1", 0, 0)
        self.assertEqual(self.table.merge([crash], []), [])
        self.assertEqual(self.table.sound_parts(), ["first"])
        self.clock.advance(crashing_parts.SPREAD_MS + 1)
        self.assertEqual(self.table.sound_parts(), [])

    def test_harmful_parts_are_repeated_and_others_are_not(self):
        self.crash("e1", "bad", "rare")
        self.crash("e2", "bad")
        self.clock.advance(crashing_parts.SPREAD_MS + 1)
        told = {crash.part for crash in self.table.message()}
        self.assertEqual(told, {"bad"})

    def test_messages_and_the_table_are_bounded(self):
        self.crash("e1", "bad")
        self.crash("e2", "bad")
        for number in range(crashing_parts.MAX_PARTS + 10):
            self.crash("e3", f"p{number}")
        told = self.table.message()
        self.assertEqual(len(told), crashing_parts.MAX_ROWS_PER_MESSAGE)
        self.assertIn("bad", {crash.part for crash in told})
        self.assertEqual(self.harmful("bad"), {"bad"})
        self.assertLessEqual(
            len(self.table._records_by_part), crashing_parts.MAX_PARTS
        )

    def test_a_part_of_one_crash_is_suspect_for_a_while(self):
        # Guards against refusing a part for long where one engine decodes.
        self.crash("e1", "rare")
        self.assertTrue(self.table.find_suspect(["rare"]).spares_last)
        self.clock.advance(crashing_parts.SUSPECT_MS)
        self.assertIsNone(self.suspect("rare"))

    def test_a_harmful_part_is_tried_again_after_longer_and_longer(self):
        # Guards against refusing a part for good that only was unlucky.
        self.crash("e1", "bad")
        self.crash("e2", "bad")
        for number in range(3):
            span_ms = crashing_parts.HARMFUL_MS * 2**number
            self.clock.advance(span_ms - 1)
            self.assertEqual(self.harmful("bad"), {"bad"})
            self.clock.advance(1)
            self.assertEqual(self.harmful("bad"), set())
            found = self.table.find_suspect(["bad"])
            self.assertEqual((found.part, found.spares_last), ("bad", False))
            self.crash(f"f{number}", "bad")

    def test_many_parts_of_the_same_crashes_take_little_time(self):
        # Guards against work that grows with the square of the parts.
        parts = [f"p{number}" for number in range(crashing_parts.MAX_PARTS)]
        for endpoint in ("e1", "e2"):
            for part in parts:
                self.table.add(crashing_parts.PartCrash(part, endpoint, 0, 0))
        began = time.process_time()
        for part in parts[:100]:
            self.assertFalse(self.table.is_harmful(part))
            self.assertEqual(self.suspect(part), part)
        self.assertLess(time.process_time() - began, 1.0)

    def test_a_crash_of_an_engine_that_is_alive_is_dropped(self):
        # Guards against parts that a cut from all engines makes harmful.
        self.crash("e1", "first")
        self.crash("e2", "first")
        self.assertEqual(self.harmful("first"), {"first"})
        told = self.table.message()
        found = self.table.refute(lambda name, _age_ms: name == "e1")
        self.assertEqual(found, ["e1"])
        self.assertEqual(self.table.merge(told, []), [])
        self.assertEqual(self.harmful("first"), set())
        self.assertEqual(self.table.refute(lambda *_: False), [])

    def test_records_expire(self):
        self.crash("e1", "bad")
        self.crash("e2", "bad")
        self.clock.advance(crashing_parts.RECORD_LIFETIME_MS)
        self.assertEqual(self.harmful("bad"), set())
        self.assertEqual(self.table._parts_by_endpoint, {})

    @hypothesis.given(EVENTS)
    def test_a_part_answered_after_its_crashes_is_never_harmful(self, events):
        self.setUp()
        for number, (what, parts) in enumerate(events):
            if what == "crash":
                self.crash(f"e{number}", *sorted(parts))
            elif what == "answer":
                for part in parts:
                    self.table.record_answer(part)
                    self.assertFalse(self.table.is_harmful(part))
            else:
                self.clock.advance(10_000)
        for part in ("first", "bad", "rare"):
            self.table.record_answer(part)
        self.assertEqual(self.harmful("first", "bad", "rare"), set())
        self.assertEqual(self.table._parts_by_endpoint, {})
