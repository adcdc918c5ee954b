"""Requests that crash every endpoint that runs them."""

import httpx

from standins import bringup
from tests.integration import base
from tests.integration import callers


class CrashingTest(base.DeploymentCase):
    """Crashing requests, resent through every entry."""

    def up(self, kind, count):
        """Return how many endpoints of a kind are running."""
        names = [f"{kind}-{n}" for n in range(1, count + 1)]
        return sum(
            self.dep.process_by_name[name].poll() is None for name in names
        )

    def bring_up_many(self):
        """Start five engines and four services behind three entries."""

        def prepare(dep):
            for number in range(1, 6):
                dep.engine(f"engine-{number}", "abc"[number % 3])
            for number in range(1, 5):
                dep.service(f"orders-{number}", "abc"[number % 3])

        self.bring_up(3, 1, prepare)

    def send(self, number, prompt):
        """Send a model request and return the answer."""
        return httpx.post(
            self.url(number) + "/v1/completions",
            json={"model": bringup.MODEL, "prompt": prompt},
            headers={"X-Caller": "bakery"},
            timeout=30,
        )

    def test_resent_through_every_entry_one_after_another(self):
        """Guards against a further crash with each resend.

        The caller tries each address in turn, twice.  Without crash records
        each try would crash another engine.
        """
        self.bring_up_many()
        codes = [
            self.send(number, "poison").json()["code"]
            for number in (1, 2, 3, 1, 2, 3)
        ]
        self.assertGreaterEqual(self.up("engine", 5), 3)
        self.assertEqual("crashed_endpoints", codes[-1])
        other = self.send(2, "the same caller's other work")
        self.assertEqual(200, other.status_code, other.text)

    def test_resent_through_every_entry_at_once(self):
        """Guards against a crash for each copy sent at the same time."""
        self.bring_up_many()
        work = base.Background(
            self.send, [(n, "poison together") for n in (1, 2, 3)]
        )
        work.join()
        self.send(1, "poison together")
        self.assertGreaterEqual(self.up("engine", 5), 3)

    def test_other_streams_on_crashing_engines_complete(self):
        """Guards against other streams cut by a crash or blamed for it.

        Long streams share the engines that the request crashes.
        """
        self.bring_up_many()
        work = base.Background(
            lambda n: callers.texts(
                callers.stream(self.url(n % 3 + 1), f"beside {n}", 60)
            ),
            [(n,) for n in range(10)],
        )
        for number in (1, 2, 3):
            self.send(number, "poison beside")
        results = work.join()
        self.assertEqual([], work.errors)
        for (number,), events in results:
            self.assertEqual(callers.expected(f"beside {number}", 60), events)
        self.assertGreaterEqual(self.up("engine", 5), 3)

    def test_a_request_that_crashes_prefill_engines(self):
        """Guards against a prefill crash that is blamed on the decode engine.

        The request crashes its prefill engine.  With the decode engine in
        the crash record, it would crash all prefill engines.
        """

        def prepare(dep):
            for number in range(1, 6):
                role = "prefill" if number <= 4 else "decode"
                options = [f"--role={role}", "--prefill-us=500"]
                dep.engine(f"engine-{number}", "a", options=options, role=role)
            dep.service("orders-1", "a")
            # Tight enough that only split prefill and decode meet it.
            dep.fleet["class"]["drafting"]["gap_ms"] = 12

        self.bring_up(3, 1, prepare)
        bringup.wait_until(self.takes_split, 10, "a split by roles")
        for number in (1, 2, 3, 1, 2, 3):
            answer = self.send(number, "poison " * 600)
        self.assertGreaterEqual(self.up("engine", 5), 3)
        self.assertEqual("crashed_endpoints", answer.json()["code"])

    def takes_split(self):
        """Return whether every entry has split a request by roles."""
        for number in (1, 2, 3):
            self.send(number, f"{number} sound " * 600)
        return all(
            "prefill=engine-" in self.dep.log_of(name) for name in self.entries
        )

    def test_a_lookup_that_crashes_services(self):
        """Guards against idempotent calls that crash all services."""
        self.bring_up_many()
        for number in (1, 2, 3, 1, 2, 3):
            answer = httpx.post(
                self.url(number) + "/services/orders/find",
                content="poison",
                headers={"X-Class": "lookup", "X-Caller": "bakery"},
                timeout=30,
            )
        self.assertEqual("crashed_endpoints", answer.json()["code"])
        self.assertGreaterEqual(self.up("orders", 4), 2)
