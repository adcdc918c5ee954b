"""What an instance knows of the others, as pure state.

Inside a data centre everybody knows everybody; of the other data centres
only a few instances each, so that what a node sends and keeps does not grow
with the whole system.  A member's row counts as newer by incarnation and
beat, which only the member itself raises.  Whether a member is alive is
judged by each reader on its own clock, from when it last saw the row move.
"""

import hashlib
import random
import typing

from clementinewall import _schema

# A dead row is kept this many times ``dead_after_ms`` so that a late copy
# of it is recognised as old news instead of a new instance.
FORGET_FACTOR = 15
# One round in so many also goes to another data centre or program.
FOREIGN_SHARE = 3
# How many of a rendezvous order may act before the rest need to.
MAX_CANDIDATES = 3

State = typing.Annotated[str, _schema.OneOf(("live", "leaving"))]


class Member(typing.NamedTuple):
    """One process of the system, as it describes itself."""

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

    ``age_ms`` grows on the way, so that a mark ends everywhere even though
    instances keep telling it to each other.
    """

    digest: str
    endpoint: str
    age_ms: int
    strong: bool = True


class Members:
    """The table of members, with this process's own row in it."""

    def __init__(self, own, settings, now):
        """Begin with the own row only; ``now`` gives milliseconds."""
        self.own = own
        self._settings = settings
        self._now = now
        self._member_by_id = {}
        self._moved_by_id = {}

    def advance_heartbeat(self, version, offset):
        """Raise the own beat and tell what is in force here."""
        self.own = self.own._replace(
            beat=self.own.beat + 1, version=version, next=offset
        )

    def mark_draining(self):
        """Mark the own row as leaving."""
        self.own = self.own._replace(state="leaving", beat=self.own.beat + 1)

    def merge_row(self, row):
        """Take in a whole row; return whether it tells anything new."""
        if row.id == self.own.id:
            self._merge_own(row)
            return False
        known = self._member_by_id.get(row.id)
        if known is not None and _age(row) <= _age(known):
            return False
        self._member_by_id[row.id] = row
        self._moved_by_id[row.id] = self._now()
        same = known and known._replace(
            beat=row.beat, version=row.version, next=row.next
        )
        return same != row

    def merge_heartbeat(self, beat):
        """Take in a beat; return ``False`` if its row must be asked for."""
        if beat.id == self.own.id:
            return True
        known = self._member_by_id.get(beat.id)
        if known is None or beat.incarnation > known.incarnation:
            return False
        if beat.incarnation == known.incarnation and beat.beat > known.beat:
            self._member_by_id[beat.id] = known._replace(
                beat=beat.beat, version=beat.version
            )
            self._moved_by_id[beat.id] = self._now()
        return True

    def rows_of(self, ids):
        """Return the whole rows of ``ids``, as far as they are known."""
        known = {row.id: row for row in self.live()}
        return tuple(known[name] for name in ids if name in known)

    def expire(self):
        """Forget the rows that have not moved for long."""
        limit = self._settings.dead_after_ms * FORGET_FACTOR
        now = self._now()
        for name, moved in list(self._moved_by_id.items()):
            if now - moved > limit:
                del self._moved_by_id[name]
                del self._member_by_id[name]

    def all(self):
        """Return every row kept, the dead ones too, ours first."""
        return [self.own, *self._member_by_id.values()]

    def live(self, program=None, data_centre=None):
        """Return the rows that moved lately, ours among them."""
        return [
            row
            for row in self.all()
            if self.is_live(row.id)
            and (program is None or row.program == program)
            and (data_centre is None or row.data_centre == data_centre)
        ]

    def is_live(self, member_id):
        """Tell whether the member's row moved lately."""
        if member_id == self.own.id:
            return True
        moved = self._moved_by_id.get(member_id)
        if moved is None:
            return False
        return self._now() - moved <= self._settings.dead_after_ms

    def message_rows(self):
        """Return the rows for a peer.

        These are all of this program in this data centre, the
        representatives of this program elsewhere, and of the other
        programs one in each data centre: nobody needs more of them.
        """
        own = self.own
        home = self.live(own.program, own.data_centre)
        away = [
            row
            for row in self.representatives(own.program)
            if row.data_centre != own.data_centre
        ]
        others = {
            (row.program, row.data_centre): row
            for row in reversed(self.representatives())
            if row.program != own.program
        }
        return (*home, *away, *others.values())

    def representatives(self, program=None):
        """Return the live rows that every node of the system knows."""
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
        """Return the control addresses to exchange rows with now."""
        home = []
        away = []
        for row in self.live():
            if row.id == self.own.id:
                continue
            near = row.data_centre == self.own.data_centre
            same = row.program == self.own.program
            (home if near and same else away).append(row.control)
        picked = random.sample(home, 1) if home else []
        if away and (not home or random.randrange(FOREIGN_SHARE) == 0):
            picked.append(random.choice(away))
        return picked

    def urgent_peers(self, limit):
        """Return some addresses for news that should not wait."""
        rows = [row for row in self.live() if row.id != self.own.id]
        own = self.own
        random.shuffle(rows)
        rows.sort(key=lambda row: row.data_centre != own.data_centre)
        rows.sort(key=lambda row: row.program != own.program)
        return [row.control for row in rows[:limit]]

    def tailers(self):
        """Return the members of this data centre that read the log."""
        home = [
            row
            for row in self.live(data_centre=self.own.data_centre)
            if row.state == "live"
        ]
        home.sort(key=lambda row: _rank(row.id))
        return home[: self._settings.tailers]

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
        # A row of ours from another boot is what an earlier process with
        # our id left behind.  Unless we go above it, peers keep believing
        # the old row and judge this process dead.
        if row.boot == self.own.boot:
            return
        if row.incarnation >= self.own.incarnation:
            self.own = self.own._replace(incarnation=row.incarnation + 1)


def _age(row):
    return (row.incarnation, row.beat)


def _rank(text):
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def rendezvous(key, ids):
    """Return ``ids`` in the order of preference for ``key``.

    Every process that knows the same ids finds the same order, and a
    missing id only moves the keys that preferred it.
    """
    return sorted(ids, key=lambda name: _rank(f"{key}|{name}"))
