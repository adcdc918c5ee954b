"""The platform's store as the pages describe it: topics with a log form."""

import asyncio
import base64
import json
import struct
import urllib.parse

from review.standins import http

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")
# What a call takes at a calm store.
ANSWER_SECONDS = 0.004


class _Topic:
    def __init__(self):
        self.records = []
        self.offset_by_key = {}
        self.changed = asyncio.Event()

    def append(self, content):
        size = content[0]
        key = bytes(content[1 : 1 + size])
        self.records.append(content)
        if len(content) > 1 + size:
            self.offset_by_key[key] = len(self.records) - 1
        else:
            self.offset_by_key.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """All topics, in this process."""

    def __init__(self):
        """Start empty."""
        self._topic_by_name = {}

    def put(self, topic, key, value):
        """Write a record as the operator or an engine; ``None`` removes.

        ``key`` is text, or bytes that need be none.
        """
        raw = b"" if value is None else json.dumps(value).encode()
        name = key if isinstance(key, bytes) else key.encode()
        self._topic(topic).append(bytes([len(name)]) + name + raw)

    def _topic(self, name):
        return self._topic_by_name.setdefault(name, _Topic())

    async def serve(self, address):
        """Listen; return the server."""
        host, _, port = address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        try:
            while call := await http.read_message(reader):
                await asyncio.sleep(ANSWER_SECONDS)
                writer.write(await self._answer(call))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, call):
        url = urllib.parse.urlsplit(call.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        topic = self._topic(query.get("topic", ""))
        if url.path == "/log-newest":
            return _json(self._newest(topic))
        if url.path == "/log-read":
            return await self._read(topic, query)
        if url.path == "/log-append":
            return self._append(topic, query, call.body)
        return http.answer(404)

    def _newest(self, topic):
        items = []
        for key, offset in sorted(topic.offset_by_key.items()):
            value = topic.records[offset][1 + len(key) :]
            items.append(
                {
                    "key": key.decode(errors="replace"),
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
            )
        end = len(topic.records)
        return {"items": items, "has_more": False, "end_offset": end}

    async def _read(self, topic, query):
        start = int(query["from"])
        wait_ms = int(query.get("wait_ms", 0))
        if start >= len(topic.records) and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1_000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        raw = _OFFSETS.pack(len(topic.records), 0)
        for record in topic.records[start:]:
            raw += _LENGTH.pack(len(record)) + record
        return http.answer(200, raw)

    def _append(self, topic, query, raw):
        start = len(topic.records)
        if "at" in query and int(query["at"]) != start:
            return _json({"end_offset": start}, 412)
        while raw:
            (length,) = _LENGTH.unpack_from(raw)
            topic.append(raw[4 : 4 + length])
            raw = raw[4 + length :]
        return _json({"offset": start, "end_offset": len(topic.records)})


def _json(data, status=200):
    return http.answer(
        status, json.dumps(data).encode(), Content_Type="application/json"
    )
