"""Clients that keep their channels, and find gateways by the directory."""

import asyncio
import itertools
import json
import random

from review.standins import deployment
from review.standins import http

RESOLVE = f"/resolve?name={deployment.HOST}&region=region&zone=zone-a"
# As clients of the pages: one second for a channel and for the directory.
CONNECT_SECONDS = 1.0
PAUSE_SECONDS = 0.05


class Directory:
    """The addresses that the gateways tell, kept for as long as they say."""

    def __init__(self, addresses):
        """Ask at ``addresses``, in this order."""
        self._addresses = addresses
        self._known = []
        self._expires_at = 0.0

    async def fronts(self):
        """Return the addresses for clients, old ones if none can be had."""
        now = asyncio.get_running_loop().time()
        if now < self._expires_at:
            return self._known
        for address in self._addresses:
            found = await _ask(address)
            if found:
                self._known = found["addresses"]
                self._expires_at = now + min(5.0, found["ttl_s"])
                break
        return self._known


async def _ask(address):
    raw = http.request("GET", RESOLVE, Host=address)
    try:
        found = await http.fetch(address, raw, CONNECT_SECONDS)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    if found is None or found.status != 200:
        return None
    return json.loads(found.body)


class Client:
    """One client with one kept channel; it retries nothing by itself."""

    def __init__(self, directory, names, record):
        """Number attempts by ``names``; report to ``record``."""
        self._directory = directory
        self._names = names
        self._record = record
        self._reader = None
        self._writer = None
        self._front = None

    async def run(self, make_request, until, pause=PAUSE_SECONDS):
        """Send requests one after another until ``until()``."""
        # Clients don't begin at the same moment.
        await asyncio.sleep(random.uniform(0, pause))
        while not until():
            attempt = f"a{next(self._names):06d}"
            await self._send(attempt, make_request(attempt))
            await asyncio.sleep(pause)
        self._close()

    async def _send(self, attempt, raw):
        if self._writer is None and not await self._connect():
            return
        self._record("sent", attempt=attempt, front=self._front)
        try:
            async with asyncio.timeout(45):
                self._writer.write(raw)
                await self._writer.drain()
                found = await http.read_message(self._reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self._record("closed", attempt=attempt, why=repr(exc))
            self._close()
            return
        if found is None:
            self._record("closed", attempt=attempt, why="end")
            self._close()
            return
        self._record(
            "answered",
            attempt=attempt,
            status=found.status,
            stamp=found.header_by_name.get("server-stamp"),
        )
        if found.header_by_name.get("connection") == "close":
            self._close()

    async def _connect(self):
        fronts = await self._directory.fronts()
        if not fronts:
            return False
        self._front = random.choice(fronts)
        host, _, port = self._front.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
        except (OSError, TimeoutError):
            return False
        return True

    def _close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def names():
    """Return numbers for attempts."""
    return itertools.count(1)


def booking(path, body=b"two crates of pears", left_ms=8_000):
    """Return a function that makes a request of a plain service."""

    def make(attempt):
        return http.request(
            "POST",
            path,
            body,
            Host=deployment.HOST,
            Attempt_Id=attempt,
            Deadline_Ms=left_ms,
        )

    return make


def chat(path, tokens_out=8):
    """Return a function that makes a request of a model service."""

    def make(attempt):
        part = attempt.removeprefix("a")
        return http.request(
            "POST",
            path,
            b"hello",
            Host=deployment.HOST,
            Attempt_Id=attempt,
            Model="m",
            Token_Usage=f"100,{tokens_out}",
            Prompt_Prefix=f"{part}:100",
            Deadline_Ms="8000",
        )

    return make
