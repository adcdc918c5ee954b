"""What gateways learn of the speed of engines and tell each other."""

import json
import types
import unittest

from clementinewall import domain
from clementinewall.gateway import engine_speeds
from clementinewall.gateway import engine_views
from clementinewall.gateway import peer_messages
from clementinewall.gateway import placing
from clementinewall.gateway import speed_messages
from clementinewall.gateway import stream_relay
from clementinewall.policy import engine_speed
from clementinewall.policy import engine_time
from clementinewall.policy import placement
from tests.gateway import test_placing

HEARTBEAT = peer_messages.Heartbeat("10.0.0.9", "", "a", True, 0)


class Speeds(test_placing.Placing):
    """A gateway whose engines may report their pace."""

    def report(self, state, pace):
        """Receive an answer's load figures from an engine."""
        state.load = domain.EndpointLoad(1, 0, 16, pace)
        state.load_at = self.ticker.now()

    def record_prefill(self, state, relative_time):
        """Record a prefill that took this multiple of the prediction."""
        option = placement.Option(state.endpoint.id, "d", 0.0, 0.0, 60.0, 0)
        plan = placing.Plan(state, None, option, 1)
        took_ms = relative_time * (60 + engine_time.FIRST_EVENT_MS)
        self.endpoints.speeds.record_prefill(
            plan, took_ms + engine_time.HOP_MS
        )

    def message(self):
        """Return the next state message of the gateway."""
        rows = self.endpoints.speeds.rows_to_send()
        state = peer_messages.GatewayState(HEARTBEAT, {}, {}, {}, rows)
        data = peer_messages.encode_state(state, self.ticker.now())
        return json.loads(json.dumps(data))

    def take(self, other, data):
        """Let another gateway take the message, as it comes."""
        state = peer_messages.decode_state(data, self.ticker.now())
        other.endpoints.speeds.take(
            "10.0.0.9", state.speed_rows, other.endpoints.find
        )

    def chosen(self, field, count=100):
        """Return the ids of the engines that are chosen."""
        plans = [self.place() for _ in range(count)]
        return {getattr(plan.option, field) for plan in plans}

    def test_nothing_changes_where_no_engine_tells_its_pace(self):
        # Guards against other choices, and other messages, in deployments
        # without the figure.
        states = self.cell_engines(domain.PREFILL)
        for state in states:
            self.report(state, None)
            self.record_prefill(state, 1.7)
        self.assertEqual(len(self.chosen("prefill")), 1)
        self.assertEqual(self.chosen("relative_time"), {1.0})
        self.assertEqual(
            set(self.message()), {"scales", "sign", "away", "work"}
        )

    def test_an_engine_in_a_slow_spell_is_avoided_for_its_duration(self):
        # Guards against prompts for one in six engines that is 2.5 times
        # slower for 0.6 s, and against a figure that counts too long.
        states = self.cell_engines(domain.PREFILL)
        for state in states:
            self.report(state, 1.0)
        self.assertEqual(
            self.chosen("prefill"), {s.endpoint.id for s in states}
        )
        self.ticker.advance(50)
        self.report(states[0], 2.5)
        self.assertNotIn(states[0].endpoint.id, self.chosen("prefill"))
        self.ticker.advance(int(engine_speed.PACE_LIFETIME_MS))
        self.assertIn(states[0].endpoint.id, self.chosen("prefill"))

    def view(self, state):
        """Return what the placement is told of an engine now."""
        speeds = self.endpoints.speeds.of_reporting([state])
        [found] = engine_views.views(
            [state],
            test_placing.PROMPT,
            placement.URGENCY_NORMAL,
            [],
            speeds,
            1.0,
            0,
            self.ticker.now(),
        )
        return found

    def test_the_queue_of_an_engine_takes_as_long_as_its_work(self):
        # Guards against prompts that wait at an engine that seems idle since
        # it is slow, and against a pace that counts twice.
        state = self.cell_engines(domain.PREFILL)[0]
        self.report(state, 1.0)
        self.ticker.advance(1_000)
        for _ in range(2):
            state.begin_prompt(placement.URGENCY_NORMAL, 100.0)
        self.ticker.advance(150)
        usual = self.view(state)
        self.report(state, 2.5)
        slow = self.view(state)
        self.assertAlmostEqual(usual.wait_ms, 50, delta=1)
        # The second figure of an engine counts a little as its usual pace.
        self.assertTrue(2.3 < slow.pace <= 2.5)
        self.assertAlmostEqual(
            slow.wait_ms, 2 * 100 * slow.pace - 150, delta=1
        )
        self.assertEqual(slow.time_factor, slow.pace)

    def test_a_prefill_on_a_slow_engine_is_not_given_up_early(self):
        # Guards against prompts that are prefilled twice, and against a slow
        # engine that counts as failed.
        option = placement.Option("p", "d", 0.0, 100.0, 200.0, 0)
        usual = stream_relay.prefill_timeout_ms(option)
        option = option._replace(relative_time=1.7, pace=2.0)
        slow = stream_relay.prefill_timeout_ms(option)
        factor = stream_relay.PREFILL_TIMEOUT_FACTOR
        self.assertAlmostEqual(slow - usual, factor * 2.4 * 200)

    def test_a_slow_engine_is_known_to_the_cell(self):
        # Guards against many gateways that each have to find a slow engine.
        other = Speeds()
        other.setUp()
        slow, *others = self.cell_engines(domain.PREFILL)
        for state in (slow, *others):
            self.report(state, 1.0)
        for _ in range(20):
            self.record_prefill(slow, 1.7)
        self.take(other, self.message())
        found = other.cell_engines(domain.PREFILL)
        speeds = other.endpoints.speeds.of_reporting(found)
        now = self.ticker.now()
        known = speeds[slow.endpoint.id].relative_time(1.0, now)
        self.assertAlmostEqual(known, 1.7, delta=0.1)
        self.assertNotIn(slow.endpoint.id, other.chosen("prefill"))

    def test_a_new_incarnation_is_not_known_to_be_slow(self):
        # Guards against avoiding a machine for the one it replaced.
        slow = self.cell_engines(domain.PREFILL)[0]
        self.report(slow, 1.0)
        for _ in range(20):
            self.record_prefill(slow, 1.7)
        data = self.message()
        again = slow.endpoint._replace(incarnation=2)
        self.fleet_view.endpoint_by_id[again.id] = again
        state = self.endpoints.state(again)
        self.report(state, 1.0)
        self.take(self, data)
        speed = self.endpoints.speeds.of_reporting([state])[again.id]
        self.assertEqual(speed.relative_time(1.0, self.ticker.now()), 1.0)

    def test_the_paces_of_a_message_are_as_old_as_at_their_sender(self):
        # Guards against old figures that count as new at other gateways.
        other = Speeds()
        other.setUp()
        state = self.cell_engines(domain.PREFILL)[0]
        self.report(state, 2.5)
        self.endpoints.speeds.of_reporting([state])
        self.ticker.advance(100)
        other.ticker.advance(5_000)
        rows = self.endpoints.speeds.rows_to_send()
        data = speed_messages.encode(rows, self.ticker.now())
        [row] = speed_messages.decode(data, other.ticker.now())
        self.assertEqual(row.pace.at, other.ticker.now() - 100)

    def test_messages_are_bounded(self):
        # Guards against datagrams over their limit in large cells.
        speeds = self.endpoints.speeds
        for n in range(3 * engine_speeds.MAX_ROWS):
            state = self.endpoints.state(
                test_placing.engine(1_000 + n, domain.PREFILL)
            )
            self.report(state, 1.0)
            speeds.of_reporting([state])
        rows = speeds.rows_to_send()
        self.assertEqual(len(rows), engine_speeds.MAX_ROWS)
        size = len(json.dumps(speed_messages.encode(rows, 100_000)))
        self.assertLess(size, 6_000)
        with self.assertRaises(ValueError):
            speed_messages.decode([["a", 1, None, None]] * 65, 0)

    def test_malformed_speeds_are_rejected(self):
        # Guards against a message that makes an engine look fast for ever.
        nan = float("nan")
        rows = (
            ["e", 1, [99, 1], None],
            ["e", 1, [nan, 1], None],
            ["e", 1, [0.1, 1e9], None],
            ["e", 1, None, [0, 5]],
            ["e", 1, None, [nan, 5]],
            ["e", 1, None, [1.0, -5_000]],
            ["e", 1, None, [1.0, nan]],
            [5, 1, None, None],
            ["e", 1, None],
        )
        for row in rows:
            with (
                self.subTest(row=row),
                self.assertRaises((TypeError, ValueError)),
            ):
                speed_messages.decode([row], 0)

    def test_removed_engines_are_forgotten(self):
        # Guards against memory that grows with each restart of an engine.
        state = self.cell_engines(domain.PREFILL)[0]
        self.report(state, 1.0)
        speeds = self.endpoints.speeds
        speeds.of_reporting([state])
        speeds.keep(set())
        self.assertEqual(speeds.rows_to_send(), ())

    def test_first_events_tell_the_speed_of_decode_engines(self):
        # Guards against slow decode engines that nobody notices, since they
        # prefill few prompts.
        state = self.cell_engines(domain.DECODE)[0]
        self.report(state, 1.0)
        plan = types.SimpleNamespace(
            option=placement.Option("p", "d", 0.0, 0.0, 60.0, 0),
            source=None,
            prefill_engine=object(),
            decode_engine=state,
            prefill_scale=1.0,
        )
        took_ms = engine_time.HOP_MS + 1.5 * engine_time.FIRST_EVENT_MS
        for _ in range(20):
            self.endpoints.speeds.record_first_event(plan, took_ms)
        speeds = self.endpoints.speeds.of_reporting([state])
        found = speeds[state.endpoint.id].relative_time(1.0, self.ticker.now())
        self.assertAlmostEqual(found, 1.5, delta=0.1)


def load_tests(_loader, _tests, _pattern):
    """Run only the tests of this module, not those it inherits."""
    names = [name for name in vars(Speeds) if name.startswith("test_")]
    return unittest.TestSuite(map(Speeds, sorted(names)))
