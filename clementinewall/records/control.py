"""The ``control`` stream: configuration changes, claims and snapshots.

All agreement is made by readers.  A record names the offsets it expects to
replace, and every reader applies the records in offset order by the same
rule: a record whose expectation does not hold is void.  Racing operators,
doubled appends and late arrivals therefore end alike everywhere, and no
answer of the log service needs to be trusted.

The fold is a pure function of the stream.  It holds no clock; leases are
judged by ``clementinewall.steward.leases`` from what is folded here.
"""

import collections
import typing

from clementinewall import _schema
from clementinewall.records import configuration

STREAM = "control"
# Outcomes of recent records by id, for those who wait for their own.
OUTCOMES_LIMIT = 4_096
# Records held while no snapshot has been seen.  A reader that needs more
# than this many is behind by more than the log is meant to keep.
WAITING_LIMIT = 100_000
NO_OFFSET = -1


class Change(typing.NamedTuple):
    """Sets keys of the configuration; ``None`` removes a key."""

    id: str
    author: str
    expects: dict[str, int]
    sets: dict[str, typing.Any]
    kind: str = "change"


class Claim(typing.NamedTuple):
    """Takes a scope over from the claim at offset ``expects``.

    ``after`` is the last renewal of that claim which the claimant saw.  A
    renewal that reaches the log in between makes the new claim void, so a
    holder that reads its own renewal back knows that no challenge older
    than the renewal can still succeed.
    """

    id: str
    scope: str
    holder: str
    boot: str
    address: str
    expects: int
    after: int
    kind: str = "claim"


class Renewal(typing.NamedTuple):
    """Renews all claims of one holder, by scope, in one record."""

    id: str
    holder: str
    boot: str
    claims: dict[str, int]
    kind: str = "renewal"


class Release(typing.NamedTuple):
    """Gives claims up, so that others need not wait out the lease."""

    id: str
    claims: dict[str, int]
    kind: str = "release"


class Snapshot(typing.NamedTuple):
    """The state folded up to and including the offset ``as_of``."""

    id: str
    as_of: int
    state: dict[str, typing.Any]
    kind: str = "snapshot"


class Lease(typing.NamedTuple):
    """The current claim on a scope; its offset is the fencing token.

    ``address`` is the holder's control address: with it in the claim, no
    process needs to know the members of other data centres to reach it.
    """

    offset: int
    holder: str
    boot: str
    address: str
    renewed: int
    released: bool = False


class Outcome(typing.NamedTuple):
    """What became of a record: valid or void, and why."""

    offset: int
    valid: bool
    reason: str = ""


_SHAPE_BY_KIND = {
    "change": Change,
    "claim": Claim,
    "renewal": Renewal,
    "release": Release,
    "snapshot": Snapshot,
}


def decode(data):
    """Return the record in ``data``, or ``None`` if it has no known shape.

    A record nobody can read is void for everybody; it must not end a
    process, since it would end all of them and again at each start.
    """
    kind = data.get("kind") if isinstance(data, dict) else None
    shape = _SHAPE_BY_KIND.get(kind) if isinstance(kind, str) else None
    if shape is None:
        return None
    value, mistakes = _schema.build(shape, data)
    return None if mistakes else value


class State:
    """The fold of the control stream."""

    def __init__(self):
        """Start without knowledge: not even that the stream is empty."""
        self.known = False
        self.next = 0
        self.version = NO_OFFSET
        self.snapshot_at = NO_OFFSET
        self.data_by_key = {}
        self.offset_by_key = {}
        self.held_by_scope = {}
        self.outcome_by_id = collections.OrderedDict()
        self._waiting = []
        self._value_by_key = {}
        self._view = None

    @property
    def view(self):
        """The typed configuration in force."""
        if self._view is None or self._view.version != self.version:
            self._view = configuration.view(self.version, self._value_by_key)
        return self._view

    def begin(self, first):
        """Tell the fold that the oldest record to be had is at ``first``.

        From offset 0 the empty state is the truth.  From anywhere later
        something is missing, and records wait until a snapshot covers it.
        """
        if first <= self.next:
            self.known = self.known or self.next == 0
            return
        # The log has dropped records that this reader never saw, as after
        # a long pause.  The old state stays visible but is not built upon.
        self.known = False
        self._waiting = []
        self.next = first

    def apply(self, offset, data):
        """Fold the record at ``offset`` in; older offsets are ignored."""
        if offset < self.next:
            return
        self.next = offset + 1
        record = decode(data)
        if not self.known:
            self._wait(offset, record)
            return
        self._fold(offset, record)

    def adopt(self, state, as_of):
        """Take over a folded state, unless it is older than our own."""
        if self.known and as_of < self.next:
            return False
        loaded = _load(state)
        if loaded is None:
            return False
        self.version, self.data_by_key, self.offset_by_key, held = loaded
        self.held_by_scope = held
        self._value_by_key = _readable(self.data_by_key)
        self.known = True
        self._view = None
        later = [item for item in self._waiting if item[0] > as_of]
        self._waiting = []
        self.next = max(self.next, as_of + 1)
        for offset, record in later:
            self._fold(offset, record)
        return True

    def dump(self):
        """Return the state as plain data, for a snapshot or a peer."""
        return {
            "version": self.version,
            "data_by_key": dict(self.data_by_key),
            "offset_by_key": dict(self.offset_by_key),
            "held_by_scope": {
                scope: _schema.plain(held)
                for scope, held in self.held_by_scope.items()
            },
        }

    def _wait(self, offset, record):
        if isinstance(record, Snapshot):
            self._waiting.append((offset, record))
            self.adopt(record.state, record.as_of)
            self.snapshot_at = offset
        elif record is not None and len(self._waiting) < WAITING_LIMIT:
            self._waiting.append((offset, record))

    def _fold(self, offset, record):
        if record is None:
            return
        reason = _FOLD_BY_TYPE[type(record)](self, offset, record)
        self.outcome_by_id[record.id] = Outcome(offset, not reason, reason)
        while len(self.outcome_by_id) > OUTCOMES_LIMIT:
            self.outcome_by_id.popitem(last=False)

    def _fold_change(self, offset, record):
        earlier = self.outcome_by_id.get(record.id)
        if earlier is not None:
            # The same record appended twice after a lost answer: the first
            # copy decided.  Its outcome is what the author must hear.
            return "" if earlier.valid else earlier.reason
        for key in record.sets:
            current = self.offset_by_key.get(key, NO_OFFSET)
            expected = record.expects.get(key, NO_OFFSET)
            if current != expected:
                return f"{key} is at {current}, the change expects {expected}"
        values = _typed(record.sets)
        if values is None:
            return "a value has the wrong shape"
        for key, data in record.sets.items():
            if data is None:
                self.data_by_key.pop(key, None)
                self.offset_by_key.pop(key, None)
                self._value_by_key.pop(key, None)
            else:
                self.data_by_key[key] = data
                self.offset_by_key[key] = offset
                self._value_by_key[key] = values[key]
        self.version = offset
        return ""

    def _fold_claim(self, offset, record):
        held = self.held_by_scope.get(record.scope)
        if held is not None and held.offset > record.expects:
            return f"{record.scope} is claimed at {held.offset}"
        if held is not None and held.offset != record.expects:
            return f"no claim on {record.scope} at {record.expects}"
        if held is None and record.expects != NO_OFFSET:
            return f"{record.scope} is not claimed"
        if held is not None and held.renewed != record.after:
            return f"{record.scope} was renewed at {held.renewed}"
        self.held_by_scope[record.scope] = Lease(
            offset, record.holder, record.boot, record.address, offset
        )
        return ""

    def _fold_renewal(self, offset, record):
        lost = []
        for scope, claim in record.claims.items():
            held = self.held_by_scope.get(scope)
            if held is None or held.offset != claim or held.released:
                lost.append(scope)
            else:
                self.held_by_scope[scope] = held._replace(renewed=offset)
        return f"lost {', '.join(lost)}" if lost else ""

    def _fold_release(self, offset, record):
        for scope, claim in record.claims.items():
            held = self.held_by_scope.get(scope)
            if held is not None and held.offset == claim:
                self.held_by_scope[scope] = held._replace(
                    renewed=offset, released=True
                )
        return ""

    def _fold_snapshot(self, offset, _record):
        # A snapshot says nothing that a reader of the whole stream does
        # not know, so it never replaces anything here.
        self.snapshot_at = offset
        return ""


_FOLD_BY_TYPE = {
    Change: State._fold_change,
    Claim: State._fold_claim,
    Renewal: State._fold_renewal,
    Release: State._fold_release,
    Snapshot: State._fold_snapshot,
}


def _typed(data_by_key):
    """Return the typed values by key, or ``None`` if one is malformed."""
    present = {k: data for k, data in data_by_key.items() if data is not None}
    values = _readable(present)
    return values if len(values) == len(present) else None


def _readable(data_by_key):
    """Return the typed values of those keys that have the right shape."""
    values = {}
    for key, data in data_by_key.items():
        value, mistakes = configuration.read_value(key, data)
        if not mistakes:
            values[key] = value
    return values


class _Dump(typing.NamedTuple):
    version: int
    data_by_key: dict[str, typing.Any]
    offset_by_key: dict[str, int]
    held_by_scope: dict[str, Lease]


def _load(state):
    dump, mistakes = _schema.build(_Dump, state)
    return None if mistakes else tuple(dump)
