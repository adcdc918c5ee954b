"""Callers that keep their connections open, and note what they get."""

import http.client
import random
import secrets
import threading
import time

from bench.soak import backends
from bench.soak import checks
from bench.soak import ledger as ledger_module
from tests.integration import gateway_base

TIMEOUT_SECONDS = 6
REST_SECONDS = 0.02
KINDS = ("safe", "unsafe", "stream", "probe")
PATH_BY_KIND = {"safe": "/look/x", "unsafe": "/book/x", "stream": "/chat/x"}


class Caller(threading.Thread):
    """One caller with a kept connection to each gateway."""

    def __init__(self, seed, ledger, front_by_gateway, stop):
        """Call until ``stop`` is set; ``front_by_gateway`` may change."""
        super().__init__(daemon=True)
        self._draw = random.Random(seed)
        self._ledger = ledger
        self._front_by_gateway = front_by_gateway
        self._stop_event = stop
        self._connection_by_gateway = {}

    def run(self):
        """Call and rest by turns."""
        while not self._stop_event.is_set():
            gateway = self._draw.choice(sorted(self._front_by_gateway))
            kind = self._draw.choice(KINDS)
            path = PATH_BY_KIND.get(kind)
            if path is None:
                if not self._ledger.versions:
                    continue
                path = f"/new{self._ledger.versions[-1][0]}/x"
            self._call(gateway, kind, path)
            time.sleep(REST_SECONDS)

    def _call(self, gateway, kind, path):
        attempt = secrets.token_hex(8)
        self._ledger.begin(attempt)
        start = time.monotonic()
        status, body = self._ask(gateway, kind, path, attempt)
        rows = self._ledger.probes if kind == "probe" else self._ledger.sent
        numbers = _numbers(body) if kind == "stream" else ()
        if kind == "stream":
            right = numbers == tuple(range(1, checks.LAST_EVENT + 1))
        else:
            right = body == backends.body_of(attempt, path)
        sent = ledger_module.Sent(
            attempt,
            kind,
            gateway,
            path,
            start,
            time.monotonic(),
            status,
            right,
            numbers,
        )
        self._ledger.add(rows, sent)

    def _ask(self, gateway, kind, path, attempt):
        """Return status and body; no status if the answer broke off."""
        connection = self._connection(gateway)
        headers = {
            "Host": gateway_base.HOST,
            "Attempt-Id": attempt,
            "Deadline-Ms": "3000",
        }
        if kind == "stream":
            headers.update(
                {
                    "Model": "m",
                    "Token-Usage": "100,20",
                    "Prompt-Prefix": "aa:40,bb:40,cc:20",
                }
            )
        body = b""
        try:
            # Equal bodies would be taken for one request that comes again.
            connection.request("POST", path, attempt.encode(), headers)
            answer = connection.getresponse()
            while piece := answer.read1(65_536):
                body += piece
            # Only a closed answer lets the connection be used again.
            answer.close()
            return answer.status, body
        except (OSError, http.client.HTTPException):
            connection.close()
            self._connection_by_gateway.pop(gateway, None)
            return None, body

    def _connection(self, gateway):
        connection = self._connection_by_gateway.get(gateway)
        if connection is None:
            host, _, port = self._front_by_gateway[gateway].rpartition(":")
            connection = http.client.HTTPConnection(
                host, int(port), timeout=TIMEOUT_SECONDS
            )
            self._connection_by_gateway[gateway] = connection
        return connection


def _numbers(body):
    """Return the numbers of the whole events in a body."""
    events = body.split(b"\n\n")[:-1]
    return tuple(int(event.split(b"\n")[0][4:]) for event in events)
