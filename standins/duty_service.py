"""The platform's duty service: takes usage reports and scale orders.

``POST /standin/mode`` sets ``ok``, ``slow`` (carries out and answers after
``delay_ms``), ``busy`` (429), ``down`` (503), ``silent`` (carries out, no
answer) or ``garbled`` (carries out, an answer that can't be read).  ``GET
/standin/calls`` returns all calls, in their order, and ``GET
/standin/violations`` what no order of failures excuses: tokens that decrease,
two holders with one token, two holders that act A, B, A within the lease, two
different reports of a window.  The service itself checks nothing.

It doesn't use an HTTP library, which couldn't answer garbled.
"""

import json
import time

import anyio
import h11

from standins import base

PATHS = ("/usage", "/scale")
DEFAULT_LEASE_MS = 3_000
DEFAULT_DELAY_MS = 1_000
GARBLED = b"\x00\x01 200 fine, more or less\r\n\r\n"
STATUS_BY_MODE = {"busy": 429, "down": 503}
# Modes in which a call is carried out.
EXECUTING_MODES = ("ok", "slow", "silent", "garbled")


class Judge:
    """Finds the violations among the calls that were carried out."""

    def __init__(self, lease_ms=DEFAULT_LEASE_MS):
        """Start without calls."""
        self._lease_ms = lease_ms
        self._highest = -1
        self._holder_by_token = {}
        # When each holder acted last before another one did.
        self._left_at_by_holder = {}
        self._last = None
        self._counts_by_window = {}
        self.violations = []

    def take(self, call):
        """Take in a call, a dict of ``holder``, ``token``, ``at_ms``."""
        holder, token, at_ms = call["holder"], call["token"], call["at_ms"]
        if token < self._highest:
            self._flag("token decreases", call)
        self._highest = max(token, self._highest)
        if self._holder_by_token.setdefault(token, holder) != holder:
            self._flag("two holders with one token", call)
        if self._last is not None and self._last["holder"] != holder:
            self._left_at_by_holder[self._last["holder"]] = self._last["at_ms"]
            left_at = self._left_at_by_holder.get(holder)
            if left_at is not None and at_ms - left_at < self._lease_ms:
                self._flag("A, B, A within the lease", call)
        self._last = call
        if call["path"] == "/usage":
            window, counts = call["body"]["window"], call["body"]["counts"]
            known = self._counts_by_window.setdefault(window, counts)
            if known != counts:
                self._flag("two reports of a window", call)

    def _flag(self, why, call):
        self.violations.append({"why": why, **call})


class Service:
    """Answers by its mode and records all calls."""

    def __init__(self, lease_ms=DEFAULT_LEASE_MS):
        """Start well."""
        self.mode = "ok"
        self.delay_ms = DEFAULT_DELAY_MS
        self.calls = []
        self.judge = Judge(lease_ms)

    async def serve(self, stream):
        """Answer the one request of a connection."""
        async with stream:
            try:
                head, body = await _read(stream)
                if head is not None:
                    await self._answer(stream, head, body)
            except (
                anyio.BrokenResourceError,
                anyio.EndOfStream,
                h11.ProtocolError,
            ):
                pass

    async def _answer(self, stream, head, body):
        path = head.target.decode()
        if path == "/standin/mode":
            wanted = json.loads(body)
            self.mode = wanted["mode"]
            self.delay_ms = wanted.get("delay_ms", DEFAULT_DELAY_MS)
            await _send(stream, 200, {})
        elif path == "/standin/calls":
            await _send(stream, 200, self.calls)
        elif path == "/standin/violations":
            await _send(stream, 200, self.judge.violations)
        elif path in PATHS:
            await self._carry_out(stream, path, head, body)
        else:
            await _send(stream, 404, {})

    async def _carry_out(self, stream, path, head, body):
        mode = self.mode
        value_by_name = dict(head.headers)
        try:
            call = {
                "path": path,
                "holder": value_by_name[b"duty-holder"].decode(),
                "token": int(value_by_name[b"fencing-token"]),
                "at_ms": time.monotonic_ns() // 1_000_000,
                "mode": mode,
                "body": json.loads(body),
            }
        except (KeyError, ValueError):
            await _send(stream, 400, {})
            return
        self.calls.append(call)
        base.record("duty", **call)
        if mode in EXECUTING_MODES:
            self.judge.take(call)
        if mode == "slow":
            await anyio.sleep(self.delay_ms / 1_000)
        elif mode == "silent":
            await anyio.sleep_forever()
        elif mode == "garbled":
            await stream.send(GARBLED)
            return
        await _send(stream, STATUS_BY_MODE.get(mode, 200), {})


async def _read(stream):
    """Return head and body of a request, ``None`` if there is none."""
    parser = h11.Connection(h11.SERVER)
    head, body = None, b""
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            parser.receive_data(await stream.receive())
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            return head, body
        else:
            return None, b""


async def _send(stream, status, data):
    body = json.dumps(data).encode()
    head = (
        f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    await stream.send(head.encode() + body)


async def main(options):
    """Serve until ended."""
    host, _, port = options["ADDRESS"].rpartition(":")
    service = Service(int(options["--lease-ms"]))
    listener = await anyio.create_tcp_listener(
        local_host=host, local_port=int(port)
    )
    await listener.serve(service.serve)
