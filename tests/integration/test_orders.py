"""Orders of a holder that lost its authority while it was paused."""

import time

from standins import bringup
from tests.integration import base

BLOCK_MS = 12_000


class PausedHolderTest(base.DeploymentCase):
    """The holder of a scope stops between its check and its write.

    steward-1 prefers the scope of data centre a.  On its first order it
    stops for longer than its lease, as a paused machine does; another
    steward takes over and gives orders; then the first one goes on.
    """

    def pause_between_check_and_write(self, engine_options, **faults):
        """Return the orders that the engine got from first to last."""

        def prepare(dep):
            dep.engine("engine-1", "a", options=engine_options)
            dep.engine("engine-2", "b")
            dep.service("orders-1", "a")

        faults = {"block_before_order_ms": BLOCK_MS, **faults}
        # Awake again, the holder would take all others for dead and refuse
        # by itself; with this it still asks the second steward.
        patient = {"dead_after_ms": 60_000}
        self.bring_up(
            1, 3, prepare, steward_1={"faults": faults, "membership": patient}
        )
        self.assertEqual("steward-1", self.holder("endpoints/a"))
        self.dep.fleet["endpoint"]["engine-1"]["role"] = "prefill"
        path = self.dep.folder / "fleet.toml"
        path.write_text(bringup.to_toml(self.dep.fleet))
        self.dep.operate("publish", str(path))
        bringup.wait_until(
            lambda: "blocked on purpose" in self.dep.log_of("steward-1"),
            what="the holder's pause",
        )
        bringup.wait_until(self.takeover, what="orders of a new holder")
        count = self.dep.log_of("steward-1").count("blocked on purpose")
        time.sleep(BLOCK_MS / 1000)
        bringup.wait_until(
            lambda: (
                "order failed" in self.dep.log_of("steward-1")
                or "order: sent" in self.dep.log_of("steward-1")
            ),
            what="the end of the pause",
        )
        self.assertGreaterEqual(count, 1)
        return self.dep.ask("engine-1", "/orders")

    def takeover(self):
        """Tell whether another steward's order has taken effect."""
        orders = self.dep.ask("engine-1", "/orders")
        return any("steward-1" not in order["by"] for order in orders)

    def stale(self, orders):
        """Return the orders obeyed after one with a newer token."""
        obeyed = [o for o in orders if not o["refused"]]
        newest = -1
        late = []
        for order in obeyed:
            if order["fence"] < newest:
                late.append(order)
            newest = max(newest, order["fence"])
        return late

    def test_an_engine_that_checks_refuses_the_late_order(self):
        """The engine gets the old holder's order after the new one's.

        Obeyed, it would take the engine away from work a second time.
        """
        orders = self.pause_between_check_and_write([])
        self.assertEqual([], self.stale(orders))
        self.assertTrue(any(o["refused"] for o in orders), orders)

    def test_an_engine_that_ignores_tokens_never_gets_it(self):
        """The same for an engine that obeys whoever speaks to it.

        The second steward sees that the claim was replaced and refuses.
        """
        orders = self.pause_between_check_and_write(["--ignore-fencing"])
        self.assertEqual([], self.stale(orders))
        self.assertIn("order_refused", self.refusals())

    def test_without_the_second_check_it_does_get_it(self):
        """The control: the same pause with the second check switched off.

        This shows that the test above can fail.
        """
        orders = self.pause_between_check_and_write(
            ["--ignore-fencing"], without_second_check=True
        )
        self.assertEqual(1, len(self.stale(orders)), orders)

    def refusals(self):
        """Return a word for each way in which late orders ended."""
        text = "".join(self.dep.log_of(name) for name in self.stewards)
        if "refused an order without authority" in text:
            return ["order_refused"]
        return [text]
