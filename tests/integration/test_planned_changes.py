"""No planned change cuts a request."""

import time

from standins import bringup
from tests.integration import base
from tests.integration import callers

GAP = ["--gap-ms=30"]


class PlannedChangesTest(base.DeploymentCase):
    """Changes of the fleet under a load of long streams and bookings."""

    def bring_up_slow(self, **tables):
        """Start three engines with slow tokens and two services."""

        def prepare(dep):
            for number in (1, 2, 3):
                options = [*GAP, "--change-ms=1000"]
                if number == 2:
                    options.append("--ignore-fencing")
                dep.engine(
                    f"engine-{number}", "abc"[number - 1], options=options
                )
            dep.service("orders-1", "a")
            dep.service("orders-2", "b")

        self.bring_up(3, 3, prepare, **tables)

    def load(self, streams=12, tokens=80):
        """Start long streams over all entries, and bookings beside them."""

        def one(kind, number):
            if kind == "book":
                time.sleep(number * 0.2)
            url = self.fresh_url(number)
            if kind == "book":
                return callers.book(url, f"load-{number}").status_code
            text = f"{kind} {number}"
            events = callers.stream(url, text, tokens)
            return callers.texts(events) == callers.expected(text, tokens)

        rows = [("long", n) for n in range(streams)]
        rows += [("book", n) for n in range(15)]
        return base.Background(one, rows)

    def check_load(self, load):
        """Wait for the load; everything must have been answered whole."""
        results = load.join(90)
        self.assertEqual([], load.errors)
        for (kind, number), result in results:
            wanted = 200 if kind == "book" else True
            self.assertEqual(wanted, result, (kind, number))
        runs = [
            count
            for name in ("orders-1", "orders-2")
            for count in self.dep.ask(name, "/executions").values()
        ]
        self.assertEqual({1}, set(runs))
        cut = sum(
            self.dep.ask(f"engine-{n}", "/state")["cut"] for n in (1, 2, 3)
        )
        self.assertEqual(0, cut)

    def test_role_changes_and_model_loads(self):
        """Operators change the role or version of every engine in turn.

        An engine in the middle of a change has no streams to cut.
        """
        self.bring_up_slow()
        load = self.load()
        time.sleep(0.3)
        for number in (1, 2, 3):
            row = self.dep.fleet["endpoint"][f"engine-{number}"]
            row["version"] = "2"
        self.dep.fleet["endpoint"]["engine-1"]["role"] = "prefill"
        self.dep.publish()
        self.check_load(load)
        again = self.load(6, 20)
        bringup.wait_until(self.all_changed, 60, "all engines changed")
        self.check_load(again)

    def all_changed(self):
        """Tell whether every engine has its version and takes work."""
        states = [self.dep.ask(f"engine-{n}", "/state") for n in (1, 2, 3)]
        return all(
            s["version"] == "2" and not s["quiesced"] and not s["changing"]
            for s in states
        )

    def test_withdrawing_an_engine_moves_its_streams(self):
        """An engine is withdrawn while it carries streams of 9 s.

        Were they left to finish, the engine would be held up by them.
        """
        self.bring_up_slow()
        load = self.load(tokens=300)
        time.sleep(0.8)
        self.dep.operate("withdraw", "engine-1")
        moved = time.monotonic()
        bringup.wait_until(
            lambda: self.dep.ask("engine-1", "/state")["running"] == 0,
            5,
            "the engine empty",
        )
        self.assertLess(time.monotonic() - moved, 5)
        self.check_load(load)

    def test_draining_and_replacing_a_service(self):
        """A service endpoint is drained, then replaced by another."""
        self.bring_up_slow()
        load = self.load(6)
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
        """Every instance is stopped gracefully and started, in turn.

        Callers keep the addresses they were given for a while and connect
        to an instance that is already leaving.
        """
        self.bring_up_slow()
        loads = []
        for name in self.entries + self.stewards:
            loads.append(self.load(6, 40))
            time.sleep(0.3)
            self.dep.terminate(name)
            loads[-1].join(60)
            self.assertEqual(0, self.dep.wait_end(name), name)
            self.dep.start(name)
            self.dep.wait_ready([name])
        for load in loads:
            self.check_load(load)
