"""The membership datagrams, and every other decoder, on any bytes."""

import json
import unittest

import hypothesis
from hypothesis import strategies as st

from clementinewall import _schema
from clementinewall import _web
from clementinewall.endpoints import reports
from clementinewall.endpoints import sse
from clementinewall import errors
from clementinewall.log import client
from clementinewall.membership import members
from clementinewall.membership import wire
from clementinewall.records import bookings
from clementinewall.records import control

CODEC = wire.Codec("token")
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                ["kind", "id", "records", "first", "next", "beats", "sender"]
            )
            | st.text(max_size=5),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
BEATS = st.lists(
    st.tuples(
        st.text(max_size=30),
        st.integers(0, 9),
        st.integers(0, 10**9),
        st.integers(-1, 10**9),
    ),
    max_size=120,
)


class WireTest(unittest.TestCase):
    """Datagrams of the membership protocol."""

    @hypothesis.given(BEATS)
    def test_what_is_split_arrives_whole(self, beats):
        """Every beat is in some part, and each part fits a datagram."""
        datagram = wire.Datagram(wire.HELLO, "a", 7, beats=tuple(beats))
        parts = wire.split(datagram, CODEC)
        found = [b for raw in parts for b in CODEC.decode(raw).beats]
        self.assertEqual([tuple(b) for b in beats], [tuple(b) for b in found])
        if len(parts) > 1:
            self.assertLessEqual(max(map(len, parts)), wire.MAX_BYTES)

    @hypothesis.given(st.binary(max_size=300))
    def test_foreign_bytes_are_refused(self, raw):
        """A stranger's datagram is refused and ends nothing."""
        with self.assertRaises(errors.Unauthorized):
            CODEC.decode(raw)

    def test_another_token_is_refused(self):
        """A process of another deployment talks to this one."""
        raw = wire.Codec("other").encode(wire.Datagram(wire.HELLO, "a"))
        with self.assertRaises(errors.Unauthorized):
            CODEC.decode(raw)

    @hypothesis.given(JSON)
    def test_signed_nonsense_is_a_clear_error(self, data):
        """A peer of another version sends what this one can't read."""
        body = json.dumps(data).encode()
        raw = CODEC._tag(body) + body
        try:
            CODEC.decode(raw)
        except errors.BadRecord:
            pass


class DecodersTest(unittest.TestCase):
    """No input ends a process: a typed value or a typed error."""

    @hypothesis.given(JSON)
    def test_records(self, data):
        """Records that nobody can read change nothing."""
        state = control.State()
        state.begin(0)
        state.apply(0, data)
        table = bookings.Table(10)
        table.apply(0, data)
        self.assertEqual(1, state.next)
        self.assertEqual(1, table.next)

    @hypothesis.given(JSON)
    def test_batches_and_reports(self, data):
        """Answers of the log, a peer or an engine are checked whole."""
        for decode in (client.decode_batch, reports.decode):
            try:
                decode(data)
            except errors.BadRecord:
                pass

    @hypothesis.given(st.binary(max_size=200))
    def test_bodies(self, raw):
        """A body is a JSON object or a bad request."""
        try:
            self.assertIsInstance(_web.decode_object(raw), dict)
        except errors.BadRequest:
            pass

    @hypothesis.given(JSON)
    def test_problems(self, data):
        """A peer's problem document is an error or nothing."""
        raw = json.dumps(data).encode()
        found = _web.error_of_problem(raw)
        self.assertTrue(
            found is None or isinstance(found, errors.ClementinewallError)
        )

    @hypothesis.given(JSON)
    def test_shapes_round_trip(self, data):
        """What is built and made plain again is built the same."""
        value, mistakes = _schema.build(members.Crash, data)
        if not mistakes:
            again = _schema.build(members.Crash, _schema.plain(value))
            self.assertEqual((value, ()), again)


class EventsTest(unittest.TestCase):
    """Server-sent events, cut into any pieces."""

    @hypothesis.given(
        st.integers(1, 20), st.lists(st.integers(1, 40), max_size=30)
    )
    def test_pieces_make_no_difference(self, count, cuts):
        """The network cuts a stream anywhere."""
        raw = b"".join(b"id: %d\ndata: {}\n\n" % n for n in range(1, count))
        splitter = sse.Splitter()
        found = []
        for cut in cuts:
            found.extend(splitter.feed(raw[:cut]))
            raw = raw[cut:]
        found.extend(splitter.feed(raw))
        self.assertEqual(
            list(range(1, count)), [event.position for event in found]
        )

    @hypothesis.given(st.lists(st.integers(1, 12), max_size=60))
    def test_each_position_passes_once_and_in_order(self, positions):
        """Positions come late, doubled and out of order."""
        sequence = sse.Sequence()
        passed = []
        for position in positions:
            event = sse.Event(b"", position, b"{}")
            try:
                if sequence.accept(event):
                    passed.append(position)
            except errors.StreamCut:
                break
        self.assertEqual(list(range(1, len(passed) + 1)), passed)

    @hypothesis.given(st.lists(st.integers(0, 20), max_size=20))
    def test_late_copies_do_not_end_a_stream(self, late):
        """An engine repeats old positions between the new ones.

        Taken for a gap, they would cost the caller another engine's time.
        """
        sequence = sse.Sequence()
        for position in range(1, len(late) + 1):
            self.assertTrue(sequence.accept(sse.Event(b"", position, b"{}")))
            old = sse.Event(b"", min(late[position - 1], position), b"{}")
            self.assertFalse(sequence.accept(old))

    @hypothesis.given(st.lists(st.binary(max_size=60), max_size=10))
    def test_any_bytes(self, pieces):
        """An engine sends what is no event stream at all."""
        splitter = sse.Splitter()
        for piece in pieces:
            for event in splitter.feed(piece):
                self.assertIsInstance(event, sse.Event)


if __name__ == "__main__":
    unittest.main()
