"""The fold of the control stream, over any order and copies of records."""

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


def fold(records):
    """Return the state after the records from offset 0."""
    state = control.State()
    state.begin(0)
    for offset, record in enumerate(records):
        state.apply(offset, record)
    return state


class FoldTest(unittest.TestCase):
    """Every reader reaches the same state, however it got the records."""

    @hypothesis.given(RECORDS, st.lists(st.integers(0, 13), max_size=20))
    def test_repeated_offsets_change_nothing(self, records, repeats):
        """A batch that is read again, or late, leaves the state alone."""
        state = control.State()
        state.begin(0)
        for offset, record in enumerate(records):
            state.apply(offset, record)
            for again in repeats:
                if again <= offset:
                    state.apply(again, records[again])
        self.assertEqual(fold(records).dump(), state.dump())

    @hypothesis.given(RECORDS, st.integers(0, 14), st.integers(0, 14))
    def test_a_snapshot_stands_for_what_it_folds(self, records, cut, gap):
        """A reader that starts behind a snapshot catches up exactly.

        The log dropped the first records.  The snapshot was written some
        records after the offset that it folds up to, as when a change
        comes in while the snapshot is under way.
        """
        cut = min(cut, len(records))
        written = min(cut + gap, len(records))
        snapshot = control.Snapshot(
            "snap", cut - 1, fold(records[:cut]).dump()
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
        whole = fold(stream)
        self.assertEqual(whole.dump(), reader.dump())
        self.assertEqual(whole.next, reader.next)

    @hypothesis.given(RECORDS)
    def test_an_older_state_replaces_nothing(self, records):
        """A peer that lags behind cannot turn a reader back."""
        state = fold(records)
        before = state.dump()
        for cut in range(len(records)):
            adopted = state.adopt(fold(records[:cut]).dump(), cut - 1)
            self.assertFalse(adopted)
        self.assertEqual(before, state.dump())

    @hypothesis.given(RECORDS)
    def test_versions_only_grow(self, records):
        """No record takes the configuration back to an earlier version."""
        state = control.State()
        state.begin(0)
        last = -1
        for offset, record in enumerate(records):
            state.apply(offset, record)
            self.assertIn(state.version, (last, offset))
            last = state.version

    @hypothesis.given(RECORDS)
    def test_fencing_tokens_only_grow(self, records):
        """A scope's later claim has the larger offset."""
        state = control.State()
        state.begin(0)
        last = {}
        for offset, record in enumerate(records):
            state.apply(offset, record)
            for scope, held in state.held_by_scope.items():
                self.assertGreaterEqual(held.offset, last.get(scope, -1))
                last[scope] = held.offset

    def test_one_of_two_racing_operators_loses(self):
        """Both read the same version; the second in the log is void."""
        value = VALUE_BY_PREFIX["endpoint"]
        rows = [
            control.Change(
                "1", "a", {"endpoint/e1": -1}, {"endpoint/e1": value}
            ),
            control.Change(
                "2", "b", {"endpoint/e1": -1}, {"endpoint/e1": value}
            ),
        ]
        state = fold([_schema.plain(row) for row in rows])
        self.assertTrue(state.outcome_by_id["1"].valid)
        self.assertFalse(state.outcome_by_id["2"].valid)
        self.assertIn("at 0", state.outcome_by_id["2"].reason)

    def test_a_doubled_append_is_heard_as_the_first(self):
        """The answer to an append is lost and the client sends it again.

        An operator would be told of a conflict with his own change.
        """
        row = control.Change(
            "1", "a", {"policy": -1}, {"policy": {"change_price": 2.0}}
        )
        state = fold([_schema.plain(row), _schema.plain(row)])
        self.assertTrue(state.outcome_by_id["1"].valid)
        self.assertEqual(0, state.version)

    def test_a_renewal_defeats_an_older_challenge(self):
        """The holder renews while a challenger's claim is on its way.

        Were the claim valid, the holder would trust the lease that it read
        back while another gives orders in the same scope.
        """
        rows = [
            control.Claim("1", "s", "x", "bx", "127.0.0.1:1", -1, -1),
            control.Renewal("2", "x", "bx", {"s": 0}),
            control.Claim("3", "s", "y", "by", "127.0.0.1:2", 0, 0),
            control.Claim("4", "s", "y", "by", "127.0.0.1:2", 0, 1),
        ]
        state = fold([_schema.plain(row) for row in rows])
        self.assertFalse(state.outcome_by_id["3"].valid)
        self.assertTrue(state.outcome_by_id["4"].valid)
        self.assertEqual("y", state.held_by_scope["s"].holder)

    def test_a_gap_keeps_the_old_state_visible(self):
        """A process wakes after so long that the log dropped records.

        It must not build on what it knew, and its callers must not lose
        the configuration that was in force.
        """
        row = control.Change("1", "a", {"policy": -1}, {"policy": {}})
        state = fold([_schema.plain(row)])
        state.begin(50)
        state.apply(50, _schema.plain(row._replace(id="2")))
        self.assertFalse(state.known)
        self.assertEqual(0, state.version)
        self.assertIn("policy", state.data_by_key)


if __name__ == "__main__":
    unittest.main()
