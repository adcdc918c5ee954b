"""What an entry that was asked to stop still takes."""

import time

import httpx

from standins import bringup
from tests.integration import base


def slow(dep):
    """Start a service that takes two seconds for a call."""
    dep.service("orders-1", "a", options=("--delay-ms=2000",))


class Draining(base.DeploymentCase):
    """One entry that drains for three seconds at most."""

    def ask(self, url):
        """Send one call on a connection of its own."""
        headers = {"X-Class": "lookup"}
        return httpx.get(url, headers=headers, timeout=10, trust_env=False)

    def test_a_call_longer_than_the_rest_of_a_stop_is_not_begun(self):
        self.bring_up(
            entries=1,
            stewards=1,
            prepare=slow,
            entry_1={"limits": {"drain_ms": 3_000}},
        )
        url = f"{self.url(1)}/services/{bringup.SERVICE}/x"
        first = base.Background(self.ask, [(url,)])
        time.sleep(0.5)
        self.dep.terminate("entry-1")
        time.sleep(1)
        # Taken before the keeping time of addresses is over.
        late = self.ask(url)
        self.assertEqual(late.status_code, 503)
        self.assertEqual(late.json()["verdict"], "not_run")
        ((_, answer),) = first.join()
        self.assertEqual(answer.status_code, 200)
