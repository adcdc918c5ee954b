"""The ``control`` stream: configuration changes, claims and snapshots.

Consistency comes from the readers.  A record names the offsets that it
expects to replace, and every reader applies the records in offset order by
the same rule: a record whose expectation does not hold is void.  Races
between operators, duplicate appends and late arrivals therefore have the
same result everywhere, whatever answers the log service gave.

The state is a pure function of the stream and uses no clock; the expiry of
leases is judged by ``clementinewall.steward.leases``.
"""

import collections
import typing

from clementinewall import _schema
from clementinewall.records import configuration

STREAM = "control"
# Outcomes of recent records are kept for the processes that wait for them.
MAX_OUTCOMES = 4_096
# Records buffered until a snapshot is read.  A reader that needs more lags
# by more than the log is meant to keep.
MAX_BUFFERED_RECORDS = 100_000
NO_OFFSET = -1
_CUSTOMER_PREFIX = "customer/"


class Change(typing.NamedTuple):
    """Sets keys of the configuration; ``None`` removes a key."""

    id: str
    author: str
    expects: dict[str, int]
    sets: dict[str, typing.Any]
    kind: str = "change"


class Claim(typing.NamedTuple):
    """Takes over a scope from the claim at offset ``expects``.

    ``after`` is the last renewal of that claim that the claimant has read.
    A renewal that reaches the log after it makes the new claim void, so a
    holder that reads back its own renewal knows that no claim based on an
    earlier renewal can still succeed.
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
    """Gives up claims, so that others need not wait for their expiry."""

    id: str
    claims: dict[str, int]
    kind: str = "release"


class Snapshot(typing.NamedTuple):
    """The state up to and including the offset ``as_of``."""

    id: str
    as_of: int
    state: dict[str, typing.Any]
    kind: str = "snapshot"


class Lease(typing.NamedTuple):
    """The lease on a scope; the claim's offset is the fencing token.

    ``address`` is the holder's control address, so that processes can reach
    it without knowing the members of its data centre.
    """

    offset: int
    holder: str
    boot: str
    address: str
    renewed: int
    released: bool = False


class Outcome(typing.NamedTuple):
    """The result of a record: valid or void, and the reason."""

    offset: int
    valid: bool
    reason: str = ""


_TYPE_BY_KIND = {
    "change": Change,
    "claim": Claim,
    "renewal": Renewal,
    "release": Release,
    "snapshot": Snapshot,
}


def decode(data):
    """Return the record in ``data``, or ``None`` if it has no known shape.

    An unreadable record is void for every reader; it must not crash a
    process, since it would crash all of them, and again at each start.
    """
    kind = data.get("kind") if isinstance(data, dict) else None
    record_type = _TYPE_BY_KIND.get(kind) if isinstance(kind, str) else None
    if record_type is None:
        return None
    value, mistakes = _schema.build(record_type, data)
    return None if mistakes else value


class State:
    """The state built by applying the control stream in order."""

    def __init__(self):
        """Start unknown: the stream may hold records or be empty."""
        self.known = False
        self.next = 0
        self.version = NO_OFFSET
        self.snapshot_at = NO_OFFSET
        self.data_by_key = {}
        self.offset_by_key = {}
        self.held_by_scope = {}
        self.outcome_by_id = collections.OrderedDict()
        self._buffered = []
        self._value_by_key = {}
        self._view = None

    @property
    def view(self):
        """The active configuration as typed values."""
        if self._view is None or self._view.version != self.version:
            self._view = configuration.view(self.version, self._value_by_key)
        return self._view

    def begin(self, first):
        """Set the oldest offset that can be read.

        From offset 0 the stream is complete and the empty state is correct.
        From a later offset, records are missing, and those that follow are
        buffered until a snapshot covers the gap.
        """
        if first <= self.next:
            self.known = self.known or self.next == 0
            return
        # The log has dropped records that this reader has not read, as after
        # a long pause.  The old state stays visible, but no records are
        # applied to it.
        self.known = False
        self._buffered = []
        self.next = first

    def apply(self, offset, data):
        """Apply the record at ``offset``; older offsets are ignored."""
        if offset < self.next:
            return
        self.next = offset + 1
        record = decode(data)
        if not self.known:
            self._buffer(offset, record)
            return
        self._apply(offset, record)

    def adopt(self, state, as_of):
        """Replace the state by a dumped one; return whether it was newer."""
        if self.known and as_of < self.next:
            return False
        loaded = _load(state)
        if loaded is None:
            return False
        self.version, self.data_by_key, self.offset_by_key, held = loaded
        self.held_by_scope = held
        self._value_by_key = _parse_valid(self.data_by_key)
        self.known = True
        self._view = None
        later = [item for item in self._buffered if item[0] > as_of]
        self._buffered = []
        self.next = max(self.next, as_of + 1)
        for offset, record in later:
            self._apply(offset, record)
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

    def _buffer(self, offset, record):
        if isinstance(record, Snapshot):
            self._buffered.append((offset, record))
            self.adopt(record.state, record.as_of)
            self.snapshot_at = offset
        elif record is not None and len(self._buffered) < MAX_BUFFERED_RECORDS:
            self._buffered.append((offset, record))

    def _apply(self, offset, record):
        if record is None:
            return
        reason = _APPLY_BY_TYPE[type(record)](self, offset, record)
        self.outcome_by_id[record.id] = Outcome(offset, not reason, reason)
        while len(self.outcome_by_id) > MAX_OUTCOMES:
            self.outcome_by_id.popitem(last=False)

    def _apply_change(self, offset, record):
        earlier = self.outcome_by_id.get(record.id)
        if earlier is not None:
            # A record appended twice after a lost answer: the first copy
            # took effect, and its outcome is the one to report.
            return "" if earlier.valid else earlier.reason
        for key in record.sets:
            current = self.offset_by_key.get(key, NO_OFFSET)
            expected = record.expects.get(key, NO_OFFSET)
            if current != expected:
                return f"{key} is at {current}, the change expects {expected}"
        values = _parse_all(record.sets)
        if values is None:
            return "a value has the wrong shape"
        shared = self._shared_keys(record.sets, values)
        if shared:
            return str(shared[0])
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

    def _shared_keys(self, sets, values):
        """Return the mistakes of customers after a change.

        Two operators may give one key to two customers, each in a change
        that is right in itself.
        """
        if not any(key.startswith(_CUSTOMER_PREFIX) for key in sets):
            return ()
        kept = {k: v for k, v in self._value_by_key.items() if k not in sets}
        return configuration.shared_keys(
            {
                key: value
                for key, value in {**kept, **values}.items()
                if key.startswith(_CUSTOMER_PREFIX)
            }
        )

    def _apply_claim(self, offset, record):
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

    def _apply_renewal(self, offset, record):
        lost = []
        for scope, claim in record.claims.items():
            held = self.held_by_scope.get(scope)
            if held is None or held.offset != claim or held.released:
                lost.append(scope)
            else:
                self.held_by_scope[scope] = held._replace(renewed=offset)
        return f"lost {', '.join(lost)}" if lost else ""

    def _apply_release(self, offset, record):
        for scope, claim in record.claims.items():
            held = self.held_by_scope.get(scope)
            if held is not None and held.offset == claim:
                self.held_by_scope[scope] = held._replace(
                    renewed=offset, released=True
                )
        return ""

    def _apply_snapshot(self, offset, _record):
        # A reader of the complete stream already has all that a snapshot
        # holds, so the state does not change.
        self.snapshot_at = offset
        return ""


_APPLY_BY_TYPE = {
    Change: State._apply_change,
    Claim: State._apply_claim,
    Renewal: State._apply_renewal,
    Release: State._apply_release,
    Snapshot: State._apply_snapshot,
}


def _parse_all(data_by_key):
    """Return the typed values by key, or ``None`` if one is malformed."""
    present = {k: data for k, data in data_by_key.items() if data is not None}
    values = _parse_valid(present)
    return values if len(values) == len(present) else None


def _parse_valid(data_by_key):
    """Return the typed values by key, without the malformed ones."""
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
