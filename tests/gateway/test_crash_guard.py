"""How the crash records of gateways spread."""

import types
import unittest

import loguru

from bench import dissemination
from clementinewall import clock
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
    call = types.SimpleNamespace(attempt=name)
    return types.SimpleNamespace(call=call, digest=name)


def record_crash(guard, endpoint_id, name):
    """Record that an endpoint crashed during a request."""
    state = types.SimpleNamespace(
        endpoint=types.SimpleNamespace(id=endpoint_id, incarnation=1)
    )
    failure = exchanges.AttemptFailed(
        verdicts.Verdict.MAY_HAVE_RUN, "cut", endpoint_id, broken=True
    )
    guard.record_failure(request(name), state, failure, True)


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
