"""How the crash records of gateways spread."""

import types
import unittest

import loguru

from bench import dissemination
from clementinewall import clock
from clementinewall import domain
from clementinewall import errors
from clementinewall.gateway import crash_guard
from clementinewall.gateway import exchange as exchanges
from clementinewall import verdicts

LOSS = 0.03
# Within this time all gateways have to know what counts against a request.
KNOWN_MS = 3_000
OTHERS_PER_CRASH = 100
CRASHES_PER_SECOND = 3
HARMFUL = "harmful"


def request(name):
    """Return a request that crash records know by its name."""
    call = types.SimpleNamespace(attempt=name, prompt=None)
    return types.SimpleNamespace(call=call, digest=name)


def crash_of(endpoint_id, draining=False):
    """Return the state of an endpoint that crashed, and the failure."""
    state = types.SimpleNamespace(
        endpoint=types.SimpleNamespace(
            id=endpoint_id,
            incarnation_name=f"{endpoint_id}/1",
            draining=draining,
        ),
        is_leaving=False,
    )
    failure = exchanges.AttemptFailed(
        verdicts.Verdict.MAY_HAVE_RUN, "cut", endpoint_id, broken=True
    )
    return state, failure


def record_crash(guard, endpoint_id, name):
    """Record that an endpoint crashed during a request."""
    guard.record_failure(request(name), *crash_of(endpoint_id))


def is_refused(guard, name):
    """Tell whether a gateway refuses a request for its crash records."""
    try:
        guard.check(request(name))
    except errors.HarmfulRequest:
        return True
    return False


class SpreadTest(unittest.TestCase):
    """Gateways in virtual time, beside hundreds of other records a second."""

    def setUp(self):
        """Silence the logs of all gateways."""
        loguru.logger.disable("clementinewall")
        self.addCleanup(loguru.logger.enable, "clementinewall")

    def start(self, size):
        """Start gateways that know each other."""
        self.network = dissemination.Network(size, LOSS, seed=3)
        # The runner keeps the test case, and would keep the network.
        self.addCleanup(delattr, self, "network")
        self.network.play(dissemination.WARM_UP_MS)
        self.ips = sorted(self.network.guard_by_ip)
        self.crashes = 0

    def crash(self, ip=None):
        """Crash an engine; the harmful request ran there through ``ip``."""
        self.crashes += 1
        name = f"engine-{self.crashes}"
        for number in range(OTHERS_PER_CRASH):
            if ip and number == OTHERS_PER_CRASH // 2:
                record_crash(self.network.guard_by_ip[ip], name, HARMFUL)
            other = self.network.rng.choice(self.ips)
            record_crash(
                self.network.guard_by_ip[other], name, f"{name}-{number}"
            )

    def crash_others(self, milliseconds):
        """Let time pass in which engines crash for other reasons."""
        for _ in range(milliseconds * CRASHES_PER_SECOND // 1_000):
            self.crash()
            self.network.play(1_000 // CRASHES_PER_SECOND)

    def unaware(self):
        """Return the gateways that would send the harmful request on."""
        return [
            ip
            for ip, guard in self.network.guard_by_ip.items()
            if not is_refused(guard, HARMFUL)
        ]

    def check(self, size):
        """Check gateways that ran on, and one that was restarted."""
        self.start(size)
        self.crash(self.ips[0])
        self.crash_others(1_000)
        self.crash(self.ips[size // 2])
        self.crash_others(KNOWN_MS)
        self.assertEqual(self.unaware(), [])
        self.network.restart(self.ips[1])
        self.crash_others(KNOWN_MS)
        self.assertEqual(self.unaware(), [])

    def test_crashes_become_known_to_few_gateways(self):
        # Guards against records that those of other requests displace.
        self.check(7)

    def test_crashes_become_known_to_many_gateways(self):
        # Guards against records that stop on their way.
        self.check(61)


class PartsTest(unittest.TestCase):
    """Gateways in virtual time that learn which part crashes engines."""

    PARTS = ("first", "bad", "own")

    def setUp(self):
        """Start seven gateways that know each other."""
        loguru.logger.disable("clementinewall")
        self.addCleanup(loguru.logger.enable, "clementinewall")
        self.network = dissemination.Network(7, LOSS, seed=4)
        self.addCleanup(delattr, self, "network")
        self.network.play(dissemination.WARM_UP_MS)
        self.guards = self.network.guard_by_ip
        self.ips = sorted(self.guards)

    def prompt(self, name, *parts):
        """Return a request whose prompt has some parts."""
        found = request(name)
        rows = tuple(domain.PromptPart(part, 40) for part in parts)
        found.call.prompt = domain.Prompt("m", 100, 10, rows)
        found.service = types.SimpleNamespace(name="model")
        return found

    def crash(self, ip, endpoint_id, *parts):
        """Crash an engine during a request of one gateway."""
        state, failure = crash_of(endpoint_id)
        found = self.prompt(f"at-{endpoint_id}-{parts}", *parts)
        self.guards[ip].record_failure(found, state, failure)

    def check(self, *parts):
        """Return which gateways refuse a prompt, and which suspect it."""
        refused, suspected = set(), set()
        for ip, guard in self.guards.items():
            found = self.prompt("new", *parts)
            try:
                guard.check(found)
            except errors.HarmfulRequest:
                refused.add(ip)
            else:
                if found.suspect is not None:
                    suspected.add(ip)
        return refused, suspected

    def test_a_part_is_known_to_all_and_to_one_that_starts(self):
        # Guards against gateways that learn of a part by crashes of their own.
        everybody = set(self.ips)
        self.guards[self.ips[3]].record_stream(
            self.prompt("sound", "first", "own")
        )
        self.crash(self.ips[0], "e1", *self.PARTS)
        self.network.play(1_000)
        self.assertEqual(self.check(*self.PARTS), (set(), everybody))
        self.crash(self.ips[1], "e2", *self.PARTS)
        self.network.play(1_000)
        self.assertEqual(self.check(*self.PARTS), (everybody, set()))
        self.network.restart(self.ips[2])
        self.network.play(KNOWN_MS)
        self.assertEqual(self.check(*self.PARTS), (everybody, set()))
        self.assertEqual(self.check("first", "other", "own"), (set(), set()))

    def test_one_answer_clears_a_part_for_all(self):
        # Guards against refusing sound requests that share a first part.
        self.crash(self.ips[0], "e1", "first", "own")
        self.crash(self.ips[1], "e2", "first", "own")
        self.guards[self.ips[4]].record_stream(
            self.prompt("sound", "first", "own")
        )
        self.network.play(1_000)
        self.assertEqual(self.check("first", "own"), (set(), set()))

    def test_a_gateway_that_reaches_nobody_blames_no_part(self):
        # Guards against a cut that makes a part harmful.
        state, failure = crash_of("e1")
        found = self.prompt("a", *self.PARTS)
        self.guards[self.ips[0]].record_failure(
            found, state, failure, reaches_others=False
        )
        self.assertEqual(self.check(*self.PARTS), (set(), set()))

    def test_an_engine_whose_record_stays_has_not_crashed(self):
        # Guards against a cut that makes a part harmful.
        guard = self.guards[self.ips[0]]
        for endpoint_id in ("e1", "e2"):
            self.crash(self.ips[0], endpoint_id, *self.PARTS)
        engine = types.SimpleNamespace(incarnation_name="e1/1")
        view = types.SimpleNamespace(
            endpoint_by_id={"e1": engine}, current_ms=60_000
        )
        self.crash(self.ips[0], "e3", "bad", "own")
        guard.sweep(view)
        self.assertIn(self.ips[0], self.check(*self.PARTS)[0])
        self.network.play(crash_guard.MAX_RECORD_AGE_MS)
        view.endpoint_by_id["e2"] = types.SimpleNamespace(
            incarnation_name="e2/1"
        )
        guard.sweep(view)
        self.assertNotIn(self.ips[0], self.check(*self.PARTS)[0])

    def test_a_part_that_most_prompts_share_is_not_refused(self):
        # Guards against refusing nearly all before any of them was answered.
        ip = self.ips[0]
        for number in range(50):
            prompt = self.prompt(f"a{number}", "first", f"s{number}", "own")
            self.guards[ip].check(prompt)
        self.crash(ip, "e1", "first", "s1", "own")
        self.crash(ip, "e2", *self.PARTS)
        self.crash(ip, "e3", *self.PARTS)
        self.assertNotIn(ip, self.check("first", "other", "own")[0])

    def test_a_part_that_most_prompts_share_gets_one_engine(self):
        # Guards against engines that such a part ends all at once.
        everybody = set(self.ips)
        for number in range(9):
            self.check("first", f"s{number}", "own")
        for number in range(8):
            self.crash(self.ips[0], f"e{number}", "first", f"t{number}", "own")
        self.network.play(KNOWN_MS)
        self.assertEqual(
            self.check("first", "other", "own"), (set(), everybody)
        )

    def test_a_part_beside_one_that_most_share_is_found(self):
        # Guards against blaming what all prompts have for what one part does.
        everybody = set(self.ips)
        for number in range(9):
            self.check("first", f"s{number}", "own")
        self.crash(self.ips[0], "e1", "first", "s1", "own")
        self.crash(self.ips[0], "e2", *self.PARTS)
        self.crash(self.ips[0], "e3", *self.PARTS)
        self.network.play(KNOWN_MS)
        self.assertEqual(self.check(*self.PARTS)[0], everybody)

    def test_the_last_part_is_never_suspect(self):
        # Guards against refusing what only one request or session has.
        self.crash(self.ips[0], "e1", "first", "bad")
        self.crash(self.ips[0], "e2", "second", "bad")
        self.assertEqual(self.check("other", "bad", "own"), (set(), set()))

    def test_a_crash_of_an_engine_that_leaves_makes_no_part_suspect(self):
        # Guards against planned stops that make parts harmful.
        state, failure = crash_of("e1", draining=True)
        found = self.prompt("a", *self.PARTS)
        self.guards[self.ips[0]].record_failure(found, state, failure)
        self.assertEqual(self.check(*self.PARTS), (set(), set()))

    def test_requests_beside_a_harmful_part_are_not_harmful(self):
        # Guards against refusing a request for crashes that a part explains.
        ip = self.ips[0]
        for number in range(3):
            state, failure = crash_of(f"e{number}")
            own = "bad", f"s{number}", "own"
            found = self.prompt(f"harmful-{number}", *own)
            self.guards[ip].record_failure(found, state, failure)
            beside = self.prompt("beside", "other", "own")
            self.guards[ip].record_failure(beside, state, failure)
        self.guards[ip].record_stream(self.prompt("sound", "other", "own"))
        self.guards[ip].check(self.prompt("beside", "other", "own"))

    def test_a_part_with_a_long_name_is_never_suspect(self):
        # Guards against datagrams whose size a caller decides.
        self.crash(self.ips[0], "e1", "x" * 1_000, "own")
        message = self.guards[self.ips[0]].parts_message()
        self.assertEqual(message, {})

    def test_malformed_records_of_parts_raise_what_is_caught(self):
        guard = self.guards[self.ips[0]]
        for data in (
            [],
            {"crashed": 1},
            {"crashed": [["p", "e"]]},
            {"crashed": [["p", "e", None, 0]]},
            {"sound": 3},
        ):
            with self.assertRaises((AttributeError, TypeError, ValueError)):
                guard.merge_parts(data)


class DigestTest(unittest.TestCase):
    """Which requests count as the same."""

    def digest(self, host="h", target=b"/chat/x", body=b"b", attempt="a1"):
        """Return what identifies a request."""
        call = types.SimpleNamespace(
            host=host, target=target, body=body, attempt=attempt, wait_ms=None
        )
        route = types.SimpleNamespace(timeout_ms=None)
        now = clock.ManualClock().now
        return exchanges.Exchange(None, call, route, None, now).digest

    def test_host_path_and_body_identify_a_request(self):
        # Guards against a harmful request that a new attempt id hides.
        own = self.digest()
        self.assertEqual(self.digest(attempt="a2"), own)
        for other in ({"host": "i"}, {"target": b"/y"}, {"body": b"c"}):
            self.assertNotEqual(self.digest(**other), own)


class CheckTest(unittest.TestCase):
    """What one gateway refuses."""

    def test_a_request_with_two_crashes_is_refused(self):
        guard = crash_guard.CrashGuard(clock.ManualClock(1_000).now)
        record_crash(guard, "e1", HARMFUL)
        self.assertFalse(is_refused(guard, HARMFUL))
        record_crash(guard, "e2", HARMFUL)
        self.assertTrue(is_refused(guard, HARMFUL))

    def test_malformed_records_change_nothing(self):
        # Guards against a foreign datagram that ends the process later.
        guard = crash_guard.CrashGuard(clock.ManualClock(1_000).now)
        for row in (
            [],
            ["d"],
            ["d", "e1", "x", True],
            ["d", "e1", float("nan"), True],
            ["d", "e1", float("inf"), True],
            ["d", "e1", 0, True, 1],
        ):
            with self.assertRaises((TypeError, ValueError, OverflowError)):
                guard.merge([row])
        guard.merge([["d", [], 0, "x"], [7, None, 0, {}]])
        record_crash(guard, "e1", HARMFUL)
        self.assertEqual(len(guard.message()), 3)
