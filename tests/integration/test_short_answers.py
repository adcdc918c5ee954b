"""Endpoints that stop within their answer to an entry."""

import httpx

from standins import bringup
from standins import scripted
from tests.integration import base

WHOLE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b'Content-Length: 13\r\n\r\n{"by": "app"}'
)
BODY = b'{"by": "app"}'
STEP = 4
ENDS = (scripted.CLOSE, scripted.RESET)


class ShortAnswersTest(base.DeploymentCase):
    """One entry, and a service whose answers end after some bytes."""

    def setUp(self):
        """Start the service and the entry."""
        endpoint = scripted.Endpoint(self._script)
        self.addCleanup(endpoint.close)
        self.cut_calls = 0

        def prepare(dep):
            dep.engine("engine-1", "a")
            dep.fleet["endpoint"]["app"] = {
                "address": endpoint.address,
                "data_centre": "a",
                "kind": "service",
                "serves": [bringup.SERVICE],
            }

        self.bring_up(1, 1, prepare)

    def _script(self, _endpoint, request):
        if not request.target.startswith("/call"):
            yield scripted.answer(request, b"{}")
        elif request.body == b"whole":
            yield WHOLE
        else:
            size, end = request.body.split()
            self.cut_calls += 1
            yield WHOLE[: int(size)]
            yield ENDS[int(end)]

    def check(self, name):
        """Check each cut, with a good call before it."""
        url = f"{self.url()}/services/{bringup.SERVICE}/{name}"
        taken = []
        calls = 0
        for size in range(0, len(WHOLE), STEP):
            for end in range(len(ENDS)):
                key = {"Idempotency-Key": f"{name}-{size}-{end}"}
                good = httpx.post(
                    url,
                    content=b"whole",
                    headers={"Idempotency-Key": f"good-{size}-{end}"},
                    timeout=10,
                )
                if good.is_success:
                    self.assertEqual(good.content, BODY)
                calls += 1
                try:
                    answer = httpx.post(
                        url,
                        content=b"%d %d" % (size, end),
                        headers=key,
                        timeout=10,
                    )
                except httpx.TransportError:
                    continue
                if answer.is_success:
                    taken.append((size, end, answer.content))
        self.assertEqual(taken, [])
        self.assertGreater(self.cut_calls, calls / 2)

    def test_bookings(self):
        # Guards against a booking that is confirmed by a part of an answer.
        self.check("book")
