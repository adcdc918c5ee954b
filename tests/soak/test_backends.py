"""What the soak's endpoints answer while they rest, leave or are silent."""

import time

import httpx

from bench.soak import backends
from tests.soak import base


class BackendCase(base.HistoryCase):
    """A plain endpoint and an engine, called without a gateway."""

    def setUp(self):
        """Start both."""
        super().setUp()
        self.service = self.start("app-0", "app")
        self.engine = self.start("engine-0", "model", "decode")

    def start(self, name, service, stage=None):
        """Start an endpoint without a record."""
        backend = backends.Backend(
            name, service, self.history, lambda *_: None, stage
        )
        self.addCleanup(backend.end)
        return backend

    def ask(self, backend, attempt="a", path="/x", **headers):
        """Send a request to an endpoint."""
        named = {
            "Attempt-Id": attempt,
            "Expect-Instance": backend.name,
            "Token-Usage": backends.token_usage(3),
        }
        named.update(headers)
        return httpx.post(
            f"http://{backend.endpoint.address}{path}",
            headers=named,
            json={"stage": "decode", "holder_id": "h", "fencing_token": 1},
            trust_env=False,
        )

    def test_a_resting_endpoint_refuses_runs_prefills_and_calls(self):
        for backend, headers in (
            (self.service, {}),
            (self.engine, {}),
            (self.engine, {"Stage": "prefill"}),
        ):
            with self.subTest(backend.name, **headers):
                backend.rest(30, 1.5)
                answer = self.ask(backend, **headers)
                self.assertEqual(answer.status_code, 503)
                self.assertEqual(answer.headers["retry-after"], "1.5")
                self.assertIn("not-executed", answer.headers)
        self.assertEqual(len(self.history.arrivals), 3)
        self.assertEqual(len(self.history.rest_requests), 3)
        self.assertEqual(self.history.runs, [])

    def test_an_endpoint_works_again_after_its_rest(self):
        self.service.rest(0, 3)
        self.assertEqual(self.ask(self.service).status_code, 200)

    def test_all_answers_say_that_an_endpoint_leaves(self):
        self.assertNotIn("server-leaving", self.ask(self.engine).headers)
        for backend in (self.service, self.engine):
            backend.announce_leaving()
        answers = [
            self.ask(self.service),
            self.ask(self.engine),
            self.ask(self.engine, **{"Stage": "prefill"}),
            self.ask(self.engine, **{"Expect-Instance": "other"}),
            self.ask(self.engine, path="/report"),
            self.ask(self.engine, path="/order"),
            self.ask(self.engine, path="/kv-handle/h1"),
        ]
        self.engine.rest(30, 1)
        answers.append(self.ask(self.engine))
        for answer in answers:
            with self.subTest(answer):
                self.assertEqual(answer.headers["server-leaving"], "1")
        statuses = [answer.status_code for answer in answers]
        self.assertEqual(statuses, [200, 200, 421, 421, 200, 409, 200, 503])
        self.assertEqual(len(self.history.leave_notices), 2)

    def test_a_silent_endpoint_continues(self):
        start = time.monotonic()
        self.service.fall_silent(0.3)
        self.assertEqual(self.ask(self.service).status_code, 200)
        self.assertGreaterEqual(time.monotonic() - start, 0.3)

    def test_a_rest_begins_when_the_silence_ends(self):
        # Guards against blame for requests that came before the refusal.
        start = time.monotonic()
        self.service.fall_silent(0.3)
        self.service.rest(30, 1)
        self.assertEqual(self.ask(self.service).status_code, 503)
        self.assertGreaterEqual(self.history.rest_requests[0].at, start + 0.3)
