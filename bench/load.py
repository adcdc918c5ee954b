"""Callers for the demo and the proofs that behave as real ones do.

They ask the system where to connect and keep the answer until it expires,
resume a broken stream elsewhere from its last position, resend a booking
while its outcome is unknown, and record the outcome that they received.
"""

import json
import random
import threading
import time

import httpx

from standins import base
from standins import bringup
from standins import engine

MAX_ATTEMPTS = 12
RETRY_DELAY_SECONDS = 0.4
CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 12.0
DONE = "done"


class Addresses:
    """The addresses at which a caller may connect."""

    def __init__(self, first):
        """Start with the addresses of the caller's own settings."""
        self._first = list(first)
        self._resolved = []
        self._valid_until = 0.0
        self._lock = threading.Lock()

    def pick(self, http, avoid=None):
        """Return an address to use now."""
        with self._lock:
            if time.monotonic() >= self._valid_until:
                self._refresh(http)
            known = [a for a in self._resolved if a != avoid] or self._first
        return random.choice(known)

    def _refresh(self, http):
        order = random.sample(self._first, len(self._first))
        for address in self._resolved + order:
            try:
                answer = http.get(f"http://{address}/v1/addresses").json()
            except (httpx.HTTPError, ValueError):
                continue
            rows = answer.get("addresses")
            if rows:
                self._resolved = [row["address"] for row in rows]
                self._valid_until = time.monotonic() + answer["keep_ms"] / 1000
                return


class Caller:
    """One caller with its connections."""

    def __init__(self, addresses, name):
        """Share the addresses; the name goes with each request."""
        self.addresses = addresses
        self.name = name
        self.http = httpx.Client(
            timeout=httpx.Timeout(
                READ_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS
            ),
            trust_env=False,
        )

    def book(self, key):
        """Book under ``key``, repeatedly until the outcome is known.

        Returns the last outcome that the caller received: ``done``,
        ``not_run`` or ``may_have_run``.
        """
        outcome = "not_run"
        for _ in range(MAX_ATTEMPTS):
            address = self.addresses.pick(self.http)
            try:
                answer = self.http.post(
                    f"http://{address}/services/{bringup.SERVICE}/book",
                    content=f"crate for {key}",
                    headers={
                        "Idempotency-Key": key,
                        "X-Caller": self.name,
                    },
                )
                body = answer.json()
            except httpx.ConnectError:
                time.sleep(RETRY_DELAY_SECONDS)
                continue
            except (httpx.HTTPError, ValueError):
                outcome = "may_have_run"
                time.sleep(RETRY_DELAY_SECONDS)
                continue
            if answer.status_code == 200:
                outcome = DONE
                break
            verdict = body.get("verdict", "may_have_run")
            # An overload answer covers this attempt alone: an earlier attempt
            # with an unknown outcome may still have run.
            if outcome != "may_have_run" or body["code"] != "overloaded":
                outcome = verdict if outcome == "not_run" else outcome
            if "retry_after_ms" not in body:
                break
            time.sleep(min(1.0, body["retry_after_ms"] / 1000))
        return outcome

    def read_stream(self, prompt, tokens, work_class=None):
        """Read a streamed answer to its end and check its events.

        Returns ``(end, first_ms, gap_ms)``; the end is ``whole``,
        ``refused``, ``error`` (reported or failed) or ``wrong``.
        """
        reader = _StreamReader(self, prompt, tokens, work_class)
        return reader.run()


class _StreamReader:
    def __init__(self, caller, prompt, tokens, work_class):
        self.caller = caller
        self.prompt = prompt
        self.tokens = tokens
        self.headers = {"X-Caller": caller.name}
        if work_class:
            self.headers["X-Class"] = work_class
        self.position = 0
        self.is_wrong = False
        self.started = time.monotonic()
        self.first = None
        self.last = None

    def run(self):
        end = "error"
        avoid = None
        for _ in range(MAX_ATTEMPTS):
            address = self.caller.addresses.pick(self.caller.http, avoid)
            try:
                end = self._attempt(address)
            except httpx.HTTPError:
                end = "error"
            if self.is_wrong:
                end = "wrong"
            if end in ("whole", "wrong", "refused"):
                break
            avoid = address
            time.sleep(RETRY_DELAY_SECONDS)
        return end, self._first_ms(), self._gap_ms()

    def _attempt(self, address):
        headers = dict(self.headers)
        if self.position:
            headers["Last-Event-ID"] = str(self.position)
        body = {
            "model": bringup.MODEL,
            "prompt": self.prompt,
            "max_tokens": self.tokens,
            "stream": True,
        }
        url = f"http://{address}/v1/completions"
        with self.caller.http.stream(
            "POST", url, json=body, headers=headers
        ) as answer:
            if answer.status_code != 200:
                answer.read()
                return "refused" if answer.status_code == 429 else "error"
            return self._read_events(answer)

    def _read_events(self, answer):
        position = None
        for line in answer.iter_lines():
            if line.startswith("event: error"):
                return "error"
            if line.startswith("id:"):
                position = int(line[3:])
            elif line.startswith("data:"):
                self._check_event(position, line[5:].strip())
                if self.position == self.tokens + 1:
                    return "whole"
        return "error"

    def _check_event(self, position, data):
        if position != self.position + 1:
            self.is_wrong = True
        elif position == self.tokens + 1:
            self.is_wrong = self.is_wrong or data != "[DONE]"
        else:
            text = json.loads(data)["choices"][0]["text"]
            if text != engine.token_at(self.prompt, position):
                self.is_wrong = True
        self.position = position
        now = time.monotonic()
        self.first = self.first or now
        self.last = now

    def _first_ms(self):
        if self.first is None:
            return None
        return (self.first - self.started) * 1000

    def _gap_ms(self):
        if self.first is None or self.position < 3:
            return None
        return (self.last - self.first) * 1000 / (self.position - 1)


def record_booking(log, caller, key, outcome):
    """Write the outcome of a booking as its caller received it."""
    log.write(base.event_line("booking", key=f"{caller}/{key}", told=outcome))
    log.flush()


def record_stream(log, request, end):
    """Write how a stream ended for its caller."""
    log.write(base.event_line("stream", request=request, end=end))
    log.flush()
