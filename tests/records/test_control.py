"""The state of the control stream under reordered and copied records."""

import unittest

import hypothesis
from hypothesis import strategies as st

from clementinewall import _schema
from clementinewall.records import control

SCOPES = st.sampled_from(["endpoints/a", "planner"])
HOLDERS = st.sampled_from(["x", "y", "z"])
KEYS = st.sampled_from(["endpoint/e1", "endpoint/e2", "class/c"])
OFFSETS = st.integers(-1, 12)

VALUE_BY_PREFIX = {
    "endpoint": {
        "address": "127.0.0.1:1",
        "data_centre": "a",
        "kind": "engine",
        "serves": ["m"],
    },
    "class": {"kind": "model", "first_ms": 1, "deadline_ms": 9},
}


def claims(ident):
    """Return a strategy for claims."""
    return st.builds(
        control.Claim,
        id=ident,
        scope=SCOPES,
        holder=HOLDERS,
        boot=HOLDERS,
        address=st.just("127.0.0.1:1"),
        expects=OFFSETS,
        after=OFFSETS,
    )


def changes(ident):
    """Return a strategy for changes of one key."""

    def build(name, key, expected, remove):
        value = None if remove else VALUE_BY_PREFIX[key.split("/")[0]]
        return control.Change(name, "op", {key: expected}, {key: value})

    return st.builds(build, ident, KEYS, OFFSETS, st.booleans())


def renewals(ident):
    """Return a strategy for renewals."""
    return st.builds(
        control.Renewal,
        id=ident,
        holder=HOLDERS,
        boot=HOLDERS,
        claims=st.dictionaries(SCOPES, OFFSETS, max_size=2),
    )


IDENTS = st.integers(0, 30).map(str)
GARBAGE = st.one_of(
    st.none(), st.integers(), st.dictionaries(st.text(), st.integers())
)
RECORDS = st.lists(
    st.one_of(claims(IDENTS), changes(IDENTS), renewals(IDENTS), GARBAGE),
    max_size=14,
).map(lambda rows: [_schema.plain(row) for row in rows])


def state_after(records):
    """Return the state after the records from offset 0."""
    state = control.State()
    state.begin(0)
    for offset, record in enumerate(records):
        state.apply(offset, record)
    return state


class StateTest(unittest.TestCase):
    """Every reader reaches the same state, however it reads the stream."""

    @hypothesis.given(RECORDS, st.lists(st.integers(0, 13), max_size=20))
    def test_repeated_offsets_change_nothing(self, records, repeats):
        """Records that are read again, or late, do not change the state."""
        state = control.State()
        state.begin(0)
        for offset, record in enumerate(records):
            state.apply(offset, record)
            for again in repeats:
                if again <= offset:
                    state.apply(again, records[again])
        self.assertEqual(state_after(records).dump(), state.dump())

    @hypothesis.given(RECORDS, st.integers(0, 14), st.integers(0, 14))
    def test_a_snapshot_replaces_the_records_before_it(
        self, records, cut, gap
    ):
        """A reader that starts from a snapshot could miss later records.

        The log dropped the first records.  The snapshot was appended some
        records after the offset that it covers, as happens when a change is
        appended while the snapshot is being written.
        """
        cut = min(cut, len(records))
        written = min(cut + gap, len(records))
        snapshot = control.Snapshot(
            "snap", cut - 1, state_after(records[:cut]).dump()
        )
        stream = list(records)
        stream.insert(written, _schema.plain(snapshot))
        reader = control.State()
        first = min(cut, written)
        reader.next = 0
        if first == 0:
            reader.adopt(snapshot.state, snapshot.as_of)
        reader.begin(first)
        for offset in range(first, len(stream)):
            reader.apply(offset, stream[offset])
        full = state_after(stream)
        self.assertEqual(full.dump(), reader.dump())
        self.assertEqual(full.next, reader.next)

    @hypothesis.given(RECORDS)
    def test_an_older_state_replaces_nothing(self, records):
        """A lagging peer must not set a reader back to an older state."""
        state = state_after(records)
        before = state.dump()
        for cut in range(len(records)):
            adopted = state.adopt(state_after(records[:cut]).dump(), cut - 1)
            self.assertFalse(adopted)
        self.assertEqual(before, state.dump())

    @hypothesis.given(RECORDS)
    def test_versions_only_grow(self, records):
        """No record sets the configuration back to an earlier version."""
        state = control.State()
        state.begin(0)
        last = -1
        for offset, record in enumerate(records):
            state.apply(offset, record)
            self.assertIn(state.version, (last, offset))
            last = state.version

    @hypothesis.given(RECORDS)
    def test_fencing_tokens_only_grow(self, records):
        """A later claim on a scope has a larger offset."""
        state = control.State()
        state.begin(0)
        last = {}
        for offset, record in enumerate(records):
            state.apply(offset, record)
            for scope, held in state.held_by_scope.items():
                self.assertGreaterEqual(held.offset, last.get(scope, -1))
                last[scope] = held.offset

    def test_one_of_two_racing_operators_loses(self):
        """One change could overwrite another unseen.

        Both operators read the same version; the second record is void.
        """
        value = VALUE_BY_PREFIX["endpoint"]
        rows = [
            control.Change(
                "1", "a", {"endpoint/e1": -1}, {"endpoint/e1": value}
            ),
            control.Change(
                "2", "b", {"endpoint/e1": -1}, {"endpoint/e1": value}
            ),
        ]
        state = state_after([_schema.plain(row) for row in rows])
        self.assertTrue(state.outcome_by_id["1"].valid)
        self.assertFalse(state.outcome_by_id["2"].valid)
        self.assertIn("at 0", state.outcome_by_id["2"].reason)

    def test_a_duplicate_append_gets_the_outcome_of_the_first(self):
        """An operator could get a conflict with their own change.

        The answer to an append is lost and the client sends it again.
        """
        row = control.Change(
            "1", "a", {"policy": -1}, {"policy": {"change_price": 2.0}}
        )
        state = state_after([_schema.plain(row), _schema.plain(row)])
        self.assertTrue(state.outcome_by_id["1"].valid)
        self.assertEqual(0, state.version)

    def test_a_renewal_makes_an_earlier_challenge_void(self):
        """Two stewards could send orders in one scope.

        The holder renews while a challenger's claim is in flight.  If that
        claim were valid, the holder would still rely on the lease that its
        renewal extended.
        """
        rows = [
            control.Claim("1", "s", "x", "bx", "127.0.0.1:1", -1, -1),
            control.Renewal("2", "x", "bx", {"s": 0}),
            control.Claim("3", "s", "y", "by", "127.0.0.1:2", 0, 0),
            control.Claim("4", "s", "y", "by", "127.0.0.1:2", 0, 1),
        ]
        state = state_after([_schema.plain(row) for row in rows])
        self.assertFalse(state.outcome_by_id["3"].valid)
        self.assertTrue(state.outcome_by_id["4"].valid)
        self.assertEqual("y", state.held_by_scope["s"].holder)

    def test_a_gap_keeps_the_old_state_visible(self):
        """Callers could lose the configuration, or get a wrong one.

        A process resumes after a pause so long that the log dropped records.
        It must not apply later records to its old state, and must keep that
        state visible.
        """
        row = control.Change("1", "a", {"policy": -1}, {"policy": {}})
        state = state_after([_schema.plain(row)])
        state.begin(50)
        state.apply(50, _schema.plain(row._replace(id="2")))
        self.assertFalse(state.known)
        self.assertEqual(0, state.version)
        self.assertIn("policy", state.data_by_key)


if __name__ == "__main__":
    unittest.main()
