"""Endpoints that send bytes without end which are no answer."""

import itertools
import time

import httpx

from standins import scripted
from tests.integration import base
from tests.integration import gateway_base
from tests.integration import test_gateway_streams

route = gateway_base.route

REQUESTS = 8
PIECE = 4_096
# Far less than the time limit of the routes.
MAX_SECONDS = 2.0
# What the gateway reads of one answer, and what the system buffers of it.
MAX_BYTES = 24_000_000
MAX_PASSED_ON_BYTES = 200_000


def forever(piece):
    """Yield the same bytes without end."""
    return itertools.repeat(piece)


def garbage(_request):
    """Send no status line."""
    yield from forever(b"x" * PIECE)


def endless_header_line(_request):
    """Send one header line without an end."""
    yield b"HTTP/1.1 200 OK\r\nX-Long: "
    yield from forever(b"x" * PIECE)


def endless_headers(_request):
    """Send headers without end."""
    yield b"HTTP/1.1 200 OK\r\n"
    yield from forever(b"X-Header: value\r\n" * 100)


def endless_interim_answers(_request):
    """Send interim answers and never a final one."""
    yield from forever(b"HTTP/1.1 103 Early Hints\r\n\r\n" * 50)


def slow_interim_answers(_request):
    """Send an interim answer now and then, and never a final one."""
    for _ in itertools.count():
        yield b"HTTP/1.1 103 Early Hints\r\n\r\n"
        yield 0.02


def endless_other_answers(request):
    """Send answers to another request, and never the one to this."""
    other = scripted.answer(request).replace(
        request.header_by_name["attempt-id"].encode(), b"other"
    )
    yield from forever(other * 20)


def endless_chunk_size(request):
    """Send the size of a chunk without an end."""
    yield scripted.stream_head(request)
    yield from forever(b"0" * PIECE)


def endless_body(request):
    """Send a body of no length."""
    head = scripted.stream_head(request)
    yield head.replace(b"Transfer-Encoding: chunked\r\n", b"")
    yield from forever(b"x" * PIECE)


def endless_event(request):
    """Send one event without an end."""
    yield scripted.stream_head(request)
    yield from forever(scripted.chunk(b"x" * PIECE))


def endless_comments(request):
    """Send comments between events that never come."""
    yield scripted.stream_head(request)
    yield from forever(scripted.chunk(b": ping\n\n" * 500))


def endless_unnumbered_events(request):
    """Send events without a number."""
    yield scripted.stream_head(request)
    yield from forever(scripted.chunk(b"data: x\n\n" * 500))


class EndlessAnswers(gateway_base.GatewayCase):
    """Two endpoints of each service, of which one never ends an answer."""

    def setUp(self):
        """Publish a route of calls and one of streams."""
        super().setUp()
        self.sent = 0
        self.publish(
            route("look", "app", "safe"),
            route("chat", "model", "stream", resumable=True),
        )

    def _script(self, respond):
        def script(endpoint, request):
            if "attempt-id" not in request.header_by_name:
                yield scripted.answer(request, b"", 404)
                return
            for step in respond(request):
                if isinstance(step, bytes):
                    self.sent += len(step)
                yield step

        return script

    def ask_all(self, path):
        """Send some requests at once; return their answers."""

        def ask(number):
            headers = {}
            if path == "/chat/x":
                headers = test_gateway_streams.MODEL_HEADERS
            began = time.monotonic()
            try:
                answer = self.ask(
                    self.front,
                    path,
                    f"a{number}",
                    content=f"b{number}".encode(),
                    **headers,
                )
            except httpx.HTTPError:
                answer = None
            return answer, time.monotonic() - began

        pending = base.Background(ask, [(n,) for n in range(REQUESTS)])
        return [result for _, result in pending.join()]

    def check(self, answers):
        """Check that all were served in time, and few bytes read."""
        for answer, seconds in answers:
            self.assertIsNotNone(answer)
            self.assertEqual(answer.status_code, 200)
            self.assertLess(seconds, MAX_SECONDS)
        self.assertLess(self.sent, MAX_BYTES * REQUESTS)
        # The endpoint stops to send only if its connections are closed.
        before = self.sent
        time.sleep(0.2)
        self.assertEqual(self.sent, before)

    def check_calls(self, respond):
        """Check calls beside an endpoint that answers so."""
        self.endpoint("a", self._script(respond))
        self.endpoint("b", lambda _endpoint, r: iter([scripted.answer(r)]))
        self.front = self.gateway(budget_slack=400)
        answers = self.ask_all("/look/x")
        self.check(answers)
        self.assertGreater(self.sent, 0)

    def check_streams(self, respond):
        """Check streams beside an engine that answers so."""
        self.engine("a", self._script(respond))
        self.engine("b", self._script_of_sound_engine())
        self.front = self.gateway(budget_slack=400)
        answers = self.ask_all("/chat/x")
        self.check(answers)
        self.assertGreater(self.sent, 0)
        for answer, _ in answers:
            numbers = test_gateway_streams.positions(answer.content)
            self.assertEqual(numbers, [1, 2, 3, 4, 5])
            self.assertLess(len(answer.content), MAX_PASSED_ON_BYTES)

    def _script_of_sound_engine(self):
        def script(endpoint, request):
            if "attempt-id" not in request.header_by_name:
                yield scripted.answer(request, b"", 404)
                return
            yield from test_gateway_streams.resume_stream(endpoint, request)

        return script

    def test_no_status_line(self):
        # Guards against reading bytes that never become an answer.
        self.check_calls(garbage)

    def test_a_header_line_without_end(self):
        # Guards against reading bytes that never become an answer.
        self.check_calls(endless_header_line)

    def test_headers_without_end(self):
        # Guards against reading bytes that never become an answer.
        self.check_calls(endless_headers)

    def test_interim_answers_without_end(self):
        # Guards against interim answers that count as signs of life.
        self.check_calls(endless_interim_answers)

    def test_slow_interim_answers_without_end(self):
        # Guards against interim answers that count as signs of life.
        self.check_calls(slow_interim_answers)

    def test_answers_to_another_request_without_end(self):
        # Guards against dropping late answers for ever.
        self.check_calls(endless_other_answers)

    def test_a_body_without_end(self):
        # Guards against buffering a body of no length.
        self.check_calls(endless_body)

    def test_interim_answers_without_end_to_a_stream(self):
        # Guards against interim answers that count as signs of life.
        self.check_streams(endless_interim_answers)

    def test_a_chunk_size_without_end(self):
        # Guards against reading bytes that never become an answer.
        self.check_streams(endless_chunk_size)

    def test_an_event_without_end(self):
        # Guards against buffering an event that never ends.
        self.check_streams(endless_event)

    def test_a_stream_body_without_length_or_end(self):
        # Guards against buffering an event that never ends.
        self.check_streams(endless_body)

    def test_comments_without_end(self):
        # Guards against passing on a stream that holds no event.
        self.check_streams(endless_comments)

    def test_unnumbered_events_without_end(self):
        # Guards against passing on events that resume nothing.
        self.check_streams(endless_unnumbered_events)
