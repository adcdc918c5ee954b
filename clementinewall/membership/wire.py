"""The datagrams of the membership protocol.

An HTTP exchange costs a process about a hundred times as much as a datagram
(see docs/CAPACITY.md), and every node gossips continuously.  A datagram is
JSON after a keyed digest; it stays below the size that passes most networks
unfragmented.  Rows that a peer already knows are sent as heartbeats only.
"""

import hashlib
import hmac
import json
import typing

from clementinewall import _schema
from clementinewall import errors
from clementinewall.membership import members

MAX_DATAGRAM_BYTES = 1_350
TAG_BYTES = 16
HELLO = "hello"
REPLY = "reply"
WANT = "want"


class Heartbeat(typing.NamedTuple):
    """The fields that advance in the row of a known member."""

    id: str
    incarnation: int
    beat: int
    version: int


class Datagram(typing.NamedTuple):
    """One datagram; ``nonce`` pairs a reply with its hello."""

    kind: typing.Annotated[str, _schema.OneOf((HELLO, REPLY, WANT))]
    sender: str
    nonce: int = 0
    rows: tuple[members.Member, ...] = ()
    marks: tuple[members.Crash, ...] = ()
    want: tuple[str, ...] = ()
    # Lists instead of maps: heartbeats are most of the bytes and of the work.
    beats: tuple[typing.Any, ...] = ()


class Codec:
    """Encodes datagrams, and authenticates them by the control token."""

    def __init__(self, token):
        """Derive the key from the token."""
        self._key = hashlib.blake2b(token.encode(), digest_size=32).digest()

    def encode(self, datagram):
        """Return the bytes of one datagram."""
        data = {
            name: _schema.plain(value)
            for name, value in datagram._asdict().items()
            if value
        }
        body = json.dumps(data, separators=(",", ":")).encode()
        return self._tag(body) + body

    def decode(self, raw):
        """Return the datagram in ``raw``.

        :raises Unauthorized: its tag was not made with the token.
        :raises BadRecord: it does not have the shape of a datagram.
        """
        tag, body = raw[:TAG_BYTES], raw[TAG_BYTES:]
        if not hmac.compare_digest(tag, self._tag(body)):
            raise errors.Unauthorized(
                "datagram tag does not match the control token"
            )
        try:
            data = json.loads(body)
        except (ValueError, RecursionError) as exc:
            raise errors.BadRecord(f"datagram is not JSON: {exc}") from exc
        datagram, mistakes = _schema.build(Datagram, data)
        if mistakes:
            raise errors.BadRecord(str(mistakes[0]))
        beats = tuple(_heartbeat(row) for row in datagram.beats)
        return datagram._replace(beats=beats)

    def _tag(self, body):
        made = hashlib.blake2b(body, key=self._key, digest_size=TAG_BYTES)
        return made.digest()


def _heartbeat(row):
    if (
        isinstance(row, list)
        and len(row) == 4
        and isinstance(row[0], str)
        and all(type(part) is int for part in row[1:])
    ):
        return Heartbeat(*row)
    raise errors.BadRecord(
        "heartbeat is not a list of id, incarnation, beat and version"
    )


def split(datagram, codec):
    """Return the bytes of ``datagram`` split to fit the size limit.

    A part that is too large is split in halves, field by field; its other
    fields stay in the first half.  A single row always fits.
    """
    raw = codec.encode(datagram)
    if len(raw) <= MAX_DATAGRAM_BYTES:
        return [raw]
    for name in ("beats", "rows", "marks", "want"):
        rows = getattr(datagram, name)
        if len(rows) > 1:
            half = len(rows) // 2
            first = datagram._replace(**{name: rows[:half]})
            empty = Datagram(datagram.kind, datagram.sender, datagram.nonce)
            rest = empty._replace(**{name: rows[half:]})
            return [*split(first, codec), *split(rest, codec)]
    return [raw]
