"""Planned changes of the fleet interrupt no request."""

import time

from standins import bringup
from tests.integration import base
from tests.integration import callers

TOKEN_GAP = ["--gap-ms=30"]


class PlannedChangesTest(base.DeploymentCase):
    """Planned changes under a load of long streams and bookings."""

    def bring_up_slow_engines(self, **tables):
        """Start three engines with a token gap of 30 ms and two services.

        Engine 2 ignores fencing tokens.
        """

        def prepare(dep):
            for number in (1, 2, 3):
                options = [*TOKEN_GAP, "--change-ms=1000"]
                if number == 2:
                    options.append("--ignore-fencing")
                dep.engine(
                    f"engine-{number}", "abc"[number - 1], options=options
                )
            dep.service("orders-1", "a")
            dep.service("orders-2", "b")

        self.bring_up(3, 3, prepare, **tables)

    def start_load(self, streams=12, tokens=80):
        """Start long streams and 15 bookings spread over the entries."""

        def one(kind, number):
            if kind == "book":
                time.sleep(number * 0.2)
            url = self.listed_url(number)
            if kind == "book":
                return callers.book(url, f"load-{number}").status_code
            text = f"{kind} {number}"
            events = callers.stream(url, text, tokens)
            return callers.texts(events) == callers.expected(text, tokens)

        rows = [("long", n) for n in range(streams)]
        rows += [("book", n) for n in range(15)]
        return base.Background(one, rows)

    def check_load(self, load):
        """Wait for the load and check that no request was interrupted.

        Every answer must be complete, every booking must have run once, and
        no engine may have cut a stream.
        """
        results = load.join(90)
        self.assertEqual([], load.errors)
        for (kind, number), result in results:
            expected = 200 if kind == "book" else True
            self.assertEqual(expected, result, (kind, number))
        execution_counts = [
            count
            for name in ("orders-1", "orders-2")
            for count in self.dep.ask(name, "/executions").values()
        ]
        self.assertEqual({1}, set(execution_counts))
        cut = sum(
            self.dep.ask(f"engine-{n}", "/state")["cut"] for n in (1, 2, 3)
        )
        self.assertEqual(0, cut)

    def test_role_and_version_changes_cut_no_stream(self):
        """A change of role or model version cuts the engine's streams.

        All three engines are changed by one publication under load; each
        must be empty before its change begins.
        """
        self.bring_up_slow_engines()
        load = self.start_load()
        time.sleep(0.3)
        for number in (1, 2, 3):
            row = self.dep.fleet["endpoint"][f"engine-{number}"]
            row["version"] = "2"
        self.dep.fleet["endpoint"]["engine-1"]["role"] = "prefill"
        self.dep.publish()
        self.check_load(load)
        second_load = self.start_load(6, 20)
        bringup.wait_until(self.are_all_changed, 60, "all engines changed")
        self.check_load(second_load)

    def are_all_changed(self):
        """Tell whether every engine has version 2 and accepts work."""
        states = [self.dep.ask(f"engine-{n}", "/state") for n in (1, 2, 3)]
        return all(
            s["version"] == "2" and not s["quiesced"] and not s["changing"]
            for s in states
        )

    def test_withdrawal_moves_the_streams_of_an_engine(self):
        """The streams of a withdrawn engine are cut or delay its withdrawal.

        The engine serves streams of 9 s.  They must move to other engines,
        so that it is empty within 5 s.
        """
        self.bring_up_slow_engines()
        load = self.start_load(tokens=300)
        time.sleep(0.8)
        self.dep.operate("withdraw", "engine-1")
        withdrawn_at = time.monotonic()
        bringup.wait_until(
            lambda: self.dep.ask("engine-1", "/state")["running"] == 0,
            5,
            "the withdrawn engine to be empty",
        )
        self.assertLess(time.monotonic() - withdrawn_at, 5)
        self.check_load(load)

    def test_drained_service_endpoint_gets_no_calls(self):
        """A drained service endpoint still gets new calls.

        The other endpoint must take them all.
        """
        self.bring_up_slow_engines()
        load = self.start_load(6)
        self.dep.operate("drain", "orders-1")
        time.sleep(1.0)
        before = sum(self.dep.ask("orders-1", "/executions").values())
        for number in range(6):
            answer = callers.book(self.url(number % 3 + 1), f"d-{number}")
            self.assertEqual(200, answer.status_code)
        after = sum(self.dep.ask("orders-1", "/executions").values())
        self.assertEqual(before, after)
        self.check_load(load)

    def test_a_rolling_restart_cuts_nothing(self):
        """A graceful restart of an instance interrupts a request.

        Every instance is stopped with SIGTERM and started again, in turn.
        Callers keep addresses for a while, so some of them connect to an
        instance that is already draining.
        """
        self.bring_up_slow_engines()
        loads = []
        for name in self.entries + self.stewards:
            loads.append(self.start_load(6, 40))
            time.sleep(0.3)
            self.dep.terminate(name)
            loads[-1].join(60)
            self.assertEqual(0, self.dep.wait_end(name), name)
            self.dep.start(name)
            self.dep.wait_ready([name])
        for load in loads:
            self.check_load(load)
