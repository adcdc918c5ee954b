"""A model engine as the pages describe it, with a limit on its channels."""

import asyncio
import json
import secrets

from review.standins import http

# Work of a token and of a prompt, in seconds.
TOKEN_SECONDS = 0.05
PROMPT_SECONDS = 0.03


class Engine:
    """Runs streams, one request at a time on each connection."""

    def __init__(self, name, address, stage, max_conns, record):
        """Call ``record(event, **fields)`` for what happens."""
        self.name = name
        self.address = address
        self.stage = stage
        self.max_conns = max_conns
        self.resets = 0
        self._record = record
        self._open = 0
        self._handles = set()
        self._orders = 0
        # Writes the record of the engine anew, with changed fields.
        self.publish = lambda **fields: None

    async def serve(self):
        """Listen; return the server."""
        host, _, port = self.address.rpartition(":")
        return await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        if self._open >= self.max_conns:
            self.resets += 1
            self._record("reset", engine=self.name, open=self._open)
            http.reset(writer)
            return
        self._open += 1
        try:
            while call := await http.read_message(reader):
                if not await self._answer(call, writer):
                    return
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._open -= 1
            writer.close()

    async def _answer(self, call, writer):
        """Answer a request; return whether the connection stays open."""
        attempt = call.header_by_name.get("attempt-id")
        if attempt is None:
            writer.write(await self._own(call))
            await writer.drain()
            return True
        expected = call.header_by_name.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(self._refusal(421, attempt))
            return True
        if call.header_by_name.get("stage") == "prefill":
            return await self._prefill(attempt, writer)
        return await self._run(call, attempt, writer)

    async def _own(self, call):
        """Return the answer to a call that concerns the engine itself."""
        path = call.target.split("?")[0]
        if path == "/kv-list":
            data = {"epoch": "e1", "next": 0, "held": []}
        elif path == "/kv-events":
            wait_ms = min(1_000, int(call.header_by_name.get("wait-ms", 0)))
            await asyncio.sleep(wait_ms / 1_000)
            data = {"epoch": "e1", "next": 0, "lost": False, "events": []}
        elif path == "/report":
            data = {
                "stage": self.stage,
                "models": [],
                "busy": False,
                "sequence": self._orders,
                "queued": 0,
                "running": 0,
                "kv_used": 0,
                "kv_total": 900_000,
                "handles": len(self._handles),
            }
        elif path == "/order":
            return self._order(json.loads(call.body))
        elif path.startswith("/kv-handle/"):
            self._handles.discard(path.rpartition("/")[2])
            data = {}
        else:
            return http.answer(404)
        return http.answer(200, json.dumps(data).encode())

    def _order(self, data):
        """Change the stage, as ordered."""
        self._record("order", engine=self.name, **data)
        if data["expect"] != self._orders:
            return http.answer(409)
        if data["stage"] == self.stage:
            return http.answer(200, b"{}")
        self._orders += 1
        self.stage = data["stage"]
        self.publish(stage=self.stage, sequence=self._orders)
        return http.answer(202, b"{}")

    def _refusal(self, status, attempt):
        return http.answer(status, Attempt_Id=attempt, Not_Executed="1")

    async def _prefill(self, attempt, writer):
        await asyncio.sleep(PROMPT_SECONDS)
        handle = secrets.token_hex(6)
        self._handles.add(handle)
        data = {"cache_handle": handle, "token_count": 100, "version": 1}
        raw = json.dumps(data).encode()
        writer.write(http.answer(200, raw, Attempt_Id=attempt))
        await writer.drain()
        return True

    async def _run(self, call, attempt, writer):
        self._record("run", engine=self.name, attempt=attempt)
        tokens = int(call.header_by_name["token-usage"].partition(",")[2])
        first = int(call.header_by_name.get("last-event-id", 0)) + 1
        await asyncio.sleep(PROMPT_SECONDS)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            f"Attempt-Id: {attempt}\r\nServer-Stamp: {self.name}\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(first, tokens + 1):
            await asyncio.sleep(TOKEN_SECONDS)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self._record("ran", engine=self.name, attempt=attempt)
        return True
