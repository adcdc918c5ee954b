"""Second answers that come late, where the next answer is expected."""

import threading
import time

from standins import scripted
from tests.integration import gateway_base

REQUESTS = 40
REFUSAL = (
    b"HTTP/1.1 429 X\r\nContent-Length: 0\r\nNot-Executed: 1\r\n"
    b"Keep-Alive: timeout=30\r\n\r\n"
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
        engine._tell_cache = self._refuse_twice
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

    def _refuse_twice(self, _request):
        """Refuse a call for the cache; the second copy comes later."""
        self.refusals += 1
        self.connection.owes_copy = True
        return REFUSAL

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
