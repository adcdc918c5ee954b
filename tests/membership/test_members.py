"""The membership table: bounded messages, peers and log readers."""

import unittest

import hypothesis
from hypothesis import strategies as st

from clementinewall import clock
from clementinewall.membership import members
from clementinewall import settings

LIMITS = settings.Membership()


def row(number, data_centre, program="entry", **more):
    """Return a member's row."""
    return members.Member(
        id=f"i{number}-{data_centre}/{program}",
        program=program,
        data_centre=data_centre,
        region="r",
        boot=f"b{number}",
        control=f"10.0.0.1:{number + 1}",
        callers=f"10.0.0.2:{number + 1}",
        **more,
    )


def table(local, data_centres, in_each):
    """Return a table of own and other data centres' members."""
    now = clock.ManualClock()
    made = members.Members(row(0, "home"), LIMITS, now.now)
    for program in ("entry", "steward"):
        for number in range(1, local):
            made.merge_row(row(number, "home", program))
        for place in range(data_centres):
            for number in range(in_each):
                made.merge_row(row(number, f"dc{place}", program))
    return made, now


class BoundsTest(unittest.TestCase):
    """Costs do not grow with the nodes of other data centres."""

    def test_messages_do_not_grow_with_other_data_centres(self):
        """Nine data centres of 10 or 100 instances cost the same."""
        few, _ = table(35, 9, 10)
        many, _ = table(35, 9, 100)
        self.assertEqual(len(few.message_rows()), len(many.message_rows()))
        limit = 35 + 9 * LIMITS.digest_size + 10
        self.assertLessEqual(len(many.message_rows()), limit)

    def test_peers_of_a_round_are_two_at_most(self):
        """The limit holds in a table with hundreds of members."""
        many, _ = table(35, 9, 100)
        for _ in range(50):
            self.assertLessEqual(len(many.gossip_peers()), 2)

    def test_readers_of_the_log_do_not_grow(self):
        """Only a few members of a data centre read the log itself."""
        many, _ = table(100, 0, 0)
        self.assertEqual(LIMITS.tailers, len(many.tailers()))

    def test_all_data_centres_agree_on_representatives(self):
        """Nodes would look for the owner of a booking at different entries.

        Owners are picked from the representatives, so that every data centre
        must compute the same ones.
        """
        seen = set()
        for own in ("dc0", "dc1"):
            now = clock.ManualClock()
            made = members.Members(row(0, own), LIMITS, now.now)
            for place in ("dc0", "dc1", "dc2"):
                for number in range(20):
                    made.merge_row(row(number, place))
            names = [r.id for r in made.representatives("entry")]
            seen.add(tuple(names))
        self.assertEqual(1, len(seen))


class LivenessTest(unittest.TestCase):
    """Which members count as live."""

    def test_a_row_that_does_not_advance_is_dead(self):
        """A killed process could look alive: peers resend its last row."""
        made, now = table(3, 0, 0)
        now.advance(LIMITS.dead_after_ms + 1)
        dead = row(1, "home")
        self.assertFalse(made.merge_row(dead))
        self.assertFalse(made.is_live(dead.id))

    def test_a_newer_heartbeat_keeps_a_row_live(self):
        """A running process must not look dead: its heartbeat advances."""
        made, now = table(3, 0, 0)
        now.advance(LIMITS.dead_after_ms + 1)
        made.merge_row(row(1, "home", beat=1))
        self.assertTrue(made.is_live(row(1, "home").id))

    def test_a_restarted_process_raises_its_incarnation(self):
        """A restarted process could be ignored as outdated and judged dead.

        Peers still send the row of the earlier process with the same id, so
        that the new row needs a higher incarnation.
        """
        now = clock.ManualClock()
        own = row(0, "home")
        made = members.Members(own, LIMITS, now.now)
        made.merge_row(own._replace(boot="earlier", incarnation=4, beat=99))
        self.assertEqual(5, made.own.incarnation)

    def test_a_draining_member_is_no_representative_and_no_tailer(self):
        """A draining instance gets no new duties."""
        made, _ = table(3, 0, 0)
        made.merge_row(row(1, "home", beat=1, state="leaving"))
        names = [r.id for r in made.representatives("entry")]
        self.assertNotIn(row(1, "home").id, names)
        self.assertNotIn(row(1, "home").id, [r.id for r in made.tailers()])

    @hypothesis.given(st.sets(st.text(max_size=6), min_size=2, max_size=12))
    def test_a_lost_id_moves_only_its_own_keys(self, ids):
        """The other ids keep their places in the rendezvous order."""
        order = members.rendezvous("key", ids)
        left = members.rendezvous("key", ids - {order[0]})
        self.assertEqual(order[1:], left)


if __name__ == "__main__":
    unittest.main()
