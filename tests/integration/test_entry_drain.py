"""Requests that a draining entry accepts and refuses."""

import contextlib
import time

import httpx

from standins import bringup
from tests.integration import base
from tests.integration import callers


def slow(dep):
    """Start a service that takes 2 s for each call."""
    dep.service("orders-1", "a", options=("--delay-ms=2000",))


class EntryDrainTest(base.DeploymentCase):
    """A drain that is shorter than the deadlines of some classes."""

    def setUp(self):
        """Start two entries; the second one drains for 4 s at most."""
        limits = {"keep_addresses_ms": 2_500, "drain_ms": 4_000}
        self.bring_up(2, 1, prepare=self.prepare, entry_2={"limits": limits})

    def prepare(self, dep):
        """Add endpoints, and classes whose deadlines fit into the drain."""
        dep.engine("engine-1", "a", options=("--gap-ms=20",))
        dep.service("orders-1", "a")
        dep.classes(
            short={
                "kind": "model",
                "first_ms": 1_000,
                "gap_ms": 200,
                # Short enough to be refused before the entry may exit.
                "deadline_ms": 2_000,
            },
            quick={
                "kind": "service",
                "first_ms": 500,
                "deadline_ms": 1_500,
            },
        )

    def drain(self):
        """Send SIGTERM to entry-2 and wait until it drains."""
        self.dep.terminate("entry-2")
        bringup.wait_until(
            lambda: self.dep.status("entry-2")["state"] != "live",
            what="the drain",
        )

    def complete(self, text, tokens):
        """Request a streamed answer from the draining entry."""
        return httpx.post(
            f"{self.url(2)}/v1/completions",
            json={
                "model": bringup.MODEL,
                "prompt": text,
                "max_tokens": tokens,
                "stream": True,
            },
            timeout=20,
            trust_env=False,
        )

    def check_refused(self, answer):
        """Check that ``answer`` is a refusal with verdict and reason."""
        self.assertEqual(503, answer.status_code, answer.text)
        body = answer.json()
        self.assertEqual("not_run", body["verdict"])
        self.assertIn("draining", body["detail"])
        self.assertEqual("close", answer.headers["connection"])

    def test_requests_longer_than_the_rest_of_a_drain_are_refused(self):
        before = self.dep.ask("engine-1", "/state")["arrived"]
        self.drain()
        start = time.monotonic()
        self.check_refused(self.complete("too long", 400))
        self.check_refused(callers.book(self.url(2), "k1"))
        self.assertLess(time.monotonic() - start, 1)
        after = self.dep.ask("engine-1", "/state")["arrived"]
        self.assertEqual(before, after)
        self.assertEqual(0, self.dep.wait_end("entry-2", 10))

    def test_requests_that_fit_into_the_rest_of_a_drain_are_served(self):
        self.drain()
        headers = {"X-Class": "short"}
        events = callers.stream(self.url(2), "short", 5, headers)
        self.assertEqual(callers.expected("short", 5), callers.texts(events))
        answer = httpx.post(
            f"{self.url(2)}/services/{bringup.SERVICE}/book",
            content="pears",
            headers={"X-Class": "quick"},
            trust_env=False,
        )
        self.assertEqual(200, answer.status_code, answer.text)
        self.assertEqual(0, self.dep.wait_end("entry-2", 10))

    def test_requests_open_at_the_stop_are_completed(self):
        before = self.dep.ask("engine-1", "/state")["arrived"]
        asked = base.Background(
            callers.stream, [(self.url(2), "before the stop", 100)]
        )
        # A request that comes after the stop may be refused.
        bringup.wait_until(
            lambda: self.dep.ask("engine-1", "/state")["arrived"] > before,
            what="the request at the engine",
        )
        self.drain()
        rows = asked.join()
        self.assertEqual([], asked.errors)
        self.assertEqual(
            callers.expected("before the stop", 100),
            callers.texts(rows[0][1]),
        )

    def test_requests_sent_until_the_exit_get_complete_answers(self):
        self.drain()
        asked = base.Background(self.ask_until_the_end, [()] * 4)
        rows = asked.join()
        self.assertEqual([], asked.errors)
        statuses = set().union(*(statuses for _, statuses in rows))
        self.assertEqual({200, 503}, statuses - {None})
        self.assertEqual(0, self.dep.wait_end("entry-2", 5))

    def ask_until_the_end(self):
        """Return the statuses of answers up to the exit of the process."""
        statuses = set()
        while self.dep.process_by_name["entry-2"].poll() is None:
            with contextlib.suppress(httpx.ConnectError):
                statuses.add(self.ask_short())
        return statuses

    def ask_short(self):
        """Return the status of a complete answer, ``None`` if none began."""
        body = {"model": bringup.MODEL, "prompt": "again", "stream": True}
        request = httpx.stream(
            "POST",
            f"{self.url(2)}/v1/completions",
            json=body,
            headers={"X-Class": "short"},
            timeout=20,
            trust_env=False,
        )
        with contextlib.ExitStack() as stack:
            try:
                answer = stack.enter_context(request)
            except (httpx.ReadError, httpx.RemoteProtocolError):
                return None
            whole = answer.read()
            if answer.status_code == 200:
                self.assertIn(b"[DONE]", whole)
            return answer.status_code


class SlowCallsTest(base.DeploymentCase):
    """One entry that drains for 3 s at most."""

    def ask(self, url):
        """Send one call on a new connection."""
        headers = {"X-Class": "lookup"}
        return httpx.get(url, headers=headers, timeout=10, trust_env=False)

    def test_a_call_longer_than_the_rest_of_a_drain_is_refused(self):
        self.bring_up(
            entries=1,
            stewards=1,
            prepare=slow,
            entry_1={"limits": {"drain_ms": 3_000}},
        )
        url = f"{self.url(1)}/services/{bringup.SERVICE}/x"
        first = base.Background(self.ask, [(url,)])
        time.sleep(0.5)
        self.dep.terminate("entry-1")
        time.sleep(1)
        # Sent while callers may still use the addresses that they keep.
        late = self.ask(url)
        self.assertEqual(late.status_code, 503)
        self.assertEqual(late.json()["verdict"], "not_run")
        ((_, answer),) = first.join()
        self.assertEqual(answer.status_code, 200)
