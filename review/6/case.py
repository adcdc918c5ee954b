"""A late second answer is taken for that of a cache call.

Two gateways, some decode engines, streams that may run once.  One gateway is
asked to stop, so that both ask an engine for the changes of its cache, which
keeps one such call waiting and refuses the other with 429.  The disruption:
of a few answers to streams the engines send a second copy, late, at the point
where the next response on that channel is expected.
"""

import asyncio
import collections
import json
import os
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins_2"))

import kit  # noqa: E402

# With TROUBLE=0 the same is done without the disruption.
HAS_TROUBLE = os.environ.get("TROUBLE") != "0"

EVENTS = 8
CALLERS = 16
ENGINES = 5
# Of the site's troubles: garble, how "extra late", share = 0.6, x = 0.03,
# for_s = 5.0.
TROUBLED_ENGINES = 3
MAX_SHARE = 0.03
TROUBLE_SECONDS = 5.0
CACHE_CALL_SECONDS = 0.1
FIRST_TOKEN_SECONDS = 0.003
MOST = 1
ROUNDS = 8
ROUND_SECONDS = 10.0


class Engine(kit.Endpoint):
    """A decode engine; copies of a few answers come late."""

    def __init__(self, store, name, record):
        """Begin without trouble."""
        super().__init__(store, name, "model", "decode")
        self._record = record
        self.trouble_until = 0.0
        # In this round, and the copies of all rounds.
        self.answered = 0
        self.copied = 0
        self.all_copied = 0
        self.waiting = 0
        self.runs = collections.Counter()
        self.refused_calls = 0

    async def handle(self, request, reader, writer):
        """Answer a request."""
        if request.target == "/report":
            writer.write(self.report())
        elif request.target.startswith("/kv-"):
            if self.waiting >= MOST:
                self._send_copy(writer)
            await asyncio.sleep(CACHE_CALL_SECONDS)
            writer.write(await self._cache_answer(request))
        elif request.attempt is None:
            writer.write(kit.response(400, headers=[("Not-Executed", "1")]))
        else:
            refusal = self.refuses(request)
            if refusal is None:
                await self._run(request, writer)
            else:
                writer.write(refusal)
        await writer.drain()
        return True

    def _send_copy(self, writer):
        """Send the last answer on this channel a second time."""
        last = getattr(writer, "last_answer", None)
        writer.last_answer = None
        if last is None or time.monotonic() > self.trouble_until:
            return
        if self.copied + 1 > MAX_SHARE * self.answered:
            return
        self.copied += 1
        self.all_copied += 1
        self._record("engine sends a late second answer to", last[0])
        writer.write(last[1])

    async def _cache_answer(self, request):
        if request.target == "/kv-list":
            data = {"epoch": "e1", "next": 0, "held": []}
        elif self.waiting >= MOST:
            self.refused_calls += 1
            return kit.response(429, headers=[("Not-Executed", "1")])
        else:
            self.waiting += 1
            try:
                wait_ms = int(request.headers.get("wait-ms", 0))
                await asyncio.sleep(wait_ms / 1000)
            finally:
                self.waiting -= 1
            data = {"epoch": "e1", "next": 0, "lost": False, "events": []}
        return kit.response(200, json.dumps(data).encode())

    async def _run(self, request, writer):
        data = self.stream_head(request)
        for number in range(1, EVENTS + 1):
            data += kit.chunk(kit.event(number, request.attempt))
        data += kit.chunk(b"")
        await asyncio.sleep(FIRST_TOKEN_SECONDS)
        # A run begins with its first token.  Like some engines, this one does
        # not drop a request when its channel closes.
        self.runs[request.attempt] += 1
        self._record(self.name, "runs", request.attempt)
        writer.write(data)
        await writer.drain()
        if time.monotonic() <= self.trouble_until:
            self.answered += 1
        writer.last_answer = (request.attempt, data)


async def call_on(gateways, record, end, answer_by_attempt):
    """Send streams one after the other on kept connections.

    The first gateway is preferred while it takes connections.
    """
    connection = None
    is_refused = False
    while time.monotonic() < end:
        attempt = kit.new_attempt()
        try:
            if connection is None:
                front = gateways[is_refused].front
                ip, _, port = front.rpartition(":")
                connection = await asyncio.open_connection(ip, int(port))
            reader, writer = connection
            writer.write(
                kit.head_bytes(
                    "POST", "/reply/1", kit.model_headers(attempt), b"hello"
                )
            )
            await writer.drain()
            record("caller sends", attempt)
            async with asyncio.timeout(10):
                answer = await kit.read_answer(reader)
        except (OSError, TimeoutError):
            connection = None
            is_refused = not is_refused
            await asyncio.sleep(0.05)
            continue
        answer_by_attempt[attempt] = answer
        record(
            "caller gets", answer.status, "to", attempt, dict(answer.headers)
        )
        if not answer.is_whole or answer.headers.get("connection") == "close":
            writer.close()
            connection = None
        await asyncio.sleep(random.uniform(0, 0.02))


async def play_round(gateway, engines, record):
    """Stop a gateway while late second answers come; start it again."""
    end = time.monotonic() + ROUND_SECONDS
    if HAS_TROUBLE:
        for engine in engines[:TROUBLED_ENGINES]:
            engine.answered = engine.copied = 0
            engine.trouble_until = time.monotonic() + TROUBLE_SECONDS
    await asyncio.sleep(1)
    record(gateway.name, "is asked to stop")
    gateway.signal(signal.SIGTERM)
    await gateway.wait_end()
    gateway.start()
    await asyncio.sleep(end - time.monotonic())


async def case(folder, record):
    """Return whether a stream ran twice."""
    store = kit.Store()
    await store.listen()
    engines = [
        Engine(store, f"engine-{n}", record) for n in range(1, ENGINES + 1)
    ]
    for engine in engines:
        await engine.start()
    kit.publish(
        store,
        1,
        [kit.route("reply", "model", "stream", max_attempts=2)],
        {"most": MOST},
    )
    net = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
    port = kit.free_ports(f"{net}.1")
    gateways = [
        kit.Gateway(folder, f"gateway-{n}", f"{net}.{n}", port, store)
        for n in (1, 2)
    ]
    answer_by_attempt = {}
    try:
        for gateway in gateways:
            gateway.start()
        for gateway in gateways:
            await gateway.wait_ready()
        await asyncio.sleep(3)
        end = time.monotonic() + ROUNDS * ROUND_SECONDS
        callers = [
            asyncio.create_task(
                call_on(
                    gateways if number % 2 else gateways[::-1],
                    record,
                    end,
                    answer_by_attempt,
                )
            )
            for number in range(CALLERS)
        ]
        for number in range(ROUNDS):
            await play_round(gateways[number % 2], engines, record)
        await asyncio.gather(*callers)
        await asyncio.sleep(1)
    finally:
        for gateway in gateways:
            gateway.end()
        for engine in engines:
            engine.close()
        store.close()
    return judge(record, engines, answer_by_attempt)


def judge(record, engines, answer_by_attempt):
    """Return the result by what callers and the engines saw."""
    runs = sum((engine.runs for engine in engines), collections.Counter())
    twice = [attempt for attempt, count in runs.items() if count > 1]
    refused = [
        attempt
        for attempt, answer in answer_by_attempt.items()
        if answer.status in (408, 421, 429, 503) and runs[attempt]
    ]
    whole = sum(a.status == 200 for a in answer_by_attempt.values())
    for attempt in twice:
        record("TWICE:", attempt, "ran", runs[attempt], "times")
    for attempt in refused:
        record("REFUSED:", attempt, answer_by_attempt[attempt], "but ran")
    record(
        f"{len(answer_by_attempt)} requests, {whole} with success,"
        f" {sum(e.all_copied for e in engines)} second answers,"
        f" {sum(e.refused_calls for e in engines)} cache calls refused,"
        f" {len(twice)} streams that ran twice,"
        f" {len(refused)} streams refused that ran"
    )
    if whole < 100:
        raise kit.CaseError("too few requests were served")
    return kit.BROKEN if twice else kit.HELD


if __name__ == "__main__":
    kit.main(case, sys.argv[1] if sys.argv[1:] else FOLDER / "record.txt")
