"""The ``bookings-N`` streams: intents and outcomes of calls by key.

A call that may run at most once is dispatched only by the process whose
intent is the first valid one for its key in the stream, and only after that
process has read it back.  The log's order decides between racing entries; no
lease, clock or owner has to be trusted.  The call of an intent without an
outcome may have run, and no other process ever dispatches it.
"""

import collections
import hashlib
import sys
import typing

from clementinewall import _schema

# Must never change: a key in another partition would be taken for new.  32
# partitions carry the load in docs/CAPACITY.md within the log's append rate.
PARTITIONS = 32
MAX_KEPT_BODY_CHARS = 16_384

State = typing.Annotated[
    str, _schema.OneOf(("open", "ran", "not_run", "in_doubt"))
]


class Intent(typing.NamedTuple):
    """Announces that a process is about to run the call ``key``."""

    id: str
    key: str
    digest: str


class Outcome(typing.NamedTuple):
    """Ends an intent; the body is kept as text to answer a resend."""

    id: str
    key: str
    state: State
    status: int = 0
    body: str = ""
    media_type: str = "application/json"


class Commit(typing.NamedTuple):
    """One record: intents and outcomes that a process commits together."""

    by: str
    intents: tuple[Intent, ...] = ()
    outcomes: tuple[Outcome, ...] = ()
    kind: str = "bookings"


class Booking(typing.NamedTuple):
    """The intent of a key, with its state and outcome."""

    intent: Intent
    offset: int
    by: str
    state: str = "open"
    outcome: Outcome | None = None


def stream_name(partition):
    """Return the name of the partition's stream."""
    return f"bookings-{partition}"


def scoped_key(caller, key):
    """Return the key qualified by its caller, as the stream has it."""
    return f"{caller}/{key}"


def partition_of(key):
    """Return the partition of a key; a ticket contains its partition."""
    ticket = read_ticket(key)
    if ticket is not None:
        return ticket[0]
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % PARTITIONS


def make_ticket(partition, offset, random_part):
    """Return a key that contains the stream offset at its creation."""
    return f"t1.{partition}.{offset}.{random_part}"


def read_ticket(key):
    """Return ``(partition, offset)`` of a ticket, else ``None``."""
    parts = key.rpartition("/")[2].split(".")
    if len(parts) != 4 or parts[0] != "t1":
        return None
    if not (parts[1].isdigit() and parts[2].isdigit()):
        return None
    if len(parts[1]) > 4 or len(parts[2]) > 17:
        return None
    if int(parts[1]) >= PARTITIONS:
        return None
    return int(parts[1]), int(parts[2])


class Table:
    """The bookings of one partition, built from its stream."""

    def __init__(self, limit):
        """Start empty; a table with ``limit`` keys is full."""
        self.next = 0
        self.first = 0
        self.limit = limit
        self.booking_by_key = collections.OrderedDict()

    @property
    def is_full(self):
        """Whether new keys must be refused."""
        return len(self.booking_by_key) >= self.limit

    def begin(self, first):
        """Drop the keys whose intents precede the log's oldest offset.

        Every process drops a key at the same offset, so no process still
        has a key that another takes for new.
        """
        self.first = max(self.first, first)
        self.next = max(self.next, first)
        while self.booking_by_key:
            key, booking = next(iter(self.booking_by_key.items()))
            if booking.offset >= self.first:
                return
            del self.booking_by_key[key]

    def apply(self, offset, data):
        """Apply the record at ``offset``; older offsets are ignored."""
        if offset < self.next:
            return
        self.next = offset + 1
        commit, mistakes = _schema.build(Commit, data)
        if mistakes:
            return
        for intent in commit.intents:
            self._apply_intent(offset, intent, commit.by)
        for outcome in commit.outcomes:
            self._apply_outcome(outcome)

    def is_expired(self, key):
        """Tell whether the key is a ticket from before the oldest offset."""
        ticket = read_ticket(key)
        return ticket is not None and ticket[1] < self.first

    def _apply_intent(self, offset, intent, by):
        booking = self.booking_by_key.get(intent.key)
        if booking is not None and booking.state != "not_run":
            return
        self.booking_by_key[intent.key] = Booking(
            intent, offset, sys.intern(by)
        )
        self.booking_by_key.move_to_end(intent.key)

    def _apply_outcome(self, outcome):
        booking = self.booking_by_key.get(outcome.key)
        if booking is None or booking.intent.id != outcome.id:
            return
        if booking.state == "open":
            # The outcome repeats strings of the intent; sharing them saves
            # memory, since the table keeps its entries for a long time.
            interned = outcome._replace(
                id=booking.intent.id,
                key=booking.intent.key,
                media_type=sys.intern(outcome.media_type),
            )
            self.booking_by_key[outcome.key] = booking._replace(
                state=outcome.state, outcome=interned
            )
