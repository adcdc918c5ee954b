"""Orders of a lease holder that lost its lease while it was paused."""

import time

from standins import bringup
from tests.integration import base

PAUSE_MS = 12_000


class PausedHolderTest(base.DeploymentCase):
    """An order of a former lease holder overrides the current holder's.

    steward-1 holds the scope of data centre a.  It is paused between the
    check of its lease and its first order, as on a paused machine, for
    longer than the lease.  Another steward takes over and sends orders; then
    steward-1 resumes and sends its own.
    """

    def pause_between_check_and_write(self, engine_options, **faults):
        """Return all orders that the engine received, in order."""

        def prepare(dep):
            dep.engine("engine-1", "a", options=engine_options)
            dep.engine("engine-2", "b")
            dep.service("orders-1", "a")

        faults = {"block_before_order_ms": PAUSE_MS, **faults}
        # With the default, the resumed holder would consider all other
        # stewards dead and refuse by itself, without asking the second one.
        late_failure_detection = {"dead_after_ms": 60_000}
        self.bring_up(
            1,
            3,
            prepare,
            steward_1={"faults": faults, "membership": late_failure_detection},
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
        bringup.wait_until(
            self.has_other_holder, what="orders of a new holder"
        )
        pauses = self.dep.log_of("steward-1").count("blocked on purpose")
        time.sleep(PAUSE_MS / 1000)
        bringup.wait_until(
            lambda: (
                "order failed" in self.dep.log_of("steward-1")
                or "order: sent" in self.dep.log_of("steward-1")
            ),
            what="the end of the pause",
        )
        self.assertGreaterEqual(pauses, 1)
        return self.dep.ask("engine-1", "/orders")

    def has_other_holder(self):
        """Tell whether the engine has received another steward's order."""
        orders = self.dep.ask("engine-1", "/orders")
        return any("steward-1" not in order["by"] for order in orders)

    def stale_orders(self, orders):
        """Return the orders obeyed after one with a larger fencing token."""
        obeyed = [o for o in orders if not o["refused"]]
        newest = -1
        stale = []
        for order in obeyed:
            if order["fence"] < newest:
                stale.append(order)
            newest = max(newest, order["fence"])
        return stale

    def test_engine_refuses_a_stale_order_by_its_token(self):
        """An engine obeys the former holder's order after the new one's.

        It would be taken out of service a second time.  The engine must
        refuse the order by its fencing token.
        """
        orders = self.pause_between_check_and_write([])
        self.assertEqual([], self.stale_orders(orders))
        self.assertTrue(any(o["refused"] for o in orders), orders)

    def test_second_steward_stops_a_stale_order(self):
        """An engine that ignores fencing tokens obeys the former holder.

        The second steward, which checks each order, must see that the lease
        was claimed by another holder and refuse.
        """
        orders = self.pause_between_check_and_write(["--ignore-fencing"])
        self.assertEqual([], self.stale_orders(orders))
        self.assertIn("order_refused", self.refusals())

    def test_stale_order_is_obeyed_without_the_second_check(self):
        """Show that the previous test can fail.

        With the second check disabled, the engine receives the late order.
        """
        orders = self.pause_between_check_and_write(
            ["--ignore-fencing"], without_second_check=True
        )
        self.assertEqual(1, len(self.stale_orders(orders)), orders)

    def refusals(self):
        """Return ``order_refused``, or all logs if none shows a refusal."""
        text = "".join(self.dep.log_of(name) for name in self.stewards)
        if "refused an order without authority" in text:
            return ["order_refused"]
        return [text]
