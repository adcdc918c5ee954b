"""Which engines the placer of a gateway considers."""

import types
import unittest
from unittest import mock

from clementinewall.admission import controller
from clementinewall import clock
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import cell_membership
from clementinewall.gateway import endpoint_state
from clementinewall.gateway import endpoints
from clementinewall.gateway import exchange as exchanges
from clementinewall.gateway import fleet_view
from clementinewall.gateway import peer_messages
from clementinewall.gateway import peer_table
from clementinewall.gateway import placing
from clementinewall.http1 import server
from clementinewall.membership import crashing_parts
from clementinewall.policy import placement
from clementinewall.policy import silence

GATEWAYS = [f"10.0.0.{n}" for n in range(1, 33)]
SERVICE = domain.Service(
    "model", domain.EngineLimits(16, 500_000, 18_432, 370_000.0, 3_000)
)
SETTINGS = domain.Settings(
    instance="gateway-1",
    ip=GATEWAYS[0],
    data_centre="a",
    callers="",
    ready="",
    directory="",
    peer_port=1,
    store="",
    bounds=domain.Bounds(),
)
ROUTE = domain.Route(
    name="chat",
    host="",
    prefix="/",
    kind=domain.STREAM,
    shares=(domain.Share("model", 1.0),),
    timeout_ms=8_000,
    goal_ms=400,
    gap_goal_ms=150,
    priority=0,
    max_attempts=1,
    resumable=False,
)
PROMPT = domain.Prompt("m", 6_000, 100, (domain.PromptPart("own", 6_000),))


def engine(number, stage, **more):
    """Return the record of an engine."""
    row = {"draining": False, "stage": stage, "incarnation": 1}
    row.update(more)
    name = f"i-{number:04}"
    return domain.Endpoint(name, "model", f"{name}:1", "a", 16, **row)


class Placing(unittest.TestCase):
    """One of 32 gateways in four cells, with 24 engines."""

    def setUp(self):
        """Create a placer that knows all gateways and engines."""
        self.ticker = clock.ManualClock(100_000)
        now = self.ticker.now
        self.fleet_view = fleet_view.FleetView(now)
        self.fleet_view.configuration = domain.Configuration(
            1, {}, {"model": SERVICE}, server.Limits()
        )
        self.fleet_view.endpoint_by_id = {
            found.id: found
            for found in (
                engine(n, domain.STAGES[n % len(domain.STAGES)])
                for n in range(24)
            )
        }
        self.endpoints = endpoints.Endpoints(self.fleet_view, now)
        self.cell_membership = cell_membership.CellMembership(
            SETTINGS, self.fleet_view, now
        )
        self.cell_membership.update(GATEWAYS[1:])
        table = peer_table.PeerTable(GATEWAYS[0], now)
        self.placer = placing.Placer(
            SETTINGS,
            self.endpoints,
            types.SimpleNamespace(table=table),
            self.cell_membership,
            now,
        )

    def set_versions(self, version_by_number):
        """Give some engines versions of their own."""
        for number, version in version_by_number.items():
            name = f"i-{number:04}"
            found = self.fleet_view.endpoint_by_id[name]
            found = found._replace(version=version)
            self.fleet_view.endpoint_by_id[name] = found

    def admissions(self):
        """Return how many of three requests admission control decides on."""
        with mock.patch.object(
            controller.Admission,
            "admit",
            autospec=True,
            side_effect=lambda _self, _exchange, options, _late: options,
        ) as admit:
            for _ in range(3):
                self.place()
            resumed = self.exchange()
            resumed.call = resumed.call._replace(resume_after=3)
            self.placer.place(resumed, None)
        return admit.call_count

    def test_admission_control_is_off_without_customers_and_pace(self):
        # Load: three requests and a resumed stream.  Guards against changed
        # decisions and urgencies in deployments that have neither.
        state = self.endpoints.of_service("model")[0]
        self.assertEqual(self.admissions(), 0)
        state.load = domain.EndpointLoad(1, 0, 16)
        self.assertEqual(self.admissions(), 0)
        with mock.patch.object(
            controller, "priority", autospec=True, side_effect=AssertionError
        ):
            self.place()

    def test_admission_control_is_on_with_customers_or_pace(self):
        # Load: three requests and a resumed stream, which isn't refused.
        # Guards against a rule that doesn't take effect.
        state = self.endpoints.of_service("model")[0]
        state.load = domain.EndpointLoad(1, 0, 16, 1.0)
        self.assertEqual(self.admissions(), 3)
        state.load = None
        view = self.fleet_view
        view.configuration = view.configuration._replace(customer_by_key={})
        self.assertEqual(self.admissions(), 3)

    def place_at(self, version, tried_ids=()):
        """Place a stream that has to go on at a version."""
        exchange = self.exchange()
        exchange.version = version
        exchange.tried_ids.update(tried_ids)
        return self.placer.place(exchange, None).decode_engine

    def test_a_stream_goes_on_at_its_version_in_another_cell(self):
        # Guards against a cell none of whose engines has the version.
        outside = next(
            state.endpoint
            for state in self.endpoints.of_service("model")
            if not self.cell_membership.is_cell_engine(state)
            and state.endpoint.stage == domain.DECODE
        )
        self.set_versions({int(outside.id[2:]): "v2"})
        for _ in range(10):
            self.assertEqual(self.place_at("v2").endpoint.id, outside.id)
            self.assertEqual(self.place_at("").endpoint.version, "")

    def test_a_stream_goes_on_where_it_broke_off_if_nowhere_else(self):
        # Guards against giving up while the engine serves others.
        decode = domain.STAGES.index(domain.DECODE)
        self.set_versions({decode: "v2"})
        name = f"i-{decode:04}"
        self.assertEqual(self.place_at("v2", [name]).endpoint.id, name)

    def place_suspect(self, part, tried_ids=()):
        """Return the id of the decode engine for a suspect part."""
        exchange = self.exchange()
        exchange.suspect = crashing_parts.Suspect(part, frozenset(), True)
        exchange.tried_ids.update(tried_ids)
        return self.placer.place(exchange, None).decode_engine.endpoint.id

    def test_a_suspect_part_gets_one_engine_at_all_gateways(self):
        # Guards against several engines that one part ends at once.
        found = {self.place_suspect("model/bad") for _ in range(20)}
        self.cell_membership.update(GATEWAYS[1:9])
        found |= {self.place_suspect("model/bad") for _ in range(20)}
        self.assertEqual(len(found), 1)
        [first] = found
        self.assertNotEqual(self.place_suspect("model/bad", [first]), first)
        other = {self.place_suspect(f"model/{n}") for n in range(20)}
        self.assertGreater(len(other), 3)

    def test_an_engine_that_others_saw_crash_does_not_count(self):
        # Guards against a part that ends the last engine that decodes.
        exchange = self.exchange()
        crashed = frozenset(
            endpoint.incarnation_name
            for endpoint in self.fleet_view.endpoint_by_id.values()
            if endpoint.stage == domain.DECODE and endpoint.id != "i-0001"
        )
        exchange.suspect = crashing_parts.Suspect("model/bad", crashed, True)
        with self.assertRaises(errors.Overloaded):
            self.placer.place(exchange, None)
        exchange.suspect = exchange.suspect._replace(spares_last=False)
        plan = self.placer.place(exchange, None)
        self.assertEqual(plan.decode_engine.endpoint.id, "i-0001")

    def test_a_suspect_part_spares_the_last_decode_engine(self):
        # Guards against a part that leaves nobody to serve the others.
        decode = [
            endpoint
            for endpoint in self.fleet_view.endpoint_by_id.values()
            if endpoint.stage == domain.DECODE
        ]
        for endpoint in decode[1:]:
            del self.fleet_view.endpoint_by_id[endpoint.id]
        with self.assertRaises(errors.Overloaded):
            self.place_suspect("model/bad")

    def test_a_version_without_an_engine_is_refused(self):
        with self.assertRaises(errors.NoEngineOfVersion):
            self.place_at("v3")

    def exchange(self):
        """Return a new request."""
        call = domain.Call(
            "a", b"POST", b"/", "", "/", (), b"", None, None, PROMPT
        )
        return exchanges.Exchange(None, call, ROUTE, SERVICE, self.ticker.now)

    def place(self):
        """Place a new request."""
        return self.placer.place(self.exchange(), None)

    def cell_engines(self, stage):
        """Return the engines of a stage in the gateway's cell."""
        return [
            state
            for state in self.endpoints.of_service("model")
            if self.cell_membership.is_cell_engine(state)
            and state.endpoint.stage == stage
        ]

    def hold(self, endpoint_id, tokens):
        """Let a peer report work at an engine."""
        work = {endpoint_id: peer_messages.Work((), 1, 0, tokens)}
        peer = types.SimpleNamespace(
            work_by_endpoint_id=work, estimate_by_service={}
        )
        table = types.SimpleNamespace(states=lambda: [peer])
        self.placer._peers = types.SimpleNamespace(table=table)

    def report_pace(self):
        """Let the engines tell their pace, as those do that may crash."""
        for stage in domain.STAGES:
            for state in self.cell_engines(stage):
                state.load = domain.EndpointLoad(1, 0, 16, 1.0)
                state.load_at = 0

    def test_memory_bounds_nothing_where_engines_preempt(self):
        # Guards against refusals in deployments whose engines preempt
        # requests when their memory is full.
        for state in self.cell_engines(domain.DECODE):
            self.hold(state.endpoint.id, SERVICE.engine.kv_tokens)
            state.tokens = SERVICE.engine.kv_tokens
        self.place()

    def test_an_engine_whose_memory_peers_use_gets_nothing(self):
        # Guards against requests of several gateways that together exceed an
        # engine's memory, by which it crashes with all of them.
        self.report_pace()
        for stage in domain.STAGES:
            name = self.cell_engines(stage)[0].endpoint.id
            self.hold(name, SERVICE.engine.kv_tokens - PROMPT.tokens_in)
            for _ in range(20):
                plan = self.place()
                self.assertNotEqual(plan.decode_engine.endpoint.id, name)
                self.assertNotEqual(plan.option.prefill, name)

    def test_the_own_work_at_an_engine_counts(self):
        # Guards against a gateway that alone exceeds an engine's memory.
        self.report_pace()
        states = self.cell_engines(domain.DECODE)
        for state in states:
            state.tokens = SERVICE.engine.kv_tokens - PROMPT.tokens_in
        with self.assertRaises(errors.Overloaded):
            self.place()
        states[-1].tokens = 0
        self.assertEqual(self.place().decode_engine, states[-1])

    def test_memory_does_not_matter_while_engines_are_far_from_full(self):
        # Guards against other decisions than before in ordinary load.
        name = self.cell_engines(domain.DECODE)[0].endpoint.id
        self.hold(name, 0)
        before = self.place().option
        self.hold(name, SERVICE.engine.kv_tokens // 2)
        self.assertEqual(self.place().option, before)

    def test_requests_stay_in_the_cell(self):
        for _ in range(50):
            plan = self.place()
            self.assertTrue(
                self.cell_membership.is_cell_engine(plan.decode_engine)
            )
            self.assertTrue(
                self.cell_membership.is_cell_engine(plan.prefill_engine)
            )

    def test_engines_of_other_cells_are_used_if_those_of_a_stage_crashed(self):
        # Guards against refusing every caller for seconds when all decode
        # engines of a cell crash while three other cells have headroom.
        for state in self.cell_engines(domain.DECODE):
            state.health.record_failure(self.ticker.now(), absent=True)
        for _ in range(20):
            plan = self.place()
            self.assertFalse(
                self.cell_membership.is_cell_engine(plan.decode_engine)
            )
            self.assertTrue(plan.decode_engine.is_usable())

    def test_full_cell_refuses_instead_of_using_other_cells(self):
        # Guards against late answers in all cells: under overload, cells that
        # send each other the excess only add to the queues.
        for state in self.cell_engines(domain.DECODE):
            state.streams = state.endpoint.slots
        with self.assertRaises(errors.Overloaded):
            self.place()

    def test_engine_is_usable_again_after_a_stage_change(self):
        # Guards against leaving an engine unused after a change of its stage.
        # It refused requests for the stage it did not have, and must be used
        # as soon as its record shows the new one.
        state = self.cell_engines(domain.DECODE)[0]
        state.health.record_failure(self.ticker.now(), absent=True)
        changed = state.endpoint._replace(stage=domain.PREFILL)
        self.assertTrue(self.endpoints.state(changed).is_usable())

    def test_unreachable_engines_are_probed_once_per_interval(self):
        # Guards against sending every caller to an unreachable engine when all
        # decode engines are unreachable.
        for state in self.endpoints.of_service("model"):
            if state.endpoint.stage == domain.DECODE:
                state.health.record_failure(self.ticker.now(), absent=True)
        self.place()
        with self.assertRaises(errors.Overloaded) as caught:
            self.place()
        self.assertGreaterEqual(
            caught.exception.retry_after_ms, placement.NO_DECODE_RETRY_MS
        )
        self.ticker.advance(placing.PROBE_INTERVAL_MS)
        self.place()

    def test_request_can_be_placed_again_at_responsive_engines_only(self):
        # Guards against leaving a silent engine when no other can go on.
        exchange = self.exchange()
        self.assertTrue(self.placer.can_place_again(exchange))
        states = [
            state
            for state in self.endpoints.of_service("model")
            if state.endpoint.stage == domain.DECODE
        ]
        for state in states:
            state.begin()
        self.ticker.advance(endpoint_state.RESPONSE_TIMEOUT_MS + 1)
        self.assertFalse(self.placer.can_place_again(exchange))
        states[0].record_response()
        # The only responsive engine is the one that is to be left.
        exchange.tried_ids.add(states[0].endpoint.id)
        self.assertFalse(self.placer.can_place_again(exchange))

    def test_asking_for_another_engine_uses_up_no_probe(self):
        # Guards against a question that delays the probe of a dead engine.
        for state in self.endpoints.of_service("model"):
            if state.endpoint.stage == domain.DECODE:
                state.health.record_failure(self.ticker.now(), absent=True)
        self.assertFalse(self.placer.can_place_again(self.exchange()))
        self.place()

    def test_engines_that_are_all_silent_for_a_second_get_requests(self):
        # Guards against refusing every caller while sound engines pause.
        states = self.endpoints.of_service("model")
        for state in states:
            state.begin()
        self.ticker.advance(silence.SOUND_SILENCE_MS)
        for state in states:
            state.begin_prompt(placement.URGENCY_NORMAL, 40.0)
        self.place()
        self.ticker.advance(1)
        with self.assertRaises(errors.Overloaded):
            self.place()

    def test_silent_engine_is_avoided_while_others_respond(self):
        # Guards against waiting for a dead engine while others are idle.
        silent = self.cell_engines(domain.DECODE)[0]
        for state in self.endpoints.of_service("model"):
            if state is not silent:
                state.streams = state.endpoint.slots // 2
        silent.begin()
        self.ticker.advance(endpoint_state.RESPONSE_TIMEOUT_MS + 1)
        for _ in range(20):
            self.assertIsNot(self.place().decode_engine, silent)
