"""Customers' keys at gateways, and until when a removed key is served."""

import contextlib
import socket
import threading
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import gateway_base

route = gateway_base.route

REVOKE_MS = 2_000
# What a request that was sent at the end of the bound may take to arrive.
SLACK_SECONDS = 0.2
# The store is asked at least once a second, and a call takes its time.
RECOVERY_SECONDS = 3.0
KEYS = {"strict_revoke": True, "revoke_ms": REVOKE_MS}
HARBOUR = {"name": "harbour", "api_keys": ["k-harbour"]}
MILL = {"name": "mill", "api_keys": ["k-mill", "k-mill-2"], "priority": 2}
MILL_WITHOUT_KEYS = {"name": "mill", "api_keys": []}
ROUTES = (
    route("look", "app", "safe"),
    route("open", "app", "safe", public=True),
)
NAMES = ("gateway-1", "gateway-2")
IPS = ("127.0.0.1", "127.0.0.2")


class KeysCase(gateway_base.GatewayCase):
    """Gateways, an endpoint that notes what it runs, and two customers."""

    calls_store_by_own_ip = True

    def setUp(self):
        """Start an endpoint that answers everything."""
        super().setUp()
        self.app = self.endpoint("app-1", self._answer)
        self.fronts = []

    def _answer(self, _endpoint, request):
        yield scripted.answer(request)

    def publish_customers(self, *customers):
        """Publish the routes with these customers; return when."""
        self.publish(*ROUTES, customers=list(customers))
        return time.monotonic()

    def start(self, count=1, is_apart=False, **bounds):
        """Start gateways; those ``is_apart`` don't hear each other."""
        for name, ip in list(zip(NAMES, IPS))[:count]:
            port = bringup.free_port() if is_apart else None
            front = self.start_without_waiting(
                name, ip, port, **{**KEYS, **bounds}
            )
            self.fronts.append(front)
        seen = 1 if is_apart else count
        for name in NAMES[:count]:
            bringup.wait_until(
                lambda name=name: (
                    self.is_ready(name) and len(self.addresses(name)) == seen
                ),
                what=name,
            )

    def call(self, number, key=None, path="/look/1", attempt="a1"):
        """Return the answer of a gateway to a request with a key."""
        headers = {} if key is None else {"Credential": key}
        return self.ask(self.fronts[number], path, attempt, "GET", **headers)

    def status(self, number, key):
        """Return the status of the answer to a request with a key."""
        return self.call(number, key).status_code

    def wait_status(self, number, key, status):
        """Wait until requests with a key get a status; return how long."""
        began = time.monotonic()
        bringup.wait_until(
            lambda: self.status(number, key) == status,
            RECOVERY_SECONDS,
            f"{status} of gateway {number + 1}",
        )
        return time.monotonic() - began

    def cut_off(self, number, mode="silent"):
        """Have the store answer a gateway no more; ``ok`` ends that."""
        self.set_store_mode(mode, callers=[IPS[number]])

    def check_ends_in_time(self, number, removed_at):
        """Check that a removed key doesn't run after its bound."""
        end = removed_at + REVOKE_MS / 1_000
        time.sleep(max(0, end - time.monotonic()))
        while time.monotonic() < end + 1.5:
            self.assertIn(self.status(number, "k-mill"), (401, 503))

    def log_of(self, name):
        """Return the log of a gateway."""
        return (self.dep.folder / f"{name}.log").read_text()


class Keys(KeysCase):
    """Requests with and without keys at one gateway."""

    def test_endpoints_get_the_name_and_never_the_key(self):
        # Guards against endpoints that learn keys, or trust a name that a
        # caller gave itself.
        self.publish_customers(HARBOUR, MILL)
        self.start()
        for key, name in (("k-harbour", "harbour"), ("k-mill-2", "mill")):
            answer = self.ask(
                self.fronts[0],
                "/look/1",
                method="GET",
                Credential=key,
                Tenant="forged",
            )
            self.assertEqual(200, answer.status_code)
            got = self.app.requests[-1].header_by_name
            self.assertEqual(name, got["tenant"])
            self.assertNotIn("credential", got)
            self.assertNotIn(key, str(got))
        self.assertEqual(200, self.call(0, "x", "/open/1").status_code)
        got = self.app.requests[-1].header_by_name
        self.assertNotIn("tenant", got)
        self.assertNotIn("credential", got)

    def test_requests_without_a_key_in_force_are_refused_at_once(self):
        # Guards against requests of nobody that run or wait, against a
        # missing route that asks for a key, and public routes that need one.
        self.publish_customers(HARBOUR)
        metrics_port = bringup.free_port()
        self.start(options=[f"--metrics-port={metrics_port}"])
        for key in (None, "", "k-mill", "K-HARBOUR", "k-harbour,k-harbour"):
            with self.subTest(key):
                began = time.monotonic()
                answer = self.call(0, key)
                self.assertLess(time.monotonic() - began, 0.5)
                self.assertEqual(401, answer.status_code)
                told = answer.json()
                self.assertEqual("unknown_key", told["code"])
                self.assertEqual("not_run", told["verdict"])
        twice = [("Host", gateway_base.HOST), ("Attempt-Id", "a1")]
        twice += [("Credential", "k-harbour"), ("Credential", "k-mill")]
        answer = httpx.get(
            f"http://{self.fronts[0]}/look/1", headers=twice, trust_env=False
        )
        self.assertEqual(401, answer.status_code)
        self.assertEqual(404, self.call(0, None, "/none/1").status_code)
        told = self.http.get(f"http://{IPS[0]}:{metrics_port}/metrics").text
        self.assertIn('keys_refused_total{code="unknown_key"} 6', told)
        self.assertEqual([], self.app.requests)
        self.assertEqual(200, self.call(0, None, "/open/1").status_code)
        self.assertNotIn("k-harbour", self.log_of("gateway-1"))

    def test_without_a_configuration_the_answer_is_503(self):
        # Guards against a restarted gateway that calls each key unknown.
        self.set_store_mode("silent")
        front = self.start_without_waiting(**KEYS)
        bringup.wait_until(
            lambda: self._accepts_connections(front), what="the gateway"
        )
        self.fronts.append(front)
        self.assertEqual(503, self.status(0, "k-mill"))
        self.assertFalse(self.is_ready("gateway-1"))

    def test_the_last_of_many_versions_is_in_force_in_time(self):
        # Guards against versions in quick succession of which an earlier one
        # stays in force, or that delay each other.
        self.publish_customers(HARBOUR, MILL)
        self.start(2)
        for number in range(40):
            row = {"name": "mill", "api_keys": [f"k-{number}"]}
            self.publish_customers(HARBOUR, row)
        for number in range(2):
            self.assertLess(self.wait_status(number, "k-39", 200), 2.0)
            for key in ("k-mill", "k-0", "k-38"):
                self.assertEqual(401, self.status(number, key))

    def test_a_bad_version_leaves_the_one_before_in_force(self):
        # Guards against a version that gives one key to two customers.
        self.publish_customers(HARBOUR, MILL)
        self.start()
        thief = {"name": "thief", "api_keys": ["k-mill"]}
        self.publish_customers(HARBOUR, MILL, thief)
        bringup.wait_until(
            lambda: "invalid configuration" in self.log_of("gateway-1"),
            what="the refusal",
        )
        self.assertEqual(200, self.status(0, "k-mill"))

    def test_deployments_without_customers_make_no_more_store_calls(self):
        # Guards against reads for keys that nobody has.
        self.publish(*ROUTES)
        calls = []
        for bounds in ({"strict_revoke": False}, {}):
            self.fronts.clear()
            # Confirmations this short would take several reads a second.
            self.start(2, revoke_ms=600, **bounds)
            time.sleep(1)
            before = self.set_store_mode("ok")
            time.sleep(4)
            calls.append(self.set_store_mode("ok") - before)
            for name in NAMES:
                self.dep.kill(name)
            time.sleep(2.5)
        without, bounded = calls
        self.assertLessEqual(bounded, 1.25 * without, calls)

    def test_keys_are_served_without_a_gap_while_nothing_fails(self):
        # Guards against reads that wait for a change until the last
        # confirmation is too old, and against updates that confirm nothing.
        self.publish_customers(HARBOUR, MILL)
        self.start(2, config_ms=3_000)
        end = time.monotonic() + 6
        while time.monotonic() < end:
            for number in range(2):
                self.assertEqual(200, self.status(number, "k-mill"))
            time.sleep(0.01)


class Removal(KeysCase):
    """A key that is removed while something fails."""

    def test_a_gateway_cut_off_from_everything_stops_in_time(self):
        # Guards against a removed key that runs at a gateway which doesn't
        # learn of it, for as long as the store is away.
        self.publish_customers(HARBOUR, MILL)
        self.start(2, is_apart=True)
        for mode in ("silent", "busy"):
            with self.subTest(mode):
                self.publish_customers(HARBOUR, MILL)
                for number in range(2):
                    self.wait_status(number, "k-mill", 200)
                self.cut_off(1, mode)
                removed_at = self.publish_customers(HARBOUR)
                self.check_ends_in_time(1, removed_at)
                answer = self.call(1, "k-harbour")
                self.assertEqual(503, answer.status_code)
                self.assertEqual("stale_keys", answer.json()["code"])
                self.assertIn("Retry-After", answer.headers)
                self.assertFalse(self.is_ready("gateway-2"))
                self.assertEqual(200, self.call(1, "", "/open/1").status_code)
                self.assertEqual(200, self.status(0, "k-harbour"))
                self.assertTrue(self.is_ready("gateway-1"))
                self.cut_off(1, "ok")
                self.wait_status(1, "k-harbour", 200)
                self.assertEqual(401, self.status(1, "k-mill"))
                self.assertTrue(self.is_ready("gateway-2"))
        # Each transition is logged once; lines are written with a delay.
        for text in ("requests with keys are refused", "keys are known again"):
            bringup.wait_until(
                lambda text=text: self.log_of("gateway-2").count(text) == 2,
                what=text,
            )

    def test_a_gateway_without_requests_logs_why_it_is_not_ready(self):
        # Guards against an instance that callers leave, and whose log doesn't
        # say why.
        self.publish_customers(HARBOUR)
        self.start()
        for mode, text in (
            ("busy", "keys are refused"),
            ("ok", "known again"),
        ):
            self.set_store_mode(mode)
            bringup.wait_until(
                lambda text=text: text in self.log_of("gateway-1"),
                REVOKE_MS / 1_000 + RECOVERY_SECONDS,
                text,
            )
            self.assertEqual(mode == "ok", self.is_ready("gateway-1"))

    def test_a_gateway_that_hears_others_goes_on_without_the_store(self):
        # Guards against a gateway that stops although its peers tell it in
        # time which keys are in force, or that serves what they removed.
        self.publish_customers(HARBOUR, MILL)
        self.start(2, config_ms=1_000)
        self.cut_off(1)
        time.sleep(REVOKE_MS / 1_000 + 0.5)
        self.assertEqual(200, self.status(1, "k-mill"))
        removed_at = self.publish_customers(HARBOUR)
        self.check_ends_in_time(1, removed_at)
        self.assertEqual(401, self.status(1, "k-mill"))
        self.assertEqual(200, self.status(1, "k-harbour"))

    def test_a_suspended_gateway_wakes_without_the_removed_key(self):
        # Guards against a gateway that begins, as it wakes, with the keys of
        # before.
        self.publish_customers(HARBOUR, MILL)
        self.start(2, is_apart=True)
        self.assertEqual(200, self.status(1, "k-mill"))
        self.dep.pause("gateway-2")
        # The read that waits now ends before the removal.
        time.sleep(1.5)
        self.publish_customers(HARBOUR)
        time.sleep(REVOKE_MS / 1_000 + SLACK_SECONDS)
        self.check_wakes_without_removed_key()
        self.wait_status(1, "k-harbour", 200)
        self.assertEqual(401, self.status(1, "k-mill"))

    def test_what_waited_in_a_socket_is_as_old_as_it_is(self):
        # Guards against a gateway that wakes, reads the updates of before the
        # removal, and takes them for new.
        self.publish_customers(HARBOUR, MILL)
        self.start(2, config_ms=1_000)
        time.sleep(2)
        self.dep.pause("gateway-2")
        time.sleep(1.5)
        for number in range(2):
            self.cut_off(number)
        removed_at = self.publish_customers(HARBOUR)
        time.sleep(REVOKE_MS / 1_000 + SLACK_SECONDS)
        self.check_wakes_without_removed_key()
        self.check_ends_in_time(1, removed_at)

    def check_wakes_without_removed_key(self):
        """Check requests that wait at the second gateway as it wakes."""
        statuses = []
        threads = [
            threading.Thread(
                target=lambda: statuses.append(self.status(1, "k-mill"))
            )
            for _ in range(4)
        ]
        for thread in threads:
            thread.start()
        time.sleep(SLACK_SECONDS)
        self.dep.resume("gateway-2")
        for thread in threads:
            thread.join()
        self.assertEqual(4, len(statuses))
        self.assertLessEqual(set(statuses), {401, 503})

    def test_a_suspended_gateway_without_the_store_serves_no_key(self):
        # Guards against an age that doesn't include the suspension.
        self.publish_customers(HARBOUR, MILL)
        self.start(2, is_apart=True)
        self.cut_off(1)
        self.dep.pause("gateway-2")
        removed_at = self.publish_customers(HARBOUR)
        time.sleep(REVOKE_MS / 1_000 + SLACK_SECONDS)
        self.dep.resume("gateway-2")
        self.check_ends_in_time(1, removed_at)
        self.assertEqual(200, self.status(0, "k-harbour"))

    def test_a_gateway_restarted_during_a_removal_serves_no_removed_key(self):
        # Guards against a process that begins with what another knew.
        self.publish_customers(HARBOUR, MILL)
        self.start(2)
        self.dep.kill("gateway-2")
        self.cut_off(1)
        removed_at = self.publish_customers(HARBOUR, MILL_WITHOUT_KEYS)
        self.dep.start("gateway-2")
        end = removed_at + REVOKE_MS / 1_000 + 1
        while time.monotonic() < end:
            with contextlib.suppress(httpx.HTTPError, socket.error):
                self.assertIn(self.status(1, "k-mill"), (401, 503))
            time.sleep(0.05)
        self.assertEqual(200, self.status(0, "k-harbour"))
        self.cut_off(1, "ok")
        self.wait_status(1, "k-harbour", 200)
        self.assertEqual(401, self.status(1, "k-mill"))
