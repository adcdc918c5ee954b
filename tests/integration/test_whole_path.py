"""The whole path, from published configuration to answered request."""

import unittest

import httpx

from standins import bringup
from tests.integration import callers


class WholePathTest(unittest.TestCase):
    """Two entries, stewards and engines, a service and the platform."""

    @classmethod
    def setUpClass(cls):
        """Start the deployment once for all tests."""
        cls.dep = bringup.Deployment()
        cls.addClassCleanup(cls.dep.close)
        dep = cls.dep
        dep.platform()
        dep.engine("engine-1", "a")
        dep.engine("engine-2", "b")
        dep.service("orders-1", "a")
        dep.classes()
        for name, data_centre in (("entry-1", "a"), ("entry-2", "b")):
            dep.instance(name, data_centre, "entry")
        for name, data_centre in (("steward-1", "a"), ("steward-2", "b")):
            dep.instance(name, data_centre, "steward")
        names = ["entry-1", "entry-2", "steward-1", "steward-2"]
        dep.list_instances(names)
        dep.publish()
        dep.wait_ready(names)
        bringup.wait_until(
            lambda: len(cls.addresses()["addresses"]) == 2,
            what="both entries in the answer",
        )

    @classmethod
    def addresses(cls):
        """Return the answer of one entry to /v1/addresses."""
        url = f"{cls.dep.callers('entry-1')}/v1/addresses"
        return cls.dep.http.get(url).json()

    def test_a_streamed_answer_is_complete(self):
        """Each published address streams a complete answer."""
        for row in self.addresses()["addresses"]:
            events = callers.stream(f"http://{row['address']}", "a b c", 9)
            self.assertEqual(
                callers.expected("a b c", 9), callers.texts(events)
            )

    def test_an_answer_without_streaming(self):
        """Without ``stream`` the answer is one chat completion."""
        answer = httpx.post(
            self.dep.callers("entry-1") + "/v1/chat/completions",
            json={
                "model": bringup.MODEL,
                "messages": [{"role": "user", "content": "hello"}],
                "max_tokens": 3,
            },
        )
        wanted = "".join(text for _, text in callers.expected("hello", 3)[:-1])
        message = answer.json()["choices"][0]["message"]
        self.assertEqual(wanted, message["content"])

    def test_a_booking_runs_once(self):
        """A resend through the other entry gets the kept answer."""
        first = callers.book(self.dep.callers("entry-1"), "key-1")
        second = callers.book(self.dep.callers("entry-2"), "key-1")
        self.assertEqual(200, first.status_code, first.text)
        self.assertEqual(first.json(), second.json())
        self.assertEqual("1", second.headers["x-kept-answer"])
        runs = self.dep.ask("orders-1", "/executions")
        self.assertEqual(1, runs["clinic/key-1"])

    def test_a_lookup_needs_no_key(self):
        """An idempotent call needs no idempotency key."""
        answer = httpx.get(
            self.dep.callers("entry-1") + "/services/orders/status?x=1",
            headers={"X-Class": "lookup"},
        )
        self.assertEqual(200, answer.status_code, answer.text)

    def test_errors_are_problems(self):
        """Each invalid request gets a problem document with a code."""
        url = self.dep.callers("entry-1")
        cases = [
            ("/v1/completions", b"{", "bad_request"),
            ("/v1/completions", b'{"model": "m"}', "bad_request"),
            (
                "/v1/completions",
                b'{"model": "none", "prompt": "x"}',
                "unknown_model",
            ),
            ("/services/none/x", b"", "unknown_service"),
            ("/services/orders/x", b"", "missing_key"),
            ("/nowhere", b"", "bad_request"),
        ]
        for path, body, code in cases:
            answer = httpx.post(url + path, content=body)
            self.assertEqual(code, answer.json()["code"], path)
            self.assertEqual("not_run", answer.json()["verdict"], path)
            self.assertEqual(
                "application/problem+json", answer.headers["content-type"]
            )

    def test_control_calls_need_the_token(self):
        """A control call without the token is answered with 401."""
        where = self.dep.address_by_name["entry-1"]
        for path in ("/control/status", "/streams/control/records"):
            answer = httpx.get(f"http://{where}{path}")
            self.assertEqual(401, answer.status_code)

    def test_too_many_open_requests_are_refused(self):
        """Guards against open streams that use up an entry's memory.

        Requests over the limit are refused, so that callers go elsewhere.
        """
        dep = self.dep
        dep.instance("entry-9", "a", "entry", limits={"requests": 1})
        dep.wait_ready(["entry-9"])
        url = dep.callers("entry-9")
        first = callers.iterate(url, "held open", 200)
        next(first)
        answer = callers.book(url, "no room")
        self.assertEqual("overloaded", answer.json()["code"])
        self.assertEqual("not_run", answer.json()["verdict"])
        first.close()
        dep.kill("entry-9")

    def test_status_shows_the_whole_system(self):
        """The operator's ``status`` lists every process and every scope."""

        def scopes():
            return self.dep.operate("status")["scopes"]

        bringup.wait_until(lambda: len(scopes()) >= 4, what="all scopes")
        status = self.dep.operate("status")
        known = {"entry-1/entry", "entry-2/entry"}
        known |= {"steward-1/steward", "steward-2/steward"}
        # The entry that another test killed may still be listed.
        found = set(status["instances"]) - {"entry-9/entry"}
        self.assertEqual(known, found)
        self.assertIn("endpoints/a", status["scopes"])


if __name__ == "__main__":
    unittest.main()
