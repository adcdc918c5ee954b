"""A plain service as the pages describe it."""

import asyncio
import socket

from review.standins import http


RECEIVE_BUFFER_BYTES = 65_536


class Service:
    """Runs calls, one at a time on each connection."""

    def __init__(self, name, address, work_seconds, record):
        """Call ``record(event, **fields)`` for what happens."""
        self.name = name
        self.address = address
        self._work_seconds = work_seconds
        self._record = record

    async def serve(self):
        """Listen; return the server."""
        host, _, port = self.address.rpartition(":")
        listener = socket.socket()
        # Windows are small, so a peer that doesn't read blocks the writer.
        listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        listener.bind((host, int(port)))
        return await asyncio.start_server(self._serve, sock=listener)

    async def _serve(self, reader, writer):
        try:
            while call := await http.read_message(reader):
                await self._answer(call, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, call, writer):
        attempt = call.header_by_name.get("attempt-id")
        if attempt is None:
            writer.write(http.answer(400, Not_Executed="1"))
            return
        expected = call.header_by_name.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(
                http.answer(421, Attempt_Id=attempt, Not_Executed="1")
            )
            return
        self._record("run", engine=self.name, attempt=attempt)
        await asyncio.sleep(self._work_seconds)
        writer.write(
            http.answer(
                200, b"done " * 100, Attempt_Id=attempt, Server_Stamp=self.name
            )
        )
        await writer.drain()
        self._record("ran", engine=self.name, attempt=attempt)
