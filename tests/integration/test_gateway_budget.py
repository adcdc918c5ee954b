"""The retry budget summed over gateways that are restarted."""

import time

from standins import bringup
from standins import scripted
from tests.integration import gateway_base

NAMES = ("gateway-1", "gateway-2", "gateway-3")
RATIO = 0.2
SLACK = 40
WINDOW_SECONDS = 60
REQUESTS = 30


def fail(_endpoint, request):
    """Answer with a failure after which a safe call is sent again."""
    yield scripted.answer(request, b"", 500)


class DeploymentBound(gateway_base.GatewayCase):
    """Three gateways whose endpoints fail every request."""

    def setUp(self):
        """Start endpoints and gateways."""
        super().setUp()
        self.publish(gateway_base.route("look", "app", "safe", max_attempts=3))
        self.endpoints = [self.endpoint(name, fail) for name in "abc"]
        self.fronts = [
            self.start_without_waiting(
                name,
                f"127.0.0.{number}",
                budget_ratio=RATIO,
                budget_slack=SLACK,
                budget_window_s=WINDOW_SECONDS,
            )
            for number, name in enumerate(NAMES, 1)
        ]
        self.wait()

    def wait(self):
        """Wait until all gateways serve."""
        for name in NAMES:
            bringup.wait_until(lambda: self.is_ready(name), what=name)

    def ask_all(self):
        """Send requests to the gateways in turn."""
        for number in range(REQUESTS):
            for front in self.fronts:
                self.ask(front, "/look/x", f"{front}-{number}", "GET")

    def test_restart_of_all_gateways_while_endpoints_fail(self):
        # Guards against restarted processes that each spend the whole slack
        # again, so that their sum exceeds the deployment's bound.
        start = time.monotonic()
        self.ask_all()
        for name in NAMES:
            self.dep.kill(name)
            self.dep.start(name)
        self.wait()
        self.ask_all()
        took = time.monotonic() - start
        self.assertLess(took, WINDOW_SECONDS, "the machine is too slow")
        requests = 2 * REQUESTS * len(NAMES)
        arrivals = sum(len(each.requests) for each in self.endpoints)
        extra = arrivals - requests
        self.assertLessEqual(extra, RATIO * requests + SLACK)
        self.assertGreater(extra, 0)
