"""What one gateway read of a topic, as it tells the others.

News says that the topic held nothing but ``records`` from ``start`` up to
``end``.  Whoever knows the topic up to ``start`` or further then knows it up
to ``end``; all others read for themselves.  Records that changed nothing,
such as heartbeats, are left out, so that news stays small.
"""

import base64
import collections
import typing

from clementinewall.platform import store

# Reads that one message covers: one that is lost is made up for by the next.
READS_PER_UPDATE = 3
# News of a larger change names the end only, and all others read it: one
# reader tells all others, and large messages would fill its link and delay
# its answers.
MAX_BYTES = 1_000


class TopicUpdate(typing.NamedTuple):
    """The records that count, from ``start`` up to before ``end``.

    ``away_ms`` tells for how long the store could not be read before, or 0.
    ``whole`` is false if the records were too large to be told.
    """

    topic: str
    start: int
    end: int
    records: tuple[store.Record, ...]
    away_ms: int
    whole: bool = True


class _Read(typing.NamedTuple):
    start: int
    records: tuple[store.Record, ...]
    away_ms: int


class RecentReads:
    """The last reads of a topic, for the next message."""

    def __init__(self, topic):
        """Begin without reads."""
        self._topic = topic
        self._reads = collections.deque(maxlen=READS_PER_UPDATE)

    def forget(self):
        """Begin anew: the records before the next read are not known."""
        self._reads.clear()

    def add(self, start, end, records, away_ms):
        """Note a read that began at ``start``; return the news of it."""
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
    """Return news as plain data for a datagram."""
    return update._replace(
        records=[_plain(r) for r in update.records]
    )._asdict()


def decode(data):
    """Return the news in a datagram.

    :raises KeyError, TypeError, ValueError: it is none.
    """
    return TopicUpdate(
        str(data["topic"]),
        int(data["start"]),
        int(data["end"]),
        tuple(_record(row) for row in data["records"]),
        int(data["away_ms"]),
        data["whole"] is True,
    )


def _plain(record):
    value = record.value
    text = None if value is None else base64.b64encode(value).decode()
    return [record.key, text, record.offset]


def _record(row):
    key, text, offset = row
    value = None if text is None else base64.b64decode(text)
    return store.Record(str(key), value, int(offset))
