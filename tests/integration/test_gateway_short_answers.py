"""Endpoints that stop within their answer, on a gateway's way to callers."""

import json
import types

import httpx

from standins import scripted
from tests.integration import gateway_base
from tests.integration import test_gateway_streams as streams

route = gateway_base.route

GATEWAYS = 3
CUT = "gateway-1"
BODY = b"a whole body"
STEP = 6
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
ENDS = (scripted.CLOSE, scripted.RESET)


class ShortAnswers(gateway_base.GatewayCase):
    """Every answer but some ends after a number of bytes.

    The request's query names the bytes and the end.
    """

    has_egress = True

    def setUp(self):
        """Start an endpoint of each service; each cut costs no other."""
        super().setUp()
        self.publish(
            route("look", "app", "safe", max_attempts=1),
            route("book", "app", "unsafe", max_attempts=1),
            route("chat", "model", "stream", max_attempts=1),
        )
        self.cut_calls = 0
        for number in range(2):
            self.endpoint(f"app-{number}", self._call)
            self.engine(f"engine-{number}", self._stream)
        self.fronts = self.gateways(GATEWAYS, budget_slack=1_000)

    def _call(self, _endpoint, request):
        yield from self._play(request, [scripted.answer(request, BODY)])

    def _stream(self, _endpoint, request):
        yield from self._play(
            request, list(streams.whole_stream(request, range(1, 4)))
        )

    def _play(self, request, steps):
        _, _, query = request.target.partition("?")
        if "attempt-id" not in request.header_by_name:
            yield scripted.answer(request, b"", 404)
            return
        if not query:
            yield from steps
            return
        kind, size, end = query.split("-")
        whole = b"".join(steps)
        if kind == "interim":
            whole = INTERIM + whole
        self.cut_calls += 1
        yield whole[: int(size)]
        yield ENDS[int(end)]

    def check(self, path, front, sizes, kinds=("plain", "interim")):
        """Check each cut at a gateway; a good call goes before each."""
        taken = []
        headers = streams.MODEL_HEADERS if path == "/chat/x" else {}
        calls = 0
        self.cut_calls = 0
        for kind in kinds:
            for size in sizes:
                for end in range(len(ENDS)):
                    self._ask_good(front, path, headers)
                    calls += 1
                    answer = self._ask_cut(
                        front, f"{path}?{kind}-{size}-{end}", headers
                    )
                    if answer is not None and answer.is_success:
                        taken.append((kind, size, end, answer.content))
        self.assertEqual(taken, [])
        # Refusals without a send would show nothing.
        self.assertGreater(self.cut_calls, calls / 2)

    def _ask_good(self, front, path, headers):
        """Leave a connection to an endpoint that is used again."""
        answer = self.ask(front, path, **headers)
        if answer.status_code == 200 and path != "/chat/x":
            self.assertEqual(answer.content, BODY)

    def _ask_cut(self, front, path, headers):
        """Return the answer, ``None`` if the connection was closed."""
        try:
            return self.ask(front, path, content=path.encode(), **headers)
        except httpx.TransportError:
            return None

    def sizes(self, path):
        """Return the sizes at which an answer's parts are cut."""
        request = types.SimpleNamespace(header_by_name={"attempt-id": "a1"})
        if path == "/chat/x":
            whole = b"".join(streams.whole_stream(request, range(1, 4)))
        else:
            whole = scripted.answer(request, BODY)
        return range(0, len(whole), STEP)

    def test_safe_calls(self):
        # Guards against a success whose body is empty or short.
        self.check("/look/x", self.fronts[0], self.sizes("/look/x"))

    def test_unsafe_calls(self):
        # Guards against a booking that is confirmed by a part of an answer.
        self.check("/book/x", self.fronts[0], self.sizes("/book/x"))

    def test_streams(self):
        # Guards against a stream that ends as whole before its last event.
        self.check("/chat/x", self.fronts[0], self.sizes("/chat/x"))

    def test_calls_by_way_of_another_gateway(self):
        # Guards against a tunnel whose end looks like that of the answer.
        self.cut(CUT, "refuse")
        for path in ("/look/x", "/chat/x"):
            sizes = self.sizes(path)[::3]
            self.check(path, self.fronts[0], sizes, kinds=("plain",))
        lines = self.dep.log_of(CUT).count("sent through another gateway")
        self.assertGreater(lines, len(sizes))


class ShortHandles(gateway_base.GatewayCase):
    """Prefill engines that stop within the answer with their handle."""

    def test_a_handle_that_stops_early_isnt_used(self):
        # Guards against a stream that goes on from a part of a handle.
        self.publish(route("chat", "model", "stream", max_attempts=2))
        handles = []
        prefills = []
        cut = 0

        def prefill(_endpoint, request):
            if request.header_by_name.get("stage") != "prefill":
                yield scripted.answer(request, b"", 404)
                return
            prefills.append(cut)
            result = {"cache_handle": "h1", "token_count": 1, "version": 1}
            yield scripted.answer(request, json.dumps(result).encode())[:cut]
            yield ENDS[cut % 2]

        def decode(_endpoint, request):
            if "attempt-id" not in request.header_by_name:
                yield scripted.answer(request, b"", 404)
                return
            handles.append(request.header_by_name.get("kv-source"))
            yield from streams.whole_stream(request, range(1, 6))

        cuts = range(0, 130, 7)
        for number in range(len(cuts)):
            # An engine that failed gets no prompt for a while.
            self.engine(f"prefill-{number}", prefill, "prefill")
        self.engine("decode", decode)
        front = self.gateway()
        # Short prompts are read by the engine that decodes.
        headers = dict(streams.MODEL_HEADERS, Token_Usage="30000,20")
        for cut in cuts:
            answer = self.ask(
                front,
                "/chat/x",
                f"a{cut}",
                content=f"a{cut}".encode(),
                **headers,
            )
            if answer.is_success:
                found = streams.positions(answer.content)
                self.assertEqual(found, [1, 2, 3, 4, 5])
        self.assertEqual({*handles} - {None}, set())
        self.assertTrue(handles)
        self.assertEqual({*prefills}, {*cuts})
