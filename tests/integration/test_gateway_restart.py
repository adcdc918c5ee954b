"""All gateways are lost and start again, beside a store that is late."""

import threading
import time

import httpx

from standins import scripted
from tests.integration import gateway_base

GATEWAYS = 6
GAP_SECONDS = 0.1
PATH = "/look/x"


def answer_at_once(_endpoint, request):
    """Answer a call."""
    yield scripted.answer(request, b"done")


class RestartCase(gateway_base.GatewayCase):
    """Gateways that are killed together and started again together."""

    count = GATEWAYS

    def setUp(self):
        """Serve callers through all gateways."""
        super().setUp()
        self.publish(gateway_base.route("look", "app", "safe"))
        self.endpoint("one", answer_at_once)
        self.fronts = self.gateways(self.count)

    def check_served_in_time(self, mode="ok", **pace):
        """Restart all while the store is as told; check who serves when."""
        for name in self.listen_by_name:
            self.dep.process_by_name[name].kill()
            self.dep.wait_end(name)
        self.set_store_mode(mode, **pace)
        for name in self.listen_by_name:
            self.dep.start(name)
        start = time.monotonic()
        served = []
        threads = [
            threading.Thread(
                target=self._ask_until_served, args=(front, start, served)
            )
            for front in self.fronts
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual(len(served), self.count, served)

    def _ask_until_served(self, front, start, served):
        while (
            took := time.monotonic() - start
        ) < gateway_base.RECOVER_SECONDS:
            try:
                if self.ask(front, PATH, method="GET").status_code == 200:
                    served.append(round(took, 1))
                    return
            except httpx.TransportError:
                pass
            time.sleep(GAP_SECONDS)


class Restart(RestartCase):
    """A few gateways."""

    def test_a_store_that_answers_each_call_late(self):
        # Guards against answers of the store that are given up and asked for
        # again for as long as it is slow.
        self.check_served_in_time(delay_ms=900)

    def test_a_store_that_answers_each_call_very_late(self):
        # Guards against limits on calls of the store below what a start of
        # all can wait for.
        self.check_served_in_time(delay_ms=3_000)

    def test_a_store_that_works_off_few_calls_a_second(self):
        # Guards against repeated calls that keep a late store late.
        self.check_served_in_time(queued_per_second=8)

    def test_a_store_that_refuses_most_calls(self):
        # Guards against retries that use up the rate of calls of the store.
        self.check_served_in_time(limit_per_second=4)


class ManyRestart(RestartCase):
    """More gateways than the store answers within ten seconds each."""

    count = 24

    def test_a_store_that_the_calls_of_a_start_keep_busy(self):
        # Guards against calls that are given up and made anew for as long as
        # they keep the store busy, so that it never answers in time.
        self.check_served_in_time(queued_per_second=6)
