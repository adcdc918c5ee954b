"""The orders of the gateway that has the duties."""

import json
import types
import unittest

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.platform import duty_calls
from clementinewall.scaling import limits
from clementinewall.scaling import load_samples
from clementinewall.scaling import scaler

Outcome = duty_calls.Outcome
LIVE = {"10.0.0.1", "10.0.0.2"}
BOOT_MS = 4_000
SCALE = domain.ScaleRange(1, 20, BOOT_MS, {"a": 1.0, "b": 1.2})
LONG_POLLS = 16


class FakeClient:
    """The duty service as one gateway calls it."""

    def __init__(self):
        """Accept all orders."""
        self.outcome = Outcome.ACCEPTED
        self.on_accepted = lambda order: None
        self.orders = []

    async def send(self, call):
        """Keep the order and answer as the test wants."""
        self.orders.append(json.loads(call.body))
        if self.outcome is Outcome.ACCEPTED:
            self.on_accepted(self.orders[-1])
        return self.outcome


class FakeHolder:
    """The lease of the duties."""

    def __init__(self):
        """Hold it."""
        self.holds = True

    def is_acting(self):
        """Return whether the claim is this gateway's."""
        return self.holds

    async def ensure(self):
        """Return whether orders may be sent."""
        return self.holds


class ScalerCase(unittest.TestCase):
    """One service in two data centres, with on-demand engines."""

    def setUp(self):
        """Start with two engines in each data centre."""
        self.ticker = clock.ManualClock(100_000)
        self.board = load_samples.LoadBoard(self.ticker.now)
        self.client = FakeClient()
        self.holder = FakeHolder()
        self.fleet_view = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                service_by_name={"chat": domain.Service("chat", None, SCALE)}
            ),
            endpoint_by_id={},
            is_current=True,
        )
        self.set_engines(a=2, b=2)
        self.streams = 0
        self.heard = LIVE
        self.scaler = self.new_scaler()

    def new_scaler(self, **limits_by_service):
        """Return the scaler of a gateway, with the operator's bounds."""
        return scaler.Scaler(
            self.fleet_view,
            self.holder,
            self.client,
            self.board,
            lambda: LIVE,
            self.ticker.now,
            limits_by_service,
        )

    def set_engines(self, **count_by_centre):
        """Let these engines serve."""
        self.count_by_centre = count_by_centre
        self.fleet_view.endpoint_by_id = {
            f"{centre}{number}": domain.Endpoint(
                f"{centre}{number}",
                "chat",
                f"{centre}{number}:1",
                centre,
                16,
                draining=False,
                stage=domain.DECODE,
                incarnation=1,
            )
            for centre, count in count_by_centre.items()
            for number in range(count)
        }

    def carry_out(self, order):
        """Let the engines of an order serve at once."""
        self.count_by_centre[order["zone"]] = order["desired"]
        self.set_engines(**self.count_by_centre)

    def poll(self, times=1):
        """Take samples and poll; return the orders of these polls."""
        before = len(self.client.orders)
        for _ in range(times):
            for ip in self.heard:
                self.board.take(ip, [["chat", 0, self.streams / 2]])
            anyio.run(self.scaler.poll)
            self.ticker.advance(scaler.POLL_INTERVAL_MS)
        return self.client.orders[before:]

    def settle(self, streams=6):
        """Let a load last that the engines are enough for."""
        self.streams = streams
        self.poll(LONG_POLLS)
        self.client.orders.clear()


class Orders(ScalerCase):
    """What is ordered, and what becomes of it."""

    def test_a_load_that_stays_is_ordered_for_once(self):
        # Guards against no order, and against the same one at each poll.
        self.settle()
        self.streams = 24
        self.client.on_accepted = self.carry_out
        orders = self.poll(LONG_POLLS)
        self.assertGreater(max(row["desired"] for row in orders), 2)
        self.assertEqual({row["service"] for row in orders}, {"chat"})
        self.assertEqual(self.poll(4), [])

    def test_a_lost_order_is_sent_again(self):
        # Guards against an order without an answer that was not carried out.
        self.settle()
        self.streams = 24
        self.client.outcome = Outcome.LOST
        lost = self.poll(LONG_POLLS)
        self.client.outcome = Outcome.ACCEPTED
        again = self.poll()
        self.assertIn(lost[-1], again)

    def test_a_throttled_order_is_sent_again(self):
        # Guards against a rise that is never followed after a busy second.
        self.settle()
        self.streams = 24
        self.client.outcome = Outcome.THROTTLED
        refused = self.poll(LONG_POLLS)
        self.client.outcome = Outcome.ACCEPTED
        self.assertIn(refused[-1], self.poll())

    def test_preemptible_engines_that_are_not_to_be_had(self):
        # Guards against a data centre's shortage that is asked about each
        # second, and that nothing replaces.
        scale = SCALE._replace(spot_price=0.2)
        row = domain.Service("chat", None, scale)
        self.fleet_view.configuration.service_by_name["chat"] = row
        self.streams = 24
        self.client.outcome = Outcome.NONE_AVAILABLE
        self.poll(scaler.MIN_SAMPLES_MS // scaler.POLL_INTERVAL_MS + 1)
        self.client.orders.clear()
        self.client.outcome = Outcome.ACCEPTED
        orders = self.poll(3)
        self.assertTrue(orders)
        self.assertFalse(any(row.get("use_spot") for row in orders))

    def test_what_is_not_to_be_had_is_not_asked_for_again(self):
        # Guards against calls that are billed and refused each second.
        self.settle()
        self.streams = 24
        self.client.outcome = Outcome.NONE_AVAILABLE
        self.poll(4)
        asked = [row["zone"] for row in self.client.orders]
        self.assertTrue(asked)
        self.assertEqual(len(asked), len(set(asked)))

    def test_an_order_without_effect_is_sent_again(self):
        # Guards against engines that were accepted and never came.
        self.settle()
        self.streams = 24
        first = self.poll(LONG_POLLS)
        settling_ms = BOOT_MS + scaler.SETTLING_MARGIN_MS
        again = self.poll(settling_ms // scaler.POLL_INTERVAL_MS + 2)
        self.assertIn(first[-1], again)

    def test_own_bounds_hold(self):
        # Guards against orders above what an operator allows.
        self.scaler = self.new_scaler(chat=limits.Limits(0, 6))
        self.settle()
        self.streams = 400
        self.poll(8)
        last = {row["zone"]: row["desired"] for row in self.client.orders}
        self.assertLessEqual(sum({"a": 2, "b": 2, **last}.values()), 6)


class Reluctance(ScalerCase):
    """When nothing is ordered."""

    def test_nothing_without_samples_for_long_enough(self):
        # Guards against a new holder that orders by the first datagram.
        self.streams = 400
        polls = scaler.MIN_SAMPLES_MS // scaler.POLL_INTERVAL_MS
        self.assertEqual(self.poll(polls), [])

    def test_nothing_when_samples_stop(self):
        # Guards against a fleet that is given up since messages are lost.
        self.settle(24)
        self.heard = set()
        after = load_samples.MAX_AGE_MS // scaler.POLL_INTERVAL_MS + 1
        self.poll(after)
        self.assertEqual(self.poll(LONG_POLLS), [])

    def test_nothing_while_few_gateways_are_heard(self):
        # Guards against the load of a part that is cut off from the rest.
        self.settle()
        many = {f"10.0.1.{n}" for n in range(5)}
        self.scaler._live_ips = lambda: many
        self.streams = 400
        self.assertEqual(self.poll(6), [])

    def test_nothing_while_the_fleet_view_is_stale(self):
        # Guards against orders for engines that came or left meanwhile.
        self.settle()
        self.fleet_view.is_current = False
        self.streams = 400
        self.assertEqual(self.poll(6), [])

    def test_nothing_without_the_lease(self):
        # Guards against two gateways that order against each other.
        self.settle()
        self.holder.holds = False
        self.streams = 400
        self.assertEqual(self.poll(6), [])

    def test_nothing_without_engines_or_configuration(self):
        # Guards against an exception that ends all tasks of the process.
        self.settle()
        self.set_engines()
        self.poll(2)
        self.fleet_view.configuration = None
        self.assertEqual(self.poll(2), [])

    def test_a_new_holder_keeps_the_engines_that_exist(self):
        # Guards against a holder that starts from zero and gives up engines
        # before it knows the load.
        self.set_engines(a=8, b=8)
        self.streams = 1
        for row in self.poll(6):
            self.assertGreaterEqual(row["desired"], 8)

    def test_a_new_holder_keeps_engines_that_come_later(self):
        # Guards against a holder that gives up what the one before ordered.
        self.streams = 1
        self.poll(scaler.MIN_SAMPLES_MS // scaler.POLL_INTERVAL_MS + 1)
        self.set_engines(a=8, b=8)
        self.client.on_accepted = self.carry_out
        for row in self.poll(6):
            self.assertGreaterEqual(row["desired"], 8)
        self.poll(LONG_POLLS)
        self.assertLess(sum(self.count_by_centre.values()), 16)

    def test_orders_of_another_holder_are_not_taken_for_own_ones(self):
        # Guards against a holder that goes by its orders of some time ago.
        self.settle()
        self.streams = 24
        last = {row["zone"]: row["desired"] for row in self.poll(5)}
        self.set_engines(**{"a": 2, "b": 2, **last})
        self.holder.holds = False
        self.poll(3)
        # Another holder has reduced them; this one acts again.
        self.set_engines(a=2, b=2)
        self.holder.holds = True
        orders = self.poll(2)
        self.assertTrue(orders)
        self.assertGreater(max(row["desired"] for row in orders), 2)
