"""The little HTTP/1.1 that clients, engines and the store need here."""

import asyncio
import socket
import struct
import typing

_LINGER_NONE = struct.pack("ii", 1, 0)


class Message(typing.NamedTuple):
    """A request or an answer; header names are in lower case."""

    start: str
    header_by_name: dict
    body: bytes

    @property
    def method(self):
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self):
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self):
        """Return the status of an answer."""
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Return a message without its body, ``None`` at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers, b"")


async def read_message(reader):
    """Return a whole message, ``None`` if the connection ended."""
    head = await read_head(reader)
    if head is None:
        return None
    if head.header_by_name.get("transfer-encoding", "") == "chunked":
        return head._replace(body=await _read_chunks(reader))
    length = int(head.header_by_name.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return head._replace(body=body)


async def _read_chunks(reader):
    parts = []
    while True:
        line = await reader.readline()
        if not line:
            raise asyncio.IncompleteReadError(b"", None)
        size = int(line.split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def answer(status, body=b"", **headers):
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def request(method, target, body=b"", **headers):
    """Return the bytes of a request."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Close a connection by a reset."""
    sock = writer.get_extra_info("socket")
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    except OSError:
        return
    writer.transport.abort()


async def fetch(address, raw, timeout=2.0):
    """Send a request on a connection of its own; return the answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(raw)
            return await read_message(reader)
        finally:
            writer.close()
