"""How often requests of each size are served while engines are short."""

import collections
import http.client
import math
import random
import threading
import time

from clementinewall.policy import engine_time
from standins import scripted
from tests.integration import gateway_base

GATEWAYS = 3
PREFILL_ENGINES = 4
DECODE_ENGINES = 1
SECONDS = 12.0
# Prompts as large deployments have them, in tokens.
MEAN_TOKENS = 13_300
SPREAD = 0.7
MAX_TOKENS = 39_900
GOAL_MS = 400
DEADLINE_MS = 5_000
# What is asked for, against what the prefill engines can do.
LOAD = 2.5
# The rule: of a kind of request the largest tenth, and the fifth below it, are
# served at least half as often as all.
MIN_SHARE = 0.5


class _Engine:
    """Prefills one prompt after the other, the most urgent first."""

    def __init__(self, factor):
        self._factor = factor
        self._lock = threading.Condition()
        self._waiting = []
        self._is_busy = False
        self._serial = 0

    def script(self, _endpoint, request):
        headers = request.header_by_name
        if "attempt-id" not in headers:
            yield scripted.answer(request, b"", 404)
            return
        is_prefill = headers.get("stage") == "prefill"
        if is_prefill or "kv-source" not in headers:
            self._prefill(headers)
        yield engine_time.FIRST_EVENT_MS / 1_000
        if is_prefill:
            body = b'{"cache_handle":"h","token_count":1,"version":1}'
            yield scripted.answer(request, body)
            return
        yield scripted.stream_head(request)
        yield scripted.chunk(scripted.event(1))
        yield scripted.chunk(b"")

    def _prefill(self, headers):
        tokens = int(headers["token-usage"].partition(",")[0])
        took_ms = engine_time.prefill_ms(tokens, 0) * self._factor
        with self._lock:
            self._serial += 1
            place = int(headers.get("request-priority", 5)), self._serial
            self._waiting.append(place)
            while self._is_busy or min(self._waiting) != place:
                self._lock.wait()
            self._waiting.remove(place)
            self._is_busy = True
        time.sleep(took_ms / 1_000)
        with self._lock:
            self._is_busy = False
            self._lock.notify_all()


def draw_tokens(rng):
    """Return the size of a prompt, in tokens."""
    mu = math.log(MEAN_TOKENS) - SPREAD**2 / 2
    return min(MAX_TOKENS, max(50, int(rng.lognormvariate(mu, SPREAD))))


class LargeRequests(gateway_base.GatewayCase):
    """Gateways in front of engines that can't do all in time."""

    def setUp(self):
        """Start engines and gateways."""
        super().setUp()
        self.publish(
            gateway_base.route(
                "chat",
                "model",
                "stream",
                goal_ms=GOAL_MS,
                timeout_ms=DEADLINE_MS,
                max_attempts=1,
            ),
        )
        for number in range(PREFILL_ENGINES):
            self.engine(f"p{number}", _Engine(1.0).script, "prefill")
        for number in range(DECODE_ENGINES):
            self.engine(
                f"d{number}", _Engine(engine_time.DECODE_SLOWDOWN).script
            )
        self.fronts = self.gateways(GATEWAYS)
        self.rows = []

    def send(self, number, tokens):
        """Send a request and record its size and whether it was served."""
        front = self.fronts[number % GATEWAYS]
        connection = http.client.HTTPConnection(front, timeout=10)
        try:
            connection.request(
                "POST",
                "/chat/x",
                b"x",
                {
                    "Host": gateway_base.HOST,
                    "Attempt-Id": f"a{number}",
                    "Model": "m",
                    "Token-Usage": f"{tokens},1",
                    "Prompt-Prefix": f"{number:x}:{tokens}",
                    "Deadline-Ms": str(DEADLINE_MS),
                },
            )
            answer = connection.getresponse()
            is_served = answer.status == 200 and bool(answer.read())
        except OSError:
            is_served = False
        finally:
            connection.close()
        self.rows.append((tokens, is_served))

    def send_all(self, load, seed):
        """Send requests at random times."""
        rng = random.Random(seed)
        mean_ms = sum(
            engine_time.prefill_ms(draw_tokens(rng), 0) for _ in range(2_000)
        )
        per_second = load * PREFILL_ENGINES * 2_000 * 1_000 / mean_ms
        threads = []
        end = time.monotonic() + SECONDS
        due = time.monotonic()
        while due < end:
            time.sleep(max(0.0, due - time.monotonic()))
            row = len(threads), draw_tokens(rng)
            threads.append(threading.Thread(target=self.send, args=row))
            threads[-1].start()
            due += rng.expovariate(per_second)
        for thread in threads:
            thread.join()

    def shares(self):
        """Return how often all, the largest tenth and the next fifth are."""
        rows = sorted(self.rows, reverse=True)
        count = len(rows)
        parts = collections.OrderedDict(
            all=rows,
            largest=rows[: count // 10],
            below=rows[count // 10 : 3 * count // 10],
        )
        return {
            name: sum(served for _, served in part) / len(part)
            for name, part in parts.items()
        }

    def test_large_requests_are_served_half_as_often_as_all(self):
        # Guards against refusals that hit the larger sizes of a kind alone.
        self.send_all(LOAD, 66)
        shares = self.shares()
        wanted = MIN_SHARE * shares["all"]
        self.assertGreater(shares["all"], 0.25, shares)
        self.assertGreaterEqual(shares["below"], wanted, shares)
        self.assertGreaterEqual(shares["largest"], wanted, shares)
