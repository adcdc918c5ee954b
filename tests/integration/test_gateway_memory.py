"""The memory of a gateway whose callers read nothing, and of engines."""

import concurrent.futures
import contextlib
import itertools
import socket
import threading
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import gateway_base

CALLERS = 200
PIECE = b"x" * 16_000
LARGE_BODY = b"x" * 6_000_000
# Most of a measured answer is this time, so that the noise of a busy machine
# does not decide.
ANSWER_SECONDS = 0.1
MEASURED_CALLS = 120
CONNECT_SECONDS = 0.005
PARALLEL_CALLS = 8
MAX_P99_RATIO = 1.2
MAX_ROUNDS = 3
# The engine has stopped sending if it sent nothing for this time.
STILL_SECONDS = 0.4
# While the callers don't read; several answers have been dropped then.
HOLD_SECONDS = 2.0
# Large answers come and are dropped all the time, which delays others.
MAX_SECONDS = 2.0
# Until gateways have told each other what they have at engines.
REPORT_SECONDS = 1.0
REFUSED = 429
# As large as the configuration allows; so many of one service fit.
SENT_BYTES = 4_000_000
SENT = 14
FITTING = 9
SEND_SECONDS = 0.2
MAX_WAIT_SECONDS = 15
# Answers of 4 MB each, which exceed the limit together.
ENDLESS = 90
PIECES = 256
PIECE_SECONDS = 0.008
MAX_ENDLESS_MB = 200
CHUNKED_BYTES = 4_000_000
CHUNK_SECONDS = 0.01
# A caller takes 4 s for such an answer.
READ_BYTES = 50_000
READ_SECONDS = 0.05
SLOW_CALLERS = 12
BURST = 60


class UnreadAnswers(gateway_base.GatewayCase):
    """One gateway, with a service and an engine that send a lot."""

    def setUp(self):
        """Start a gateway and what it relays to."""
        super().setUp()
        self.sent_bytes = 0
        self.endpoint("app-1", self.answer)
        self.endpoint(
            "model-1", self.stream, "model", stage="decode", slot_count=1_000
        )
        self.publish(
            gateway_base.route("app", "app", "unsafe", timeout_ms=20_000),
            gateway_base.route("model", "model", "stream", timeout_ms=20_000),
        )
        self.front = self.gateway()

    def answer(self, _endpoint, request):
        """Answer a call, to some paths with many bytes."""
        if request.target.endswith("large"):
            yield scripted.answer(request, LARGE_BODY)
        else:
            yield ANSWER_SECONDS
            yield scripted.answer(request)

    def stream(self, _endpoint, request):
        """Send events without end."""
        yield scripted.stream_head(request)
        for number in itertools.count(1):
            event = b"id: %d\ndata: %s\n\n" % (number, PIECE)
            yield scripted.chunk(event)
            self.sent_bytes += len(event)

    def call_without_reading(self, path, count):
        """Send requests on connections of their own and read nothing."""
        host, _, port = self.front.rpartition(":")
        for number in range(count):
            # The stand-in accepts a connection only so often.
            time.sleep(CONNECT_SECONDS)
            caller = socket.socket()
            self.addCleanup(caller.close)
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            caller.connect((host, int(port)))
            caller.sendall(
                f"POST {path} HTTP/1.1\r\nHost: {gateway_base.HOST}\r\n"
                f"Attempt-Id: unread-{number}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )

    def p99(self, count=MEASURED_CALLS):
        """Return the 99th percentile of ordinary calls, in seconds."""
        with httpx.Client(trust_env=False, verify=False, timeout=10) as http:

            def call(number):
                begun = time.monotonic()
                answer = http.post(
                    f"http://{self.front}/app/small",
                    headers={
                        "Host": gateway_base.HOST,
                        "Attempt-Id": f"call-{number}",
                    },
                )
                self.assertEqual(answer.status_code, 200)
                return time.monotonic() - begun

            with concurrent.futures.ThreadPoolExecutor(PARALLEL_CALLS) as pool:
                took = sorted(pool.map(call, range(count)))
        return took[int(0.99 * len(took))]

    def wait_until_reading_stops(self):
        """Wait until the engine can send nothing more."""
        seen = []

        def is_over():
            seen.append(self.sent_bytes)
            time.sleep(STILL_SECONDS)
            return self.sent_bytes == seen[-1] > 0

        bringup.wait_until(is_over, seconds=6, what="backpressure")

    def test_streams_that_nobody_reads(self):
        # Guards against a relay that reads on from the engine and keeps what
        # its callers don't read, in the process or in the system's buffers.
        self.p99(PARALLEL_CALLS)
        before = min(self.p99() for _ in range(2))
        self.call_without_reading("/model/long", CALLERS)
        self.wait_until_reading_stops()
        # What else runs on the machine delays some rounds and not all.
        for _ in range(MAX_ROUNDS):
            during = self.p99()
            if during <= MAX_P99_RATIO * before:
                break
        self.assertLess(self.peak_mb(), gateway_base.MEMORY_MB)
        self.assertLessEqual(during, MAX_P99_RATIO * before)

    def test_answers_that_nobody_reads(self):
        # Guards against a gateway that holds a whole answer for each caller:
        # they add up to four times its memory.
        self.call_without_reading("/app/large", CALLERS)
        time.sleep(HOLD_SECONDS)
        self.assertLess(self.peak_mb(), gateway_base.MEMORY_MB)
        self.assertLess(self.p99(), MAX_SECONDS)


class EndlessAnswers(gateway_base.GatewayCase):
    """A gateway whose endpoints send bytes without end that are no answer.

    The bytes come slowly enough that all answers are read at the same time.
    """

    def setUp(self):
        """Start a gateway, such an endpoint and a sound engine."""
        super().setUp()
        self.respond = None
        self.endpoint("app-1", self.script, slot_count=1_000)
        self.engine("model-1", sound_stream)
        self.publish(
            gateway_base.route("model", "model", "stream"),
            gateway_base.route("app", "app", "unsafe", timeout_ms=9_000),
            gateway_base.route("look", "app", "safe", timeout_ms=9_000),
        )
        self.front = self.gateway(budget_slack=1_000)

    def script(self, _endpoint, request):
        """Send the head of an answer and then bytes without end."""
        if "attempt-id" not in request.header_by_name:
            yield scripted.answer(request, b"", 404)
            return
        head, piece = self.respond(request)
        yield head
        for _ in range(PIECES):
            yield piece
            yield PIECE_SECONDS
        yield scripted.CLOSE

    def check(self, path, respond):
        """Check the memory while requests to ``path`` are answered so."""
        self.respond = respond

        def ask(number):
            with contextlib.suppress(httpx.HTTPError):
                with httpx.stream(
                    "POST",
                    f"http://{self.front}{path}",
                    headers={
                        "Host": gateway_base.HOST,
                        "Attempt-Id": f"e{number}",
                    },
                    timeout=15,
                    trust_env=False,
                ) as answer:
                    for _ in answer.iter_raw():
                        pass

        with concurrent.futures.ThreadPoolExecutor(ENDLESS) as pool:
            asked = [pool.submit(ask, number) for number in range(ENDLESS)]
            statuses = []
            while not all(each.done() for each in asked):
                answer = self.ask(
                    self.front,
                    "/model/x",
                    f"m{len(statuses)}",
                    Model="m",
                    Token_Usage="100,20",
                )
                statuses.append(answer.status_code)
                time.sleep(ANSWER_SECONDS)
        self.assertLess(self.peak_mb(), MAX_ENDLESS_MB)
        # Sound calls are served meanwhile.
        self.assertGreater(len(statuses), 3)
        self.assertEqual(set(statuses), {200})

    def test_a_success_without_a_length(self):
        # Guards against a gateway that is killed for its memory since it
        # keeps whole answers that it could pass on.
        self.check("/app/x", success)

    def test_an_error_without_a_length(self):
        # Guards against errors that are kept whole to be passed on later.
        self.check("/look/x", error)

    def test_a_refusal_without_a_length(self):
        # Guards against refusals whose bodies are kept though nobody gets
        # them.
        self.check("/app/x", refusal)

    def test_an_answer_to_another_request(self):
        # Guards against late second answers that are kept to be dropped.
        self.check("/app/x", other_answer)


def sound_stream(_endpoint, request):
    """Stream one event."""
    yield scripted.stream_head(request)
    yield scripted.chunk(scripted.event(1))
    yield scripted.chunk(b"")


def unframed(request, status, **more):
    """Return the head of an answer that ends with its connection."""
    whole = scripted.answer(request, b"", status, **more)
    return whole.replace(b"Content-Length: 0\r\n", b""), PIECE


def success(request):
    """Return a success."""
    return unframed(request, 200)


def error(request):
    """Return a failure."""
    return unframed(request, 500)


def refusal(request):
    """Return a refusal."""
    return unframed(request, 503, Not_Executed="1")


def other_answer(request):
    """Return an answer to another request."""
    head, piece = success(request)
    attempt = request.header_by_name["attempt-id"].encode()
    return head.replace(attempt, b"other"), piece


class SlowCallers(gateway_base.GatewayCase):
    """A service that sends large answers in chunks."""

    def setUp(self):
        """Start the service and a gateway."""
        super().setUp()
        self.endpoint("app-1", self.answer, slot_count=1_000)
        self.publish(
            gateway_base.route("app", "app", "unsafe", timeout_ms=20_000)
        )
        self.front = self.gateway()

    def answer(self, _endpoint, request):
        """Send a large answer at once, or slowly."""
        yield scripted.stream_head(request)
        for _ in range(CHUNKED_BYTES // len(PIECE)):
            yield scripted.chunk(PIECE)
            if request.target.endswith("slow"):
                time.sleep(CHUNK_SECONDS)
        yield scripted.chunk(b"")

    def read(self, number, path, pause):
        """Return how many bytes of an answer come; read it with pauses."""
        size = 0
        with httpx.stream(
            "POST",
            f"http://{self.front}{path}",
            headers={
                "Host": gateway_base.HOST,
                "Attempt-Id": f"s{number}",
            },
            timeout=20,
            trust_env=False,
        ) as answer:
            for part in answer.iter_raw(READ_BYTES):
                size += len(part)
                time.sleep(pause)
        return size

    def sizes(self, count, path, pause=0.0):
        """Return the sizes of answers that are asked for at once."""
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            return list(
                pool.map(lambda n: self.read(n, path, pause), range(count))
            )

    def test_callers_that_read_slowly_get_whole_answers(self):
        # Guards against callers that are closed while they read, though
        # their service has sent all.
        sizes = self.sizes(SLOW_CALLERS, "/app/large", READ_SECONDS)
        self.assertEqual(set(sizes), {CHUNKED_BYTES})

    def test_answers_that_come_slowly_do_not_add_up(self):
        # Guards against a gateway that is killed for its memory in a burst.
        sizes = self.sizes(BURST, "/app/slow")
        self.assertEqual(set(sizes), {CHUNKED_BYTES})
        self.assertLess(self.peak_mb(), MAX_ENDLESS_MB)


class EngineMemory(gateway_base.GatewayCase):
    """Two gateways and an engine for one stream of so many tokens."""

    def setUp(self):
        """Start an engine that sends an event and ends when told to."""
        super().setUp()
        self.begun = threading.Event()
        self.may_end = threading.Event()
        self.addCleanup(self.may_end.set)
        self.engine("model-1", self.stream)
        self.publish(
            gateway_base.route("model", "model", "stream", timeout_ms=9_000)
        )

    def stream(self, _endpoint, request):
        """Send one event, and the end when told to."""
        # Only engines that tell their pace crash by a lack of memory.
        yield scripted.stream_head(request, Server_Load="1,0,16,100")
        yield scripted.chunk(scripted.event(1))
        self.begun.set()
        self.may_end.wait(8)
        yield scripted.chunk(b"")

    def status(self, front, attempt):
        """Return the status of a stream that needs most of the memory."""
        share = int(0.6 * gateway_base.ENGINE["kv_capacity"])
        answer = self.ask(
            front,
            "/model/x",
            attempt,
            Model="m",
            Token_Usage=f"100,{share}",
            Prompt_Prefix="aa:40,bb:40,cc:20",
            Deadline_Ms="9000",
        )
        return answer.status_code

    def test_requests_of_two_gateways_fit_an_engine(self):
        # Guards against an engine that crashes, with all its streams, by what
        # gateways send it together.
        fronts = self.gateways(2)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(self.status, fronts[0], "a1")
            self.assertTrue(self.begun.wait(5))
            self.assertEqual(self.status(fronts[0], "a2"), REFUSED)
            time.sleep(REPORT_SECONDS)
            self.assertEqual(self.status(fronts[1], "a3"), REFUSED)
            self.may_end.set()
            self.assertEqual(first.result(), 200)
        for number, front in enumerate(fronts):
            bringup.wait_until(
                lambda front=front, number=number: (
                    self.status(front, f"b{number}") == 200
                ),
                seconds=2,
                what="room at the engine",
            )


class SlowEndpoints(gateway_base.GatewayCase):
    """A gateway before an endpoint that is slow with large requests."""

    def setUp(self):
        """Start an endpoint that keeps large requests until told to answer."""
        super().setUp()
        self.may_answer = threading.Event()
        self.addCleanup(self.may_answer.set)
        self.endpoint("app-1", self.answer)
        self.publish(
            gateway_base.route("app", "app", "unsafe", timeout_ms=20_000)
        )
        self.front = self.gateway()

    def answer(self, _endpoint, request):
        """Answer small requests at once."""
        if request.target.endswith("large"):
            self.may_answer.wait(MAX_WAIT_SECONDS)
        yield scripted.answer(request)

    def send(self, number):
        """Return the answer to a large request."""
        return httpx.post(
            f"http://{self.front}/app/large",
            content=bytes(SENT_BYTES),
            headers={
                "Host": gateway_base.HOST,
                "Attempt-Id": f"large-{number}",
            },
            timeout=MAX_WAIT_SECONDS,
            trust_env=False,
        )

    def test_slow_endpoints_leave_room_for_other_requests(self):
        # Guards against a gateway that is killed for its memory, with all its
        # requests, since it keeps every large one until it is answered.
        sent = []
        with concurrent.futures.ThreadPoolExecutor(SENT) as pool:
            for number in range(SENT):
                sent.append(pool.submit(self.send, number))
                # What is still coming counts against another bound.
                time.sleep(SEND_SECONDS)
            try:
                done = [f for f in sent if f.done()]
                status = self.ask(self.front, "/app/small", "s").status_code
            finally:
                self.may_answer.set()
        refused = [f.result() for f in sent if f.result().status_code != 200]
        self.assertEqual((len(done), len(refused)), (SENT - FITTING,) * 2)
        self.assertEqual(status, 200)
        for answer in refused:
            self.assertEqual(answer.status_code, 503)
            self.assertEqual(answer.json()["code"], "no_room")
            self.assertGreater(float(answer.headers["Retry-After"]), 0)
