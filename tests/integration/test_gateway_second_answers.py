"""Second answers that come late, where the next answer is expected."""

import collections
import threading
import time

import httpx

from standins import scripted
from tests.integration import base
from tests.integration import gateway_base

REQUESTS = 40
CALLERS = 6
SECONDS_OF_STREAMS = 7.0
MIN_ANSWERED = 200
RUN_SECONDS = 0.005
CACHE_CALL_SECONDS = 0.1
REFUSAL = (
    b"HTTP/1.1 429 X\r\nContent-Length: 0\r\nNot-Executed: 1\r\n"
    b"Keep-Alive: timeout=30\r\n\r\n"
)
ERROR = (
    b"HTTP/1.1 500 X\r\nContent-Length: 0\r\nKeep-Alive: timeout=30\r\n\r\n"
)


class SecondAnswers(gateway_base.GatewayCase):
    """An engine that answers the gateway's own calls twice."""

    def test_a_second_refusal_of_an_own_call_refuses_no_request(self):
        # Guards against an error without an attempt id that is taken for the
        # answer to the request sent last, which runs all the same.
        self.publish(
            gateway_base.route("chat", "model", "stream", max_attempts=1)
        )
        self.ran = []
        self.refusals = 0
        # Each connection has a thread.
        self.connection = threading.local()
        engine = self.engine("engine-1", self._script)
        engine.cache_script = self._refuse_twice
        front = self.gateway()
        statuses = {}

        for number in range(REQUESTS):
            attempt = f"a{number}"
            answer = self.ask(
                front,
                "/chat/x",
                attempt,
                Model="m",
                Token_Usage="100,20",
                Prompt_Prefix=f"{number:x}:100",
            )
            statuses[attempt] = answer.status_code
            time.sleep(0.1)
        refused = [a for a, s in statuses.items() if s in (429, 503)]
        self.assertGreater(self.refusals, 1)
        self.assertEqual([a for a in refused if a in self.ran], [])

    def _refuse_twice(self, _engine, _request):
        """Refuse a call for the cache; the second copy comes later."""
        self.refusals += 1
        self.connection.owes_copy = True
        yield REFUSAL

    def _script(self, endpoint, request):
        headers = request.header_by_name
        if "attempt-id" not in headers:
            yield scripted.answer(request, b"{}", 404)
            return
        if getattr(self.connection, "owes_copy", False):
            self.connection.owes_copy = False
            yield REFUSAL
        self.ran.append(headers["attempt-id"])
        yield scripted.stream_head(request)
        yield scripted.chunk(scripted.event(1))
        yield scripted.chunk(b"")


class SecondStreams(gateway_base.GatewayCase):
    """Engines that send a stream again where a cache answer is due."""

    def play(self, cache_answer):
        """Send streams while cache calls are answered so; return statuses."""
        self.cache_answer = cache_answer
        self.publish(
            gateway_base.route("chat", "model", "stream", max_attempts=2)
        )
        self.runs = collections.Counter()
        self.second_answers = 0
        self.refused_calls = 0
        # Each connection has a thread.
        self.connection = threading.local()
        for number in range(3):
            engine = self.engine(f"engine-{number}", self._run)
            engine.kept = {}
            engine.cache_script = self._answer_cache_call
        front = self.gateway(budget_slack=400)
        end = time.monotonic() + SECONDS_OF_STREAMS
        callers = base.Background(
            self._ask_until, [(front, n, end) for n in range(CALLERS)]
        )
        statuses = [s for _, found in callers.join() for s in found]
        self.assertGreater(len(statuses), MIN_ANSWERED)
        self.assertGreater(self.refused_calls, 3)
        return statuses

    def test_a_second_stream_answers_no_cache_call(self):
        # Guards against the refusal of a cache call that is taken for that of
        # the next stream, which then runs at two engines.
        self.play(REFUSAL)
        twice = [a for a, count in self.runs.items() if count > 1]
        self.assertEqual(twice, [])

    def test_the_error_of_a_cache_call_reaches_no_caller(self):
        # Guards against the error of a cache call that a caller gets though
        # its own stream runs.
        statuses = self.play(ERROR)
        self.assertNotIn(500, statuses)

    def _ask_until(self, front, caller, end):
        """Send streams on one connection; return the answers' statuses."""
        statuses = []
        with httpx.Client(timeout=10, trust_env=False) as http:
            while time.monotonic() < end:
                headers = {
                    "Host": gateway_base.HOST,
                    "Attempt-Id": f"c{caller}-{len(statuses)}",
                    "Model": "m",
                    "Token-Usage": "100,20",
                    "Prompt-Prefix": f"{caller:x}:100",
                }
                answer = http.post(f"http://{front}/chat/x", headers=headers)
                statuses.append(answer.status_code)
        return statuses

    def _answer_cache_call(self, engine, request):
        """Refuse a call for changes, after what was sent last."""
        if request.target == "/kv-list":
            yield scripted.answer(
                request, scripted.cache_answer(engine, request)
            )
            return
        second = getattr(self.connection, "last_answer", None)
        if second is not None:
            self.second_answers += 1
            yield second
        time.sleep(CACHE_CALL_SECONDS)
        self.refused_calls += 1
        yield self.cache_answer

    def _run(self, _engine, request):
        if "attempt-id" not in request.header_by_name:
            yield scripted.answer(request, b"{}", 404)
            return
        # Unlike a step, this goes on when the connection is closed.
        time.sleep(RUN_SECONDS)
        self.runs[request.header_by_name["attempt-id"]] += 1
        data = scripted.stream_head(request, Keep_Alive="timeout=30")
        data += scripted.chunk(scripted.event(1)) + scripted.chunk(b"")
        yield data
        self.connection.last_answer = data
