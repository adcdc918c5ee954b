"""Updates in which one gateway sends others what it read of a topic.

An update says that the topic's only relevant records from ``start`` up to
``end`` are ``records``.  A gateway that knows the topic up to ``start`` or
further thus knows it up to ``end``; all others read the store themselves.
Records that change nothing, such as heartbeats, are left out to keep it small.
"""

import base64
import collections
import typing

from clementinewall.platform import store

# Reads covered by one message, so that the next makes up for a lost one.
READS_PER_UPDATE = 3
# The update for a larger change names only the end, and the other gateways
# read the store: one gateway sends to all others, and large messages would
# saturate its link and delay its answers.
MAX_BYTES = 1_000


class TopicUpdate(typing.NamedTuple):
    """The relevant records from ``start`` up to, but without, ``end``.

    ``away_ms`` is the length of the store outage before the read, or 0.
    ``whole`` is false if the records were too large to send.  ``asked_at`` is
    when the sender began its read, as rows of :class:`peer_clocks.Reading`,
    where other gateways need that.
    """

    topic: str
    start: int
    end: int
    records: tuple[store.Record, ...]
    away_ms: int
    whole: bool = True
    asked_at: tuple | None = None


class _Read(typing.NamedTuple):
    start: int
    records: tuple[store.Record, ...]
    away_ms: int


class RecentReads:
    """The last reads of a topic, for the next message."""

    def __init__(self, topic):
        """Start without reads."""
        self._topic = topic
        self._reads = collections.deque(maxlen=READS_PER_UPDATE)

    def forget(self):
        """Drop all reads; what precedes the next read is not known."""
        self._reads.clear()

    def add(self, start, end, records, away_ms):
        """Record a read that began at ``start``; return the update for it."""
        self._reads.append(_Read(start, tuple(records), away_ms))
        found = [record for read in self._reads for record in read.records]
        size = sum(len(r.key) + len(r.value or b"") for r in found)
        whole = size <= MAX_BYTES
        return TopicUpdate(
            self._topic,
            self._reads[0].start,
            end,
            tuple(found) if whole else (),
            max(read.away_ms for read in self._reads),
            whole,
        )


def encode(update):
    """Return an update as plain data for a datagram."""
    data = update._replace(
        records=[_plain(r) for r in update.records]
    )._asdict()
    if update.asked_at is None:
        del data["asked_at"]
    return data


def decode(data):
    """Return the update in a datagram.

    :raises KeyError, TypeError, ValueError: if the data is malformed.
    """
    return TopicUpdate(
        str(data["topic"]),
        int(data["start"]),
        int(data["end"]),
        tuple(_record(row) for row in data["records"]),
        int(data["away_ms"]),
        data["whole"] is True,
        _reading(data.get("asked_at")),
    )


def _reading(row):
    if row is None:
        return None
    clock_id, ip, at = row
    return str(clock_id), str(ip), int(at)


def _plain(record):
    value = record.value
    text = None if value is None else base64.b64encode(value).decode()
    return [record.key, text, record.offset]


def _record(row):
    key, text, offset = row
    value = None if text is None else base64.b64decode(text)
    return store.Record(str(key), value, int(offset))
