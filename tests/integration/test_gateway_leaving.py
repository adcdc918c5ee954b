"""Endpoints that say in their answers that they leave."""

import time

from standins import bringup
from standins import scripted
from tests.integration import gateway_base
from tests.integration import test_gateway_rest
from tests.integration import test_gateway_streams

route = gateway_base.route
MODEL_HEADERS = test_gateway_streams.MODEL_HEADERS

LEAVING = {"Server_Leaving": "1"}
REQUESTS = 12
# Requests that are under way when the answer arrives may still reach it.
UNDER_WAY_SECONDS = 0.3


def serving(_endpoint, request):
    """Serve each request."""
    yield test_gateway_rest.serve(request)


def leaving(_endpoint, request):
    """Serve each request, and say that the endpoint leaves."""
    yield test_gateway_rest.serve(request, **LEAVING)


def refusing(_endpoint, request):
    """Refuse each request, and say that the endpoint leaves."""
    yield scripted.answer(request, b"", 503, Not_Executed="1", **LEAVING)


class Leaving(gateway_base.GatewayCase):
    """One gateway; the records of all endpoints say that they are ready."""

    def setUp(self):
        """Publish a route of calls and one of streams."""
        super().setUp()
        self.publish(
            route("look", "app", "safe"),
            route("chat", "model", "stream", resumable=True),
        )

    def check_left_alone(self, path, endpoint, **headers):
        """Check that an endpoint gets nothing after its first answers."""
        front = self.gateway()
        self.set_store_mode("silent")
        bringup.wait_until(
            lambda: self.ask(front, path, **headers) and endpoint.requests,
            what="a request at the endpoint that leaves",
        )
        time.sleep(UNDER_WAY_SECONDS)
        before = len(endpoint.requests)
        for number in range(REQUESTS):
            answer = self.ask(front, path, f"a{number}", **headers)
            self.assertEqual(answer.status_code, 200)
        self.assertEqual(len(endpoint.requests), before)

    def test_plain_endpoint_that_leaves_gets_no_new_call(self):
        # Guards against work for an endpoint that ends before it is done.
        endpoint = self.endpoint("one", leaving)
        self.endpoint("two", serving)
        self.check_left_alone("/look/x", endpoint)

    def test_endpoint_that_refuses_and_leaves_gets_no_new_call(self):
        endpoint = self.endpoint("one", refusing)
        self.endpoint("two", serving)
        self.check_left_alone("/look/x", endpoint)

    def test_engine_that_leaves_gets_no_new_stream(self):
        engine = self.engine("one", leaving)
        self.engine("two", serving)
        self.check_left_alone("/chat/x", engine, **MODEL_HEADERS)

    def test_prefill_engine_that_leaves_gets_no_new_prompt(self):
        engine = self.engine("one", leaving, "prefill")
        self.engine("two", serving, "prefill")
        self.engine("three", serving)
        headers = dict(MODEL_HEADERS, Token_Usage="30000,2")
        self.check_left_alone("/chat/x", engine, **headers)

    def test_requests_are_refused_at_once_while_all_engines_leave(self):
        self.engine("one", leaving)
        front = self.gateway()
        self.ask(front, "/chat/x", **MODEL_HEADERS)
        answer = self.ask(front, "/chat/x", "a2", **MODEL_HEADERS)
        self.assertIn(answer.status_code, (429, 503))
        self.assertLess(answer.elapsed.total_seconds(), 0.3)

    def test_endpoint_that_starts_again_under_its_id_gets_work(self):
        # Guards against a new process that is left alone for the old one.
        endpoint = self.endpoint("one", leaving)
        front = self.gateway()
        self.assertEqual(self.ask(front, "/look/x").status_code, 200)
        self.assertEqual(self.ask(front, "/look/x").status_code, 503)
        self.register("one", endpoint.address, born=2_000)
        bringup.wait_until(
            lambda: self.ask(front, "/look/x").status_code == 200,
            seconds=5,
            what="an answer of the new process",
        )
