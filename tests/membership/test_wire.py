"""Membership datagrams, and all decoders on arbitrary input."""

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
    def test_split_datagrams_carry_every_heartbeat(self, beats):
        """No heartbeat is lost, and every part fits into a datagram."""
        datagram = wire.Datagram(wire.HELLO, "a", 7, beats=tuple(beats))
        parts = wire.split(datagram, CODEC)
        found = [b for raw in parts for b in CODEC.decode(raw).beats]
        self.assertEqual([tuple(b) for b in beats], [tuple(b) for b in found])
        if len(parts) > 1:
            self.assertLessEqual(max(map(len, parts)), wire.MAX_DATAGRAM_BYTES)

    @hypothesis.given(st.binary(max_size=300))
    def test_foreign_bytes_are_refused(self, raw):
        """Bytes without a valid tag raise Unauthorized, nothing else."""
        with self.assertRaises(errors.Unauthorized):
            CODEC.decode(raw)

    def test_another_token_is_refused(self):
        """A process of another deployment sends to this one."""
        raw = wire.Codec("other").encode(wire.Datagram(wire.HELLO, "a"))
        with self.assertRaises(errors.Unauthorized):
            CODEC.decode(raw)

    @hypothesis.given(JSON)
    def test_unexpected_content_with_a_valid_tag_is_a_bad_record(self, data):
        """A peer of another version sends content unknown to this one."""
        body = json.dumps(data).encode()
        raw = CODEC._tag(body) + body
        try:
            CODEC.decode(raw)
        except errors.BadRecord:
            pass


class DecodersTest(unittest.TestCase):
    """Any input gives a typed value or a typed error, no crash."""

    @hypothesis.given(JSON)
    def test_records(self, data):
        """Unreadable records only advance the offset."""
        state = control.State()
        state.begin(0)
        state.apply(0, data)
        table = bookings.Table(10)
        table.apply(0, data)
        self.assertEqual(1, state.next)
        self.assertEqual(1, table.next)

    @hypothesis.given(JSON)
    def test_batches_and_reports(self, data):
        """Answers of the log, a peer or an engine are checked in full."""
        for decode in (client.decode_batch, reports.decode):
            try:
                decode(data)
            except errors.BadRecord:
                pass

    @hypothesis.given(st.binary(max_size=200))
    def test_bodies(self, raw):
        """A request body is a JSON object or a BadRequest."""
        try:
            self.assertIsInstance(_web.decode_object(raw), dict)
        except errors.BadRequest:
            pass

    @hypothesis.given(JSON)
    def test_problems(self, data):
        """A peer's problem document gives an error or ``None``."""
        raw = json.dumps(data).encode()
        found = _web.error_of_problem(raw)
        self.assertTrue(
            found is None or isinstance(found, errors.ClementinewallError)
        )

    @hypothesis.given(JSON)
    def test_shapes_round_trip(self, data):
        """A value turned into plain data and built again is equal."""
        value, mistakes = _schema.build(members.Crash, data)
        if not mistakes:
            again = _schema.build(members.Crash, _schema.plain(value))
            self.assertEqual((value, ()), again)


class EventsTest(unittest.TestCase):
    """Server-sent events, split at arbitrary places."""

    @hypothesis.given(
        st.integers(1, 20), st.lists(st.integers(1, 40), max_size=30)
    )
    def test_events_do_not_depend_on_chunk_boundaries(self, count, cuts):
        """The network may split a stream anywhere."""
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
        """Positions may come late, repeated and out of order."""
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
        """A stream could be cut for no reason and moved to another engine.

        An engine repeats old positions between new ones, which must not
        count as a gap.
        """
        sequence = sse.Sequence()
        for position in range(1, len(late) + 1):
            self.assertTrue(sequence.accept(sse.Event(b"", position, b"{}")))
            old = sse.Event(b"", min(late[position - 1], position), b"{}")
            self.assertFalse(sequence.accept(old))

    @hypothesis.given(st.lists(st.binary(max_size=60), max_size=10))
    def test_splitter_accepts_any_bytes(self, pieces):
        """An engine may send bytes that are no event stream."""
        splitter = sse.Splitter()
        for piece in pieces:
            for event in splitter.feed(piece):
                self.assertIsInstance(event, sse.Event)


if __name__ == "__main__":
    unittest.main()
