"""The client of the platform's store, which keeps a log for each topic.

A call may be refused or lost, or take effect seconds after it timed out.
Each task uses a :class:`Store` of its own, with its own connections, so that
a waiting read delays no other task.

A gateway that starts serves nobody before it has read the store, and the store
is slow just when all start at once.  So calls that may be repeated are, and
answers that come late count.
"""

import base64
import json
import math
import re
import struct
import typing
import urllib.parse

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall.http1 import client
from clementinewall.http1 import messages
from clementinewall.http1 import repeated_call
from clementinewall import logs
from clementinewall.platform import records

_log = logs.PartLog("store")

# Repeats of a call connect anew, so that a connection may take its time.
CONNECT_TIMEOUT_MS = 10_000
MAX_ANSWER_BYTES = 8_000_000
EXPIRED_STATUS = 410
# An append was to follow an offset at which the topic doesn't end.
CONFLICT_STATUS = 412
ANSWER_STATUSES_BY_METHOD = {
    b"GET": (200, EXPIRED_STATUS),
    b"POST": (200, CONFLICT_STATUS),
}
# What stands for bytes of a key that are no text.
_UNREADABLE_CHARACTER = re.compile("[\ufffd\ud800-\udfff]")
_LAST_CHARACTER = "\U0010ffff"
# As long as the longest key.
_LAST_BYTES = b"\xff" * 255
MAX_LOGGED = 200
_LENGTH_FORMAT = struct.Struct(">I")
_OFFSETS_FORMAT = struct.Struct(">QQ")


class Record(typing.NamedTuple):
    """The newest value of a key; ``None`` when the key was removed."""

    key: str
    value: bytes | None
    offset: int


class Batch(typing.NamedTuple):
    """Records in the order of their offsets, and the offset after them.

    ``is_complete`` tells whether the log had none beyond them.
    """

    records: tuple[Record, ...]
    end: int
    is_complete: bool = True


class HistoryExpired(Exception):
    """The requested records have expired; read the newest of each key.

    ``first`` is the offset of the oldest record still stored, ``None`` if the
    store didn't tell.
    """

    def __init__(self, why, first=None):
        """Take the reason and the first offset."""
        super().__init__(why)
        self.first = first


class Store:
    """Calls to the store over persistent connections."""

    def __init__(self, address, now, on_overdue=None):
        """Use the store at ``address`` (``host:port``).

        ``now`` returns the time in milliseconds.  ``on_overdue(exc)`` is
        called with a :class:`errors.LogUnavailable` when the answer to a read
        is overdue, which may still come.
        """
        self._now = now
        self._on_overdue = on_overdue
        self._times = repeated_call.AnswerTimes()
        # How old the last answer to a read may have been when it came.
        self.late_ms = 0
        # After which time a read without an answer is repeated at the latest.
        self.max_repeat_ms = math.inf
        self._pool = client.Pool(
            client.DirectPath(address, CONNECT_TIMEOUT_MS), now
        )
        self._host = address.encode()

    async def newest(self, topic):
        """Return the newest record of each key of a topic.

        The batch's end is that of the first page.  The pages are no
        consistent snapshot: a reader that continues from there also receives
        what changed between two pages.

        :raises LogUnavailable: the store did not answer as expected.
        """
        found = []
        first_end = None
        query = {"topic": topic, "part": 0}
        last_row = None
        continuations = iter(())
        while True:
            data = _decode_object(await self._get("/log-newest", query))
            try:
                rows = data["items"]
                page = [_decode_item(row) for row in rows if _has_key(row)]
                end = int(data["end_offset"])
                if rows and rows[-1] != last_row:
                    last_row = rows[-1]
                    found.extend(page)
                    continuations = iter(_continuations(rows))
            except records.DECODE_ERRORS as exc:
                raise errors.LogUnavailable(
                    f"cannot decode a page of newest records: {exc!r}"
                ) from exc
            first_end = end if first_end is None else first_end
            if not data.get("has_more") or not rows:
                break
            query["after"] = next(continuations, None)
            if query["after"] is None:
                _log.error(
                    "a page ends with keys that can't be read; the records"
                    " after them are not known",
                    topic=topic,
                    key=str(last_row["key"])[:MAX_LOGGED],
                )
                break
        return Batch(tuple(found), first_end)

    async def read(self, topic, start, wait_ms=0):
        """Return the records from offset ``start`` on.

        If there are none yet, the store waits up to ``wait_ms`` for them.

        :raises HistoryExpired: the records at ``start`` have expired.
        :raises LogUnavailable: the store did not answer as expected.
        """
        query = {"topic": topic, "part": 0, "from": start}
        raw = await self._get("/log-read", query, wait_ms)
        return _decode_batch(raw, start)

    async def append(self, topic, key, value, at=None):
        """Write the newest value of a key; return the record's offset.

        With ``at``, the record is written only if the topic ends at that
        offset; otherwise ``None`` is returned.

        :raises LogUnavailable: the record was not written, or its fate is
            unknown.
        """
        name = key.encode()
        content = bytes([len(name)]) + name + (value or b"")
        body = _LENGTH_FORMAT.pack(len(content)) + content
        query = {"topic": topic, "part": 0}
        if at is not None:
            query["at"] = at
        target = f"/log-append?{urllib.parse.urlencode(query)}"
        if at is None:
            # The same value twice is no change.
            status, raw = await self._repeat(b"POST", target, body)
        else:
            status, raw = await self._call_once(b"POST", target, body)
        if status == CONFLICT_STATUS:
            return None
        try:
            return int(_decode_object(raw)["offset"])
        except records.DECODE_ERRORS as exc:
            raise errors.LogUnavailable(
                f"cannot decode the answer to an append: {exc!r}"
            ) from exc

    async def _get(self, path, query, wait_ms=0):
        target = f"{path}?{urllib.parse.urlencode(query)}"
        _, answer = await self._repeat(b"GET", target, b"", wait_ms)
        return answer

    async def _repeat(self, method, target, body, wait_ms=0):
        """Return status and body of the first answer to a repeated call."""

        async def send(wait_ms):
            waiting = f"{target}&wait_ms={wait_ms}" if wait_ms else target
            return await self._call(method, waiting, body)

        call = repeated_call.RepeatedCall(
            send,
            errors.LogUnavailable,
            self._times,
            self._now,
            wait_ms,
            self.max_repeat_ms,
        )
        try:
            found = await call.run(lambda: self._report_overdue(target))
        except repeated_call.Unanswered as exc:
            raise errors.LogUnavailable(
                f"{target}: the store did not answer in time"
            ) from exc
        self.late_ms = call.late_ms
        if found[0] == EXPIRED_STATUS:
            raise HistoryExpired(target, _first_offset(found[1]))
        return found

    def _report_overdue(self, target):
        if self._on_overdue is not None:
            error = errors.LogUnavailable(f"{target}: the answer is overdue")
            self._on_overdue(error)

    async def _call_once(self, method, target, body):
        """Return status and body of the answer to a call sent once."""
        started = self._now()
        limit_ms = self._times.overdue_ms()
        try:
            with anyio.fail_after(clock.seconds(limit_ms)):
                answer = await self._call(method, target, body)
        except TimeoutError as exc:
            self._times.record(limit_ms)
            raise errors.LogUnavailable(
                f"{target}: the store did not answer in time"
            ) from exc
        self._times.record(self._now() - started)
        return answer

    async def _call(self, method, target, body):
        request = messages.Request(
            method, target.encode(), ((b"Host", self._host),), body
        )
        try:
            head, answer = await self._pool.send_request(
                request, MAX_ANSWER_BYTES
            )
        except client.LinkBroken as exc:
            raise errors.LogUnavailable(f"{target}: {exc.why}") from exc
        if head.status not in ANSWER_STATUSES_BY_METHOD[method]:
            raise errors.LogUnavailable(
                f"{target}: the store answered status {head.status}"
            )
        return head.status, answer

    def close(self):
        """Close the connections."""
        self._pool.close()


def _decode_object(raw):
    try:
        data = json.loads(raw)
    except (ValueError, RecursionError) as exc:
        raise errors.LogUnavailable(
            f"the store's answer is not JSON: {exc}"
        ) from exc
    if not isinstance(data, dict):
        raise errors.LogUnavailable("the store's answer is not a JSON object")
    return data


def _first_offset(raw):
    """Return the oldest offset in the answer to a read of expired records."""
    try:
        return int(_decode_object(raw)["first_offset"])
    except (*records.DECODE_ERRORS, errors.LogUnavailable):
        return None


def _has_key(row):
    """Return whether a row of a page has a key that is text."""
    return type(row["key"]) is str


def _continuations(rows):
    """Return after which keys the next page may begin, to be tried in turn.

    A key whose bytes are no text can't be sent back as it was: the store
    would give the same page again, or the request couldn't be encoded.  All
    ASCII keys that begin as it does come before it, so what is tried begins
    in the same way and comes after all others, as text or as bytes.
    """
    keys = [row["key"] for row in rows if _has_key(row)]
    last = keys[-1] if keys else ""
    readable = _UNREADABLE_CHARACTER.split(last, 1)[0]
    tried = [last] if keys and readable == last else []
    if not tried or not _has_key(rows[-1]):
        tried.append(readable + _LAST_CHARACTER)
        tried.append(readable.encode() + _LAST_BYTES)
    return tried


def _decode_item(row):
    value = base64.b64decode(row["value"] or "")
    return Record(row["key"], value or None, int(row["offset"]))


def _decode_batch(raw, start):
    if len(raw) < _OFFSETS_FORMAT.size:
        raise errors.LogUnavailable(
            "the store's answer is too short for its offsets"
        )
    end, first = _OFFSETS_FORMAT.unpack_from(raw)
    if first > start:
        raise HistoryExpired(
            f"the first offset still stored is {first}", first
        )
    if end < start:
        # A wrong position would never be reached by what is written.
        raise HistoryExpired(f"the log ends at {end}, before {start}", first)
    found = []
    position = _OFFSETS_FORMAT.size
    offset = start
    while position + _LENGTH_FORMAT.size <= len(raw):
        (length,) = _LENGTH_FORMAT.unpack_from(raw, position)
        position += _LENGTH_FORMAT.size
        content = raw[position : position + length]
        if len(content) < length:
            break
        position += length
        found.append(_decode_record(content, offset))
        offset += 1
    return Batch(tuple(found), offset, offset >= end)


def _decode_record(content, offset):
    size = content[0] if content else 0
    key = content[1 : 1 + size].decode("utf-8", "replace")
    return Record(key, content[1 + size :] or None, offset)
