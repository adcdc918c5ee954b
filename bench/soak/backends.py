"""Scripted endpoints that note each run, and speak for themselves."""

import hashlib
import json
import random
import threading
import time

from bench.soak import ledger as ledger_module
from standins import scripted

HEARTBEAT_SECONDS = 1.2
CALL_SECONDS = (0.005, 0.06)
# Longer than the timeout of the route of slow calls.
SLOW_CALL_SECONDS = 2.6
SLOW_PATHS = ("/slow/", "/wait/")
PAUSE_SECONDS = 0.02
TOKENS_PER_EVENT = 4
SWITCH_SECONDS = 1.0


def body_of(attempt, path):
    """Return what an endpoint answers to a plain call."""
    return hashlib.sha256(f"{attempt} {path}".encode()).hexdigest().encode()


def usage_of(events):
    """Return the ``Token-Usage`` of a stream of so many events."""
    return f"100,{events * TOKENS_PER_EVENT}"


def _last_event(usage):
    return int(usage.split(",")[1]) // TOKENS_PER_EVENT


class Backend:
    """One life of an endpoint of ``app`` or ``model``."""

    def __init__(self, name, service, ledger, put, stage=None):
        """Listen; ``put`` writes the endpoint's record into the store."""
        self.name = name
        self.service = service
        self.stage = stage
        self.address = None
        self._ledger = ledger
        self._put = put
        self._draw = random.Random(name)
        self.crashed = False
        self._sequence = 0
        self._accepted = 0
        self._state = "ready"
        self._stop = threading.Event()
        self.endpoint = scripted.Endpoint(self._script)

    def appear(self, address):
        """Register at ``address`` and send heartbeats from now on."""
        self.address = address
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        while not self._stop.is_set():
            self._write()
            self._stop.wait(HEARTBEAT_SECONDS)

    def _write(self):
        self._sequence += 1
        row = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "slot_count": 16,
            "state": self._state,
            "sequence": self._sequence,
            "born": 1_000,
        }
        if self.stage is not None:
            row["stage"] = self.stage
        self._put(self.name, row)

    def drain(self):
        """Say that this endpoint leaves; it serves on."""
        self._state = "draining"
        self._write()
        self._ledger.left_by_endpoint[self.name] = time.monotonic()

    def end(self, crash=False):
        """End: after a crash the record stays a while, as it lapses."""
        self.crashed = crash
        self._stop.set()
        self.endpoint.close()
        if not crash:
            self._put(self.name, None)

    def _script(self, _endpoint, request):
        headers = request.header_by_name
        if "attempt-id" in headers:
            self._note_arrival(request)
        if self.crashed:
            yield scripted.RESET
        elif request.target == "/order":
            yield self._on_order(request)
        elif request.target == "/report":
            yield scripted.answer(
                request, json.dumps({"sequence": self._accepted}).encode()
            )
        elif request.target.startswith("/kv-handle"):
            yield scripted.answer(request)
        elif headers.get("expect-instance") != self.name:
            yield scripted.answer(request, b"", 421)
        elif headers.get("stage") == "prefill":
            yield from self._read_prompt(request)
        else:
            yield from self._run(request)

    def _note_arrival(self, request):
        headers = request.header_by_name
        arrival = ledger_module.Arrival(
            headers["attempt-id"],
            self.name,
            self.service,
            time.monotonic(),
            headers.get("stage") == "prefill",
        )
        self._ledger.add(self._ledger.arrivals, arrival)

    def _on_order(self, request):
        body = json.loads(request.body)
        order = ledger_module.Order(
            self.name,
            body["holder_id"],
            body["fencing_token"],
            time.monotonic(),
        )
        self._ledger.add(self._ledger.orders, order)
        if body.get("expect") != self._accepted:
            return scripted.answer(request, b"", 409)
        self._accepted += 1
        threading.Timer(SWITCH_SECONDS, self._switch, (body["stage"],)).start()
        return scripted.answer(request, b"", 202)

    def _switch(self, stage):
        self.stage = stage
        self._write()

    def _read_prompt(self, request):
        if self.stage != "prefill":
            yield scripted.answer(request, b"", 421)
            return
        yield self._draw.uniform(*CALL_SECONDS)
        told = {"cache_handle": "h1", "token_count": 1, "version": 1}
        yield scripted.answer(request, json.dumps(told).encode())

    def _run(self, request):
        headers = request.header_by_name
        if self.service == "model" and self.stage != "decode":
            yield scripted.answer(request, b"", 421)
            return
        attempt = headers["attempt-id"]
        run = ledger_module.Run(
            attempt, self.name, request.target, time.monotonic()
        )
        self._ledger.add(self._ledger.runs, run)
        whole = False
        try:
            if self.service == "model":
                yield from self._stream(request)
            else:
                yield self._call_seconds(request)
                yield scripted.answer(
                    request, body_of(attempt, request.target)
                )
            whole = not self.crashed
        finally:
            # Also reached when the caller's side closes: the generator is
            # closed then.
            end = ledger_module.RunEnd(
                attempt, self.name, time.monotonic(), whole
            )
            self._ledger.add(self._ledger.run_ends, end)

    def _call_seconds(self, request):
        if request.target.startswith(SLOW_PATHS):
            return SLOW_CALL_SECONDS
        return self._draw.uniform(*CALL_SECONDS)

    def _stream(self, request):
        headers = request.header_by_name
        last = int(headers.get("last-event-id", 0))
        yield scripted.stream_head(request)
        # An engine may repeat what the caller has already.
        first = max(1, last + self._draw.randint(0, 1))
        for number in range(first, _last_event(headers["token-usage"]) + 1):
            if self.crashed:
                yield scripted.chunk(scripted.event(number)[:5])
                yield scripted.RESET
            yield scripted.chunk(scripted.event(number))
            yield PAUSE_SECONDS
        yield scripted.chunk(b"")
