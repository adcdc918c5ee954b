"""An engine: batches continuously, caches prefixes, obeys orders.

Prompts are worked off one after another; streams share the decoding slots,
and in the ``mixed`` role prompt work slows the tokens of the others down.
The text is a function of the prompt and the position alone, so a checker
knows every token of every answer.  ``POST /faults`` takes ``mode`` (``ok``,
``stuck``, ``truncate``, ``double``, ``gap``, ``lose_answers``) and ``slow``
(a factor).  A body that contains ``poison`` ends the process.
"""

import asyncio
import collections
import hashlib
import json
import os
import secrets

import anyio
from starlette import responses
from starlette import routing

from standins import base

PREFIX_CHARS = 256
CACHE_PREFIXES = 64
CHARS_PER_TOKEN = 4
PREFILL_FACTOR = {"mixed": 1.0, "prefill": 0.8, "decode": 3.0}
DECODE_FACTOR = {"mixed": 1.0, "prefill": 3.0, "decode": 0.8}
STUCK_SECONDS = 30.0
FAULT_AT = 3


def prompt_of(body):
    """Return the prompt's text."""
    if "messages" in body:
        return "\n".join(str(m.get("content", "")) for m in body["messages"])
    return str(body.get("prompt", ""))


def token_at(prompt, position):
    """Return the token text that every engine gives at ``position``."""
    stem = hashlib.blake2b(prompt.encode(), digest_size=4).hexdigest()
    return f"{stem}.{position} "


class Engine:
    """One engine with its queue, cache and role."""

    def __init__(self, options):
        """Take the command line's options."""
        self.name = options["--id"]
        self.models = options["--model"] or ["m"]
        self.gap = int(options["--gap-ms"]) / 1000
        self.prefill = int(options["--prefill-us"]) / 1_000_000
        self.slots = int(options["--slots"])
        self.change = int(options["--change-ms"]) / 1000
        self.checks_fence = not options["--ignore-fencing"]
        self.role = options["--role"]
        self.version = ""
        self.quiesced = False
        self.changing = False
        self.mode = "ok"
        self.slow = 1.0
        self.fence = -1
        self.running = 0
        self.cut = 0
        self.queued_tokens = 0
        self.prefill_done = 0
        self.decode_done = 0
        self.arrived = 0
        self.lock = anyio.Lock()
        self.cache = collections.OrderedDict()
        self.kv = collections.OrderedDict()
        self.orders = []
        self.executions_by_request = collections.Counter()
        self.epoch = 0
        self.boot = secrets.token_hex(4)

    def state(self):
        """Return the load report."""
        return {
            "kind": "engine",
            "role": self.role,
            "version": self.version,
            "models": self.models,
            "quiesced": self.quiesced,
            "changing": self.changing,
            "running": self.running,
            "queued_tokens": self.queued_tokens,
            "prefill_done": self.prefill_done,
            "decode_done": self.decode_done,
            "arrived": self.arrived,
            "slots": self.slots,
            "prefill_us": self.prefill * 1_000_000,
            "gap_ms": self.gap * 1000,
            "fence": self.fence,
            "cut": self.cut,
            "boot": self.boot,
        }

    def _uncached(self, prompt):
        total = max(1, len(prompt) // CHARS_PER_TOKEN)
        cached = 0
        for end in range(PREFIX_CHARS, len(prompt) + 1, PREFIX_CHARS):
            key = hashlib.blake2b(prompt[:end].encode()).digest()
            if key in self.cache and cached == (end - PREFIX_CHARS) // 4:
                cached = end // CHARS_PER_TOKEN
            self.cache[key] = True
            self.cache.move_to_end(key)
        while len(self.cache) > CACHE_PREFIXES * 16:
            self.cache.popitem(last=False)
        return max(1, total - cached)

    async def work_off(self, prompt):
        """Do the prompt work, after the prompts before it."""
        tokens = self._uncached(prompt)
        self.queued_tokens += tokens
        factor = PREFILL_FACTOR[self.role] * self.slow
        try:
            async with self.lock:
                await anyio.sleep(tokens * self.prefill * factor)
        finally:
            self.queued_tokens -= tokens
        self.prefill_done += tokens

    def token_gap(self):
        """Return the seconds to the next token of each stream."""
        crowd = max(1.0, self.running / self.slots)
        busy = 1.5 if self.queued_tokens and self.role == "mixed" else 1.0
        return self.gap * crowd * busy * DECODE_FACTOR[self.role] * self.slow

    def refusal(self):
        """Return the refusal of new work, if it must be refused."""
        if self.quiesced or self.changing:
            error = {"error": "quiesced"}
            return base.reply(error, 503, {"Not-Run": "1"})
        return None

    async def on_complete(self, request):
        """Stream an answer."""
        raw = await request.body()
        if b"poison" in raw:
            os._exit(1)
        refusal = self.refusal()
        if refusal is not None:
            return refusal
        body = json.loads(raw)
        request_id = request.headers.get("x-request-id", "none")
        after = int(request.headers.get("resume-after", "0"))
        self.arrived += 1
        self.executions_by_request[request_id] += 1
        source = request.headers.get("kv-import")
        chat = "chat" in request.url.path
        return responses.StreamingResponse(
            self._events(body, request_id, after, source, chat),
            media_type="text/event-stream",
            headers={"Engine-Load": json.dumps(self.state())},
        )

    async def _events(self, body, request_id, after, source, chat):
        prompt = prompt_of(body)
        total = int(body.get("max_tokens", 16))
        self.running += 1
        epoch = self.epoch
        position = after
        try:
            if self.mode == "stuck":
                await anyio.sleep(STUCK_SECONDS)
            if source is None and request_id not in self.kv:
                await self.work_off(prompt)
            self.kv[request_id] = True
            while position < total:
                if epoch != self.epoch:
                    self.cut += 1
                    base.record("cut", engine=self.name, request=request_id)
                    raise ConnectionResetError("the engine changed its role")
                position += 1
                for event in self._faulty(prompt, position, chat):
                    yield event
                if self.mode == "truncate" and position >= FAULT_AT:
                    return
                self.decode_done += 1
                await anyio.sleep(self.token_gap())
            yield f"id: {total + 1}\ndata: [DONE]\n\n".encode()
        finally:
            self.running -= 1

    def _faulty(self, prompt, position, chat):
        event = _event(prompt, position, chat)
        if self.mode == "gap" and position == FAULT_AT:
            return []
        if self.mode == "double" and position > 1:
            return [event, _event(prompt, position - 1, chat), event]
        return [event]

    async def on_prefill(self, request):
        """Do prompt work only and hand out a KV handle."""
        refusal = self.refusal()
        if refusal is not None:
            return refusal
        raw = await request.body()
        if b"poison" in raw:
            os._exit(1)
        self.arrived += 1
        self.running += 1
        try:
            await self.work_off(prompt_of(json.loads(raw)))
        finally:
            self.running -= 1
        return base.reply({"handle": secrets.token_hex(8)})

    async def on_order(self, request):
        """Obey an order, unless its fencing token is an old one."""
        order = await base.body_of(request)
        refused = self.checks_fence and order["fence"] < self.fence
        self.orders.append({**order, "refused": refused})
        base.record("order", engine=self.name, refused=refused, **order)
        if refused:
            return base.reply({"error": "fenced", "fence": self.fence}, 409)
        self.fence = max(self.fence, order["fence"])
        await self._obey(order)
        return base.reply({"fence": self.fence})

    async def _obey(self, order):
        if order["kind"] == "quiesce":
            self.quiesced = True
        elif order["kind"] == "resume":
            self.quiesced = False
        elif order["kind"] == "set_role" and order["value"] != self.role:
            self.role = order["value"]
            asyncio.get_running_loop().create_task(self._change())
        elif order["kind"] == "load" and order["value"] != self.version:
            self.version = order["value"]
            asyncio.get_running_loop().create_task(self._change())

    async def _change(self):
        self.epoch += 1
        self.changing = True
        await anyio.sleep(self.change)
        self.changing = False

    async def on_orders(self, _request):
        """Return every order received."""
        return base.reply(self.orders)

    async def on_executions(self, _request):
        """Tell how often each request was started."""
        return base.reply(dict(self.executions_by_request))

    async def on_state(self, _request):
        """Report the load."""
        return base.reply(self.state())

    async def on_faults(self, request):
        """Set what goes wrong from now on."""
        body = await base.body_of(request)
        self.mode = body.get("mode", "ok")
        self.slow = body.get("slow", 1.0)
        return base.reply({"mode": self.mode})


def _event(prompt, position, chat):
    text = token_at(prompt, position)
    choice = {"index": 0, "finish_reason": None}
    if chat:
        choice["delta"] = {"content": text}
    else:
        choice["text"] = text
    data = json.dumps({"choices": [choice]})
    return f"id: {position}\ndata: {data}\n\n".encode()


async def main(options):
    """Serve an engine."""
    engine = Engine(options)
    complete = engine.on_complete
    routes = [
        routing.Route("/v1/completions", complete, methods=["POST"]),
        routing.Route("/v1/chat/completions", complete, methods=["POST"]),
        routing.Route("/kv/prefill", engine.on_prefill, methods=["POST"]),
        routing.Route("/orders", engine.on_order, methods=["POST"]),
        routing.Route("/orders", engine.on_orders, methods=["GET"]),
        routing.Route("/executions", engine.on_executions),
        routing.Route("/state", engine.on_state),
        routing.Route("/faults", engine.on_faults, methods=["POST"]),
    ]
    await base.serve(routes, options["ADDRESS"])
