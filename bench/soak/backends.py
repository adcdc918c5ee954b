"""Scripted endpoints that record each run and register themselves."""

import contextlib
import hashlib
import json
import random
import threading
import time

from bench.soak import garbled
from bench.soak import history as history_module
from standins import scripted

HEARTBEAT_SECONDS = 1.2
CALL_SECONDS = (0.005, 0.06)
# Longer than the timeout of the route of slow calls.
SLOW_CALL_SECONDS = 2.6
# For which an idle connection is kept.
KEPT_SECONDS = 5
SLOW_PATHS = ("/slow/", "/wait/")
EVENT_INTERVAL_SECONDS = 0.02
# How long an engine writes on a harmful part until it crashes.
HARMFUL_SECONDS = 0.08
TOKENS_PER_EVENT = 4
SWITCH_SECONDS = 1.0


def plain_body(attempt, path):
    """Return the body that an endpoint sends in answer to a plain call."""
    return hashlib.sha256(f"{attempt} {path}".encode()).hexdigest().encode()


def token_usage(events):
    """Return the ``Token-Usage`` of a stream of ``events`` events."""
    return f"100,{events * TOKENS_PER_EVENT}"


def last_event(usage):
    """Return the number of events of a stream with this ``Token-Usage``."""
    return int(usage.split(",")[1]) // TOKENS_PER_EVENT


class Backend:
    """One incarnation of an endpoint of ``app`` or ``model``."""

    def __init__(
        self,
        name,
        service,
        history,
        put,
        stage=None,
        version="v1",
        on_harmful=None,
        data_centre="a",
    ):
        """Listen; ``put`` writes the endpoint's record into the store.

        ``on_harmful(name)`` crashes the engine of this name.
        """
        self.version = version
        self._data_centre = data_centre
        self._on_harmful = on_harmful
        self._started = time.monotonic()
        self.name = name
        self.service = service
        self.stage = stage
        self.address = None
        self._history = history
        self._put = put
        self._rng = random.Random(name)
        self.crashed = False
        self._is_leaving = False
        self._limit = None
        self._silent_until = 0.0
        self._resting_until = 0.0
        self._requested_rest_seconds = 0.0
        self._sequence = 0
        self._accepted = 0
        self._state = "ready"
        self._stop = threading.Event()
        self.garbler = garbled.Garbler(self._rng)
        self.endpoint = scripted.Endpoint(self._script)
        if service == "model":
            self.endpoint.kept = {}
            self.endpoint.cache_script = self._tell_cache

    def register(self, address):
        """Register at ``address`` and send heartbeats from now on."""
        self.address = address
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def _send_heartbeats(self):
        while not self._stop.is_set():
            self._write_record()
            self._stop.wait(HEARTBEAT_SECONDS)

    def _write_record(self):
        self._sequence += 1
        row = {
            "service": self.service,
            "address": self.address,
            "zone": self._data_centre,
            "version": self.version,
            "slot_count": 16,
            "state": self._state,
            "sequence": self._sequence,
            "born": 1_000,
        }
        if self.stage is not None:
            row["stage"] = self.stage
        self._put(self.name, row)

    def rest(self, seconds, requested_seconds):
        """Refuse work for a time; each refusal asks for its own rest."""
        self._requested_rest_seconds = requested_seconds
        self._resting_until = time.monotonic() + seconds

    def fall_silent(self, seconds):
        """Send nothing for a time, then continue."""
        self._silent_until = time.monotonic() + seconds

    def name_limit(self, per_second, seconds):
        """Name a request limit in every answer for a time."""
        start = time.monotonic()
        self._limit = history_module.LimitSpan(
            self.name, per_second, start, start + seconds
        )
        self._history.add(self._history.limit_spans, self._limit)

    def announce_leaving(self):
        """Say in every answer from now on that this endpoint leaves."""
        self._is_leaving = True

    def drain(self):
        """Announce that this endpoint drains; it continues to serve."""
        self._state = "draining"
        self.end_span()
        self._write_record()
        self._history.drained_at_by_endpoint[self.name] = time.monotonic()

    def end(self, crash=False):
        """Close; after a crash the record stays until it expires."""
        self.crashed = crash
        self.end_span()
        self._stop.set()
        self.endpoint.close()
        if not crash:
            self._put(self.name, None)

    def end_span(self):
        """Record how long it has served, unless it has been recorded."""
        if self.service == "model" and self._started is not None:
            row = history_module.EngineSpan(
                self.name, self.version, self._started, time.monotonic()
            )
            self._history.add(self._history.engine_spans, row)
            self._started = None

    def _script(self, _endpoint, request):
        with contextlib.closing(self._respond(request)) as steps:
            for step in self.garbler.beside(steps):
                yield from self._silence()
                yield step

    def _tell_cache(self, endpoint, request):
        if self.crashed:
            yield scripted.RESET
            return
        for step in self.garbler.tell_cache(endpoint, request):
            yield from self._silence()
            yield step

    def _silence(self):
        while (left := self._silent_until - time.monotonic()) > 0:
            yield left

    def _respond(self, request):
        headers = request.header_by_name
        if "attempt-id" in headers:
            self._record_arrival(request)
        if self.crashed:
            yield scripted.RESET
        elif request.target == "/order":
            yield self._on_order(request)
        elif request.target == "/report":
            report = json.dumps({"sequence": self._accepted})
            yield self._answer(request, report.encode())
        elif request.target.startswith("/kv-handle"):
            yield self._answer(request)
        elif headers.get("expect-instance") != self.name:
            yield self._answer(request, b"", 421)
        elif time.monotonic() < self._resting_until:
            # The span that is asked for begins with the answer.
            yield from self._silence()
            yield self._refuse_for_rest(request)
        elif headers.get("stage") == "prefill":
            yield from self._prefill(request)
        else:
            yield from self._run(request)

    def _answer(self, request, body=b"fine", status=200, **headers):
        return scripted.answer(
            request, body, status, **headers, **self._own_headers(request)
        )

    def _own_headers(self, request):
        """Return what this endpoint says of itself in an answer."""
        headers = {"Keep_Alive": f"timeout={KEPT_SECONDS}"}
        if self._is_leaving:
            headers["Server_Leaving"] = 1
        attempt = request.header_by_name.get("attempt-id")
        now = time.monotonic()
        if self._limit is not None and now < self._limit.end and attempt:
            headers["Server_Limit"] = self._limit.per_second
            row = history_module.LimitNotice(attempt, self.name, now)
            self._history.add(self._history.limit_notices, row)
        return headers

    def _refuse_for_rest(self, request):
        seconds = self._requested_rest_seconds
        row = history_module.RestRequest(
            request.header_by_name["attempt-id"],
            self.name,
            time.monotonic(),
            seconds,
        )
        self._history.add(self._history.rest_requests, row)
        headers = {"Not_Executed": 1, "Retry_After": f"{seconds:.1f}"}
        return self._answer(request, b"", 503, **headers)

    def _record_leave_notice(self, request):
        if self._is_leaving:
            row = history_module.LeaveNotice(
                request.header_by_name["attempt-id"],
                self.name,
                time.monotonic(),
            )
            self._history.add(self._history.leave_notices, row)

    def _record_arrival(self, request):
        headers = request.header_by_name
        arrival = history_module.Arrival(
            headers["attempt-id"],
            self.name,
            self.service,
            time.monotonic(),
            headers.get("stage") == "prefill",
        )
        self._history.add(self._history.arrivals, arrival)
        harmful = self._harmful_series(request)
        if harmful is not None:
            row = arrival.attempt, arrival.at
            self._history.add(harmful.arrivals, row)

    def _harmful_series(self, request):
        """Return the series whose harmful part a prompt has, if any."""
        prefix = request.header_by_name.get("prompt-prefix", "")
        for series in self._history.part_series:
            if f",{series.part}:" in prefix:
                return series
        return None

    def _on_order(self, request):
        body = json.loads(request.body)
        order = history_module.Order(
            self.name,
            body["holder_id"],
            body["fencing_token"],
            time.monotonic(),
        )
        self._history.add(self._history.orders, order)
        if body.get("expect") != self._accepted:
            return self._answer(request, b"", 409)
        self._accepted += 1
        threading.Timer(SWITCH_SECONDS, self._switch, (body["stage"],)).start()
        return self._answer(request, b"", 202)

    def _switch(self, stage):
        self.stage = stage
        self._write_record()

    def _prefill(self, request):
        if self.stage != "prefill":
            yield self._answer(request, b"", 421)
            return
        yield self._rng.uniform(*CALL_SECONDS)
        result = {"cache_handle": "h1", "token_count": 1, "version": 1}
        yield self._answer(request, json.dumps(result).encode())

    def _run(self, request):
        headers = request.header_by_name
        if self.service == "model" and self.stage != "decode":
            yield self._answer(request, b"", 421)
            return
        attempt = headers["attempt-id"]
        run = history_module.Run(
            attempt, self.name, request.target, time.monotonic()
        )
        self._history.add(self._history.runs, run)
        is_complete = False
        try:
            if self.garbler.is_endless():
                yield from self.garbler.endless(request)
            if self.service == "model":
                yield from self._stream(request)
            else:
                yield self._call_seconds(request)
                self._record_leave_notice(request)
                yield self._answer(
                    request, plain_body(attempt, request.target)
                )
            is_complete = not self.crashed
        finally:
            # Also runs when the caller's side closes the connection, since
            # the generator is then closed.
            end = history_module.RunEnd(
                attempt, self.name, time.monotonic(), is_complete
            )
            self._history.add(self._history.run_ends, end)

    def _call_seconds(self, request):
        if request.target.startswith(SLOW_PATHS):
            return SLOW_CALL_SECONDS
        return self._rng.uniform(*CALL_SECONDS)

    def _stream(self, request):
        headers = request.header_by_name
        last = int(headers.get("last-event-id", 0))
        self._record_leave_notice(request)
        yield scripted.stream_head(request, **self._own_headers(request))
        harmful = self._harmful_series(request)
        if harmful is not None:
            yield HARMFUL_SECONDS
            if not self.crashed:
                self._history.add(harmful.crashes, time.monotonic())
                self._on_harmful(self.name)
            yield scripted.RESET
        # An engine may repeat an event that the caller already has.
        first = max(1, last + self._rng.randint(0, 1))
        for number in range(first, last_event(headers["token-usage"]) + 1):
            if self.crashed:
                yield scripted.chunk(scripted.event(number)[:5])
                yield scripted.RESET
            yield scripted.chunk(scripted.event(number, self.version))
            yield EVENT_INTERVAL_SECONDS
        yield scripted.chunk(b"")
