"""Answers to callers: when they are kept and when passed on."""

import unittest

import anyio

from clementinewall.backpressure import holdings
from clementinewall.http1 import messages
from clementinewall.http1 import server

HEAD = messages.Head(200, b"OK", ((b"Server-Stamp", b"s"),))
PART = b"x" * 50_000


class FakeConnection:
    """A caller's connection with room for some bytes of answers."""

    def __init__(self, room):
        """Start with nothing held or sent."""
        self.room = room
        self.held = []
        self.sent = []

    def forget_answer(self):
        """Note that nothing is held."""
        self.held.append(0)

    def hold_answer(self, size):
        """Tell whether there is room."""
        if size > self.room:
            return False
        self.held.append(size)
        return True

    async def answer(self, head, body):
        """Note a whole answer."""
        self.sent.append(("whole", len(body)))

    async def send_head(self, head, length=None):
        """Note a head."""
        self.sent.append(("head", length))

    async def send_body(self, data):
        """Note a part."""
        self.sent.append(("part", len(data)))

    async def finish(self):
        """Note the end."""
        self.sent.append("end")


class HeldAnswers(unittest.TestCase):
    """Answers of some parts, with or without a length."""

    def play(
        self,
        parts,
        room=10**9,
        length=None,
        is_whole=True,
        may_send_again=False,
    ):
        """Answer with some equal parts; return the caller's connection."""
        connection = FakeConnection(room)

        async def run():
            answer = holdings.HeldAnswer(
                connection, HEAD, length, may_send_again
            )
            for _ in range(parts):
                await answer.add(PART)
            if is_whole:
                await answer.finish()

        anyio.run(run)
        return connection

    def test_a_small_answer_is_sent_in_one_write(self):
        self.assertEqual(self.play(0).sent, [("whole", 0)])
        self.assertEqual(self.play(1).sent, [("whole", len(PART))])

    def test_a_large_answer_is_sent_once_it_is_whole(self):
        # Guards against answers that can't be sent again though there is
        # room for them.
        self.assertEqual(self.play(3, is_whole=False).sent, [])
        size = 3 * len(PART)
        self.assertGreater(size, server.MAX_WRITE_BYTES)
        self.assertEqual(
            self.play(3).sent,
            [("head", size), *[("part", len(PART))] * 3, "end"],
        )

    def test_an_answer_without_room_is_passed_on(self):
        # Guards against answers without a length that are kept without bound.
        connection = self.play(4, room=2 * len(PART), is_whole=False)
        self.assertEqual(
            connection.sent, [("head", None), *[("part", len(PART))] * 4]
        )
        self.assertLessEqual(max(connection.held), 2 * len(PART))
        self.assertEqual(connection.held[-1], 0)

    def test_room_for_an_answer_without_a_length_is_there_at_once(self):
        # Guards against answers that wait for each other, each with a part.
        connection = self.play(2, is_whole=False, may_send_again=True)
        self.assertEqual(
            connection.held, [0, len(PART), holdings.MAX_WHOLE_BYTES]
        )

    def test_an_answer_that_grows_counts_by_its_size(self):
        # Guards against room for a few answers only, however short they are.
        connection = self.play(3, is_whole=False)
        self.assertEqual(
            connection.held, [0, *(n * len(PART) for n in (1, 2, 3))]
        )

    def test_an_answer_to_be_repeated_waits_for_room(self):
        # Guards against a retry that isn't possible any more since others
        # were answered a moment before.
        connection = FakeConnection(0)

        async def run():
            answer = holdings.HeldAnswer(connection, HEAD, None, True)
            async with anyio.create_task_group() as group:
                group.start_soon(answer.add, PART)
                await anyio.sleep(0.1)
                connection.room = 10**9

        anyio.run(run)
        self.assertEqual(connection.sent, [])
        self.assertEqual(connection.held[-1], len(PART))

    def test_an_answer_without_end_is_not_passed_on(self):
        # Guards against bytes that are no answer where another endpoint may
        # give one.
        parts = holdings.MAX_WHOLE_BYTES // len(PART) + 1
        with self.assertRaises(holdings.TooLong):
            self.play(parts, may_send_again=True)
        sent = self.play(parts, room=10**6, is_whole=False).sent
        self.assertEqual(len(sent), parts + 1)

    def test_an_answer_whose_length_finds_no_room_is_passed_on_at_once(self):
        # Guards against keeping the beginning of what can't be kept whole.
        size = 4 * len(PART)
        connection = self.play(1, size - 1, size, is_whole=False)
        self.assertEqual(
            connection.sent, [("head", size), ("part", len(PART))]
        )

    def test_what_is_kept_becomes_less_while_it_is_sent(self):
        # Guards against room that is taken by what the caller has read.
        connection = self.play(3)
        self.assertEqual(
            connection.held[-4:],
            [3 * len(PART), 2 * len(PART), len(PART), 0],
        )
