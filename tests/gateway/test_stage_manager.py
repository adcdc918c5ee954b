"""Orders to engines that don't answer."""

import json
import types
import unittest
from unittest import mock

import anyio

from clementinewall import clock
from clementinewall import domain
from clementinewall.gateway import endpoint_path
from clementinewall.gateway import endpoint_state
from clementinewall.gateway import endpoints
from clementinewall.gateway import stage_manager
from clementinewall.http1 import client
from clementinewall.http1 import messages
from clementinewall import verdicts

SETTINGS = domain.Settings(
    "i", "10.0.0.1", "a", "", "", "", 1, "10.0.0.9:1", domain.Bounds()
)
SERVICE = domain.Service("model", domain.EngineLimits(16, 1, 1, 1.0, 3_000))
REFUSED = client.LinkBroken(
    verdicts.Progress.NEVER_CONNECTED, "refused", absent=True
)
NO_ANSWER = client.LinkBroken(verdicts.Progress.NEVER_CONNECTED, "no answer")
RESET = client.LinkBroken(verdicts.Progress.SENT_WHOLE, "reset")


class FakeLease:
    """A lease that is always held."""

    token = 1
    has_unreleased_claim = True

    def is_held(self):
        """Return that it is held; count who asks."""
        self.claims += 1
        return True

    def record_order(self):
        """Record nothing."""

    def __init__(self):
        """Start without calls."""
        self.refreshes = 0
        self.claims = 0

    async def refresh(self):
        """Count a read of the newest claim."""
        self.refreshes += 1

    async def release(self):
        """Release nothing."""


class StageManagerTest(unittest.TestCase):
    """The stage manager of a single gateway with some engines."""

    def setUp(self):
        """Make a manager that knows no engine yet."""
        self.clock = clock.ManualClock(100_000)
        self.fleet_view = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                service_by_name={SERVICE.name: SERVICE}
            ),
            endpoint_by_id={},
        )
        self.peers = peers = types.SimpleNamespace(
            is_first_process=False,
            notify=lambda: None,
            table=types.SimpleNamespace(
                states=list, order_rank=lambda _data_centre: 0
            ),
        )
        self.endpoints = endpoints.Endpoints(self.fleet_view, self.clock.now)
        self.manager = stage_manager.StageManager(
            SETTINGS,
            self.fleet_view,
            self.endpoints,
            peers,
            lambda: True,
            self.clock,
        )
        self.manager._lease = FakeLease()
        self.manager._send_request = self.answer
        # Answers to report requests and orders, by engine id.
        self.report_by_id = {}
        self.order_by_id = {}
        self.ordered = []

    def claims_read(self, polls):
        """Return how often a number of polls reads the newest claim."""
        for _ in range(polls):
            anyio.run(self.manager.poll)
            self.clock.advance(stage_manager.POLL_INTERVAL_MS)
        return self.manager._lease.refreshes

    def test_a_restarted_instance_reads_the_claim_at_its_start(self):
        # Guards against an instance that waits for the end of its own claim.
        self.peers.table.order_rank = lambda _: 100
        self.assertEqual(self.claims_read(40), 1)

    def test_an_engine_whose_order_fails_blocks_no_other(self):
        # Guards against one engine that is chosen again at each look.
        for number in range(6):
            self.engine(f"e{number}", domain.PREFILL)

        async def fail(state, _request, **_kwargs):
            asked.append(state.endpoint.id)
            raise UnicodeError("unexpected")

        asked = []
        self.manager._send_request = fail
        for _ in range(4):
            anyio.run(self.manager.poll)
            self.clock.advance(stage_manager.POLL_INTERVAL_MS)
        self.assertEqual(len(asked), len({*asked}))
        self.assertGreater(len(asked), 1)

    def test_gateways_back_in_line_plan_less_often(self):
        # Guards against plans of a whole fleet of which one is carried out.
        intervals = []
        self.manager._lease.has_unreleased_claim = False
        for rank in (0, 1, 100):
            self.peers.table.order_rank = lambda _, rank=rank: rank
            intervals.append(self.manager.poll_interval_ms())
        self.assertEqual(intervals, [250, 500, 1_000])
        self.manager._lease.has_unreleased_claim = True
        self.assertEqual(self.manager.poll_interval_ms(), 250)

    def test_an_instance_that_is_new_reads_no_claim_at_its_start(self):
        # Guards against a call to the store by each gateway of a fleet that
        # starts, where eight are enough.
        self.peers.table.order_rank = lambda _: 100
        self.peers.is_first_process = True
        self.assertEqual(self.claims_read(40), 0)
        self.peers.table.order_rank = lambda _: 0
        self.assertEqual(self.claims_read(1), 1)

    def test_no_claim_is_read_before_the_instance_is_registered(self):
        self.peers.is_first_process = None
        self.assertEqual(self.claims_read(4), 0)

    def engine(self, name, stage, report=None, order=202):
        """Register an engine with its answers: a status or an exception."""
        self.fleet_view.endpoint_by_id[name] = domain.Endpoint(
            name, "model", f"10.1.0.1:{len(name)}", "a", 16, False, stage, 1
        )
        self.report_by_id[name] = report or {"sequence": 0}
        self.order_by_id[name] = order

    async def answer(self, state, request, follows=False):
        """Answer a report or an order."""
        name = state.endpoint.id
        answer = self.report_by_id[name]
        if request.target == b"/order":
            self.ordered.append(name)
            answer = self.order_by_id[name]
        if isinstance(answer, Exception):
            raise answer
        if isinstance(answer, dict):
            return messages.Head(200, b"OK", ()), json.dumps(answer).encode()
        return messages.Head(answer, b"", ()), b""

    def poll_for(self, ms):
        """Poll as often as the manager does in ``ms``."""
        for _ in range(ms // stage_manager.POLL_INTERVAL_MS):
            self.clock.advance(stage_manager.POLL_INTERVAL_MS)
            anyio.run(self.manager.poll)

    def test_a_report_that_was_withheld_is_no_failure_of_the_engine(self):
        # Guards against sound engines that are paused for naming a limit.
        self.engine("e1", domain.PREFILL, endpoint_state.Withheld())
        self.engine("e2", domain.PREFILL, endpoint_state.Withheld())
        with mock.patch.object(
            endpoint_state.EndpointState, "record_failure", autospec=True
        ) as record_failure:
            self.poll_for(4_000)
        self.assertTrue(self.manager._cooldowns.active("e1"))
        record_failure.assert_not_called()

    def test_an_engine_that_refuses_connections_delays_no_other_order(self):
        for failure in (REFUSED, NO_ANSWER, TimeoutError()):
            with self.subTest(failure=repr(failure)):
                self.setUp()
                self.engine("a", domain.PREFILL, failure)
                self.engine("b", domain.PREFILL)
                self.poll_for(1_000)
                self.assertEqual(self.ordered, ["b"])

    def test_an_order_that_never_connected_delays_no_other_order(self):
        self.engine("a", domain.PREFILL, order=REFUSED)
        self.engine("b", domain.PREFILL)
        self.poll_for(1_000)
        self.assertEqual(self.ordered, ["a", "b"])

    def test_an_unanswered_order_delays_no_other_while_none_decodes(self):
        self.engine("a", domain.PREFILL, order=RESET)
        self.engine("b", domain.PREFILL)
        self.poll_for(1_000)
        self.assertEqual(self.ordered, ["a", "b"])

    def test_an_unanswered_order_delays_others_while_some_engine_decodes(self):
        for name in "abc":
            self.engine(name, domain.DECODE, order=RESET)
        self.poll_for(4_000)
        self.assertEqual(self.ordered, ["a"])

    def test_no_second_engine_is_ordered_while_one_changes_to_decode(self):
        self.engine("a", domain.PREFILL)
        self.engine("b", domain.PREFILL)
        self.poll_for(4_000)
        self.assertEqual(self.ordered, ["a"])

    def test_an_engine_that_only_others_reach_is_left_to_them(self):
        # Guards against a gateway that is cut off and keeps the lease.
        self.engine("a", domain.PREFILL)
        path = self.endpoints.find("a").path
        path._reach = endpoint_path.Reach.RELAYED
        self.poll_for(2_000)
        self.assertEqual(self.ordered, [])
        self.assertEqual(self.manager._lease.claims, 0)
        path._reach = endpoint_path.Reach.DIRECT
        self.poll_for(1_000)
        self.assertEqual(self.ordered, ["a"])

    def test_an_engine_that_nobody_reaches_delays_no_other_order(self):
        # Guards against a change that is left to others for ever.
        self.engine("a", domain.PREFILL, NO_ANSWER)
        self.engine("b", domain.PREFILL)
        self.endpoints.find("a").path._reach = endpoint_path.Reach.NONE
        self.poll_for(1_000)
        self.assertEqual(self.ordered, ["b"])

    def test_an_engine_that_could_not_be_asked_is_tried_again(self):
        self.engine("a", domain.PREFILL, NO_ANSWER)
        self.poll_for(1_000)
        self.report_by_id["a"] = {"sequence": 0}
        self.poll_for(2 * stage_manager.UNREACHABLE_COOLDOWN_MS)
        self.assertEqual(self.ordered, ["a"])

    def test_an_order_that_is_carried_out_is_not_given_again(self):
        # An order that an engine is executing starts over when it is sent
        # again by another gateway, which sees an old record of the engine
        # after the first gateway has ended.
        self.engine("a", domain.PREFILL, {"sequence": 1, "busy": True})
        self.engine("b", domain.PREFILL)
        self.poll_for(2_000)
        self.assertEqual(self.ordered, [])
        self.report_by_id["a"] = {"sequence": 1, "busy": False}
        self.poll_for(1_000)
        self.assertEqual(self.ordered, ["a"])

    def test_a_gateway_that_stops_during_a_report_sends_no_order(self):
        # Guards against a lease that outlives its gateway and keeps the others
        # from sending orders.
        self.engine("a", domain.PREFILL)

        async def answer(state, request):
            self.manager._is_ready = lambda: False
            return await self.answer(state, request)

        self.manager._send_request = answer
        self.poll_for(2_000)
        self.assertEqual(self.ordered, [])
