"""The membership table of an instance, without any I/O.

Instances of one data centre all know each other, but only a few instances of
each other data centre, so that messages and tables do not grow with the
whole system.  Rows of a member are ordered by incarnation and heartbeat,
which only the member itself increases.  Each process judges by its own clock
whether a member is alive, from when the row last advanced.
"""

import hashlib
import random
import typing

from clementinewall import _schema

# A dead row is kept this many times ``dead_after_ms`` so that a late copy
# of it is recognised as outdated instead of taken for a new instance.
ROW_RETENTION_FACTOR = 15
# One round in this many also goes to another data centre or program.
ROUNDS_PER_REMOTE_EXCHANGE = 3
# Only the first members of a rendezvous order compete for a scope.
MAX_CANDIDATES = 3

State = typing.Annotated[str, _schema.OneOf(("live", "leaving"))]


class Member(typing.NamedTuple):
    """The row of one process, as it describes itself."""

    id: str
    program: str
    data_centre: str
    region: str
    boot: str
    control: str
    callers: str | None = None
    incarnation: int = 1
    beat: int = 0
    state: State = "live"
    version: int = -1
    next: int = 0


class Crash(typing.NamedTuple):
    """An endpoint that went down while it ran the work ``digest``.

    ``age_ms`` is sent instead of a time, so that a crash record expires
    everywhere although instances keep sending it to each other.
    """

    digest: str
    endpoint: str
    age_ms: int
    strong: bool = True


class Members:
    """The table of members, with this process's own row in it."""

    def __init__(self, own, settings, now):
        """Start with the own row only; ``now`` gives milliseconds."""
        self.own = own
        self._settings = settings
        self._now = now
        self._started_at = now()
        self._member_by_id = {}
        self._advanced_at_by_id = {}

    def advance_heartbeat(self, version, offset):
        """Advance the own heartbeat and set the active version and offset."""
        self.own = self.own._replace(
            beat=self.own.beat + 1, version=version, next=offset
        )

    def mark_draining(self):
        """Mark the own row as draining (``leaving`` on the wire)."""
        self.own = self.own._replace(state="leaving", beat=self.own.beat + 1)

    def merge_row(self, row):
        """Merge a full row; return whether more than its heartbeat is new."""
        if row.id == self.own.id:
            self._merge_own(row)
            return False
        known = self._member_by_id.get(row.id)
        if known is not None and _row_version(row) <= _row_version(known):
            return False
        self._member_by_id[row.id] = row
        self._advanced_at_by_id[row.id] = self._now()
        same = known and known._replace(
            beat=row.beat, version=row.version, next=row.next
        )
        return same != row

    def merge_heartbeat(self, beat):
        """Merge a heartbeat; return ``False`` if its row must be requested."""
        if beat.id == self.own.id:
            return True
        known = self._member_by_id.get(beat.id)
        if known is None or beat.incarnation > known.incarnation:
            return False
        if beat.incarnation == known.incarnation and beat.beat > known.beat:
            self._member_by_id[beat.id] = known._replace(
                beat=beat.beat, version=beat.version
            )
            self._advanced_at_by_id[beat.id] = self._now()
        return True

    def rows_of(self, ids):
        """Return the full rows of those ``ids`` that are live."""
        known = {row.id: row for row in self.live()}
        return tuple(known[name] for name in ids if name in known)

    def expire(self):
        """Remove the rows that have not advanced for the retention time."""
        limit = self._settings.dead_after_ms * ROW_RETENTION_FACTOR
        now = self._now()
        for name, advanced_at in list(self._advanced_at_by_id.items()):
            if now - advanced_at > limit:
                del self._advanced_at_by_id[name]
                del self._member_by_id[name]

    def all(self):
        """Return all rows, dead ones too, the own row first."""
        return [self.own, *self._member_by_id.values()]

    def live(self, program=None, data_centre=None):
        """Return the live rows, the own row among them."""
        return [
            row
            for row in self.all()
            if self.is_live(row.id)
            and (program is None or row.program == program)
            and (data_centre is None or row.data_centre == data_centre)
        ]

    def is_live(self, member_id):
        """Tell whether the row advanced within ``dead_after_ms``."""
        if member_id == self.own.id:
            return True
        advanced_at = self._advanced_at_by_id.get(member_id)
        if advanced_at is None:
            return False
        return self._now() - advanced_at <= self._settings.dead_after_ms

    def may_run(self, boot):
        """Tell whether the process ``boot`` is not known to have ended.

        A process that has just started has not heard all others yet.
        """
        if self._now() - self._started_at <= self._settings.dead_after_ms:
            return True
        return any(row.boot == boot for row in self.live())

    def message_rows(self):
        """Return the rows for a peer.

        These are all rows of this program in this data centre, the
        representatives of this program elsewhere, and one row for each other
        program and data centre, which is enough to reach it.
        """
        own = self.own
        local = self.live(own.program, own.data_centre)
        remote = [
            row
            for row in self.representatives(own.program)
            if row.data_centre != own.data_centre
        ]
        others = {
            (row.program, row.data_centre): row
            for row in reversed(self.representatives())
            if row.program != own.program
        }
        return (*local, *remote, *others.values())

    def representatives(self, program=None):
        """Return the live rows that every node of the system has.

        These are up to ``digest_size`` of each program and data centre, the
        same ones for every node.
        """
        by_group = {}
        for row in self.live(program):
            if row.state == "live":
                key = (row.data_centre, row.program)
                by_group.setdefault(key, []).append(row)
        rows = []
        for key in sorted(by_group):
            ranked = sorted(by_group[key], key=lambda row: _rank(row.id))
            rows.extend(ranked[: self._settings.digest_size])
        return rows

    def gossip_peers(self):
        """Return the control addresses of the peers for this round."""
        local = []
        remote = []
        for row in self.live():
            if row.id == self.own.id:
                continue
            near = row.data_centre == self.own.data_centre
            same = row.program == self.own.program
            (local if near and same else remote).append(row.control)
        picked = random.sample(local, 1) if local else []
        if remote and (
            not local or random.randrange(ROUNDS_PER_REMOTE_EXCHANGE) == 0
        ):
            picked.append(random.choice(remote))
        return picked

    def urgent_peers(self, limit):
        """Return up to ``limit`` control addresses for urgent updates."""
        rows = [row for row in self.live() if row.id != self.own.id]
        own = self.own
        random.shuffle(rows)
        rows.sort(key=lambda row: row.data_centre != own.data_centre)
        rows.sort(key=lambda row: row.program != own.program)
        return [row.control for row in rows[:limit]]

    def tailers(self):
        """Return the members of this data centre that read the log itself."""
        local = [
            row
            for row in self.live(data_centre=self.own.data_centre)
            if row.state == "live"
        ]
        local.sort(key=lambda row: _rank(row.id))
        return local[: self._settings.tailers]

    def is_tailer(self):
        """Tell whether this process reads the log itself."""
        return any(row.id == self.own.id for row in self.tailers())

    def relays(self):
        """Return the control addresses to read the stream from."""
        rows = [row for row in self.tailers() if row.id != self.own.id]
        if not rows:
            rows = [row for row in self.live() if row.id != self.own.id]
        return [row.control for row in rows]

    def _merge_own(self, row):
        # A row with the own id and another boot is from an earlier process.
        # Without a higher incarnation peers would keep that row and judge
        # this process dead.
        if row.boot == self.own.boot:
            return
        if row.incarnation >= self.own.incarnation:
            self.own = self.own._replace(incarnation=row.incarnation + 1)


def _row_version(row):
    return (row.incarnation, row.beat)


def _rank(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def rendezvous(key, ids):
    """Return ``ids`` in the order of preference for ``key``.

    Every process that knows the same ids computes the same order, and
    removing an id moves only the keys that preferred it.
    """
    return sorted(ids, key=lambda name: _rank(f"{key}|{name}"))
