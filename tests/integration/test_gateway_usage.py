"""Usage reports by real gateways to a stand-in of the duty service.

All counts are compared with what the endpoints began to run.
"""

import collections
import signal
import threading
import time

import httpx

from standins import bringup
from standins import scripted
from tests.integration import gateway_base
from tests.integration import test_gateway_streams

WINDOW_SECONDS = 2
# A window is due so long after its end; the page allows this.
DUE_SECONDS = 10
CUSTOMERS = {"anna": "key-of-anna", "bert": "key-of-bert"}
# Until the next one in line acts for a holder that was lost: the read of its
# claim, the wait, and the steps between them.
TAKEOVER_SECONDS = 25


def answer(_endpoint, request):
    """Answer a call, refuse it or break off, as its path says."""
    if request.target.endswith("/refuse"):
        yield scripted.answer(request, b"", 503, Not_Executed="1")
    elif request.target.endswith("/break"):
        yield scripted.RESET
    else:
        yield scripted.answer(request, b"done")


def stream(_endpoint, request):
    """Answer with a stream of three events."""
    yield scripted.stream_head(request)
    for number in (1, 2, 3):
        yield scripted.chunk(scripted.event(number))
    yield scripted.chunk(b"")


class Usage(gateway_base.GatewayCase):
    """Three gateways, an endpoint, engines and the duty service."""

    tenants = [
        {"name": name, "api_keys": [key]} for name, key in CUSTOMERS.items()
    ]

    def setUp(self):
        """Start all and wait for the first report."""
        super().setUp()
        self.duties = self.dep.standin("duties", "duties")
        bringup.wait_until(
            lambda: self._accepts_connections(self.duties), what="duties"
        )
        self.cloud = {"address": self.duties, "duties": ["usage_report"]}
        self.publish(
            gateway_base.route("look", "app", "safe"),
            gateway_base.route("talk", "model", "stream"),
        )
        self.endpoint("one", answer)
        self.engine("decoder", stream)
        self.engine("prefill", answer, stage="prefill")
        self.fronts = self.gateways(3, report_window_s=WINDOW_SECONDS)
        self.began = collections.Counter()
        bringup.wait_until(self.calls, TAKEOVER_SECONDS, "the first report")

    def duty(self, path, **body):
        """Ask the duty service something, or tell it something."""
        where = f"http://{self.duties}/standin/{path}"
        if body:
            return self.http.post(where, json=body).json()
        return self.http.get(where).json()

    def calls(self):
        """Return the calls that the duty service got."""
        return self.duty("calls")

    def holder(self):
        """Return the gateway that called last."""
        return self.calls()[-1]["holder"]

    def use(self, front=0, calls=3):
        """Make calls of both customers through a gateway."""
        for number in range(calls):
            for name, key in CUSTOMERS.items():
                got = self.ask(
                    self.fronts[front],
                    "/look/x",
                    f"{name}{number}",
                    Credential=key,
                )
                self.assertEqual(got.status_code, 200, got.text)
                self.began[name] += 1

    def reports(self):
        """Return the counts by window of reports that were carried out."""
        return {
            call["body"]["window"]: call["body"]["counts"]
            for call in self.calls()
            if call["mode"] not in ("busy", "down")
        }

    def totals(self):
        """Return the reported counts of all windows by customer."""
        found = collections.Counter()
        for counts in self.reports().values():
            found.update(counts)
        return found

    def missing(self):
        """Return the windows without a report between those with one."""
        windows = self.reports().keys()
        return sorted(set(range(min(windows), max(windows))) - windows)

    def check(self, seconds=TAKEOVER_SECONDS):
        """Wait for all reports; check that they match and nothing is amiss.

        After failures the newest reports come first and the others one by
        one at the rate allowed, so that empty windows may follow the counts.
        """
        try:
            bringup.wait_until(
                lambda: self.totals() == self.began and not self.missing(),
                seconds,
                "all reports",
            )
        except TimeoutError:
            self.fail(
                f"reported {self.totals()} of {self.began}, "
                f"windows {self.missing()} are missing"
            )
        time.sleep(1)
        self.assertEqual(self.totals(), self.began)
        self.assertEqual(self.duty("violations"), [])
        self.assertEqual(self.missing(), [])

    def test_counts_arrive_once_and_in_time(self):
        # Guards against counts that are lost, doubled or late.
        for front in range(3):
            self.use(front)
        for name, key in CUSTOMERS.items():
            got = self.ask(
                self.fronts[0],
                "/talk/x",
                name,
                Credential=key,
                **test_gateway_streams.MODEL_HEADERS,
            )
            self.assertEqual(got.status_code, 200, got.text)
            self.assertEqual(
                test_gateway_streams.positions(got.content), [1, 2, 3]
            )
            self.began[name] += 1
        self.check(WINDOW_SECONDS + DUE_SECONDS)
        ends = [w * WINDOW_SECONDS for w in self.reports()]
        self.assertLess(time.time() - max(ends), 2 * DUE_SECONDS)
        self.assertEqual(len({c["holder"] for c in self.calls()}), 1)

    def test_requests_with_an_unknown_key_count_for_nobody(self):
        # Guards against counts of requests that nobody is charged for.
        got = self.ask(self.fronts[0], "/look/x", Credential="unknown")
        self.assertEqual(got.status_code, 401)
        self.use()
        self.check(WINDOW_SECONDS + DUE_SECONDS)

    def test_calls_count_when_they_may_have_run(self):
        # Guards against counts of calls that no endpoint ran, and against
        # none of calls that broke off.
        for path, status, count in (("refuse", 503, 0), ("break", 502, 1)):
            for name, key in CUSTOMERS.items():
                got = self.ask(
                    self.fronts[0], f"/look/{path}", path, Credential=key
                )
                self.assertEqual(got.status_code, status, got.text)
                self.began[name] += count
        self.use(calls=1)
        self.check(WINDOW_SECONDS + DUE_SECONDS)

    def test_holder_killed_between_write_and_answer(self):
        # Guards against a second, different report by the next holder.
        self.duty("mode", mode="silent")
        self.use(2)
        count = len(self.calls())
        bringup.wait_until(
            lambda: any(c["body"]["counts"] for c in self.calls()[count:]),
            what="a report that gets no answer",
        )
        self.dep.kill(self.holder())
        self.use(2)
        self.duty("mode", mode="ok")
        self.check()
        self.assertEqual(len({c["holder"] for c in self.calls()}), 2)

    def test_holder_killed_before_its_write(self):
        # Guards against counts that only the holder knew of, its own first.
        holder = self.holder()
        self.set_store_mode("busy")
        self.use(2)
        self.use(int(holder[-1]) - 1)
        time.sleep(WINDOW_SECONDS + 1)
        self.dep.kill(holder)
        self.set_store_mode("ok")
        self.check()

    def test_restarted_holder(self):
        # Guards against reports without what the holder itself counted
        # before it was restarted.
        holder = self.holder()
        self.use(int(holder[-1]) - 1)
        # Its counts are handed over every second.
        time.sleep(1.2)
        self.dep.kill(holder)
        self.dep.wait_end(holder)
        self.dep.start(holder)
        self.check()

    def test_paused_holder(self):
        # Guards against calls of a holder that was suspended meanwhile.
        holder = self.holder()
        self.use((int(holder[-1])) % 3)
        self.dep.pause(holder)
        bringup.wait_until(
            lambda: self.holder() != holder, TAKEOVER_SECONDS, "a new holder"
        )
        count = len(self.calls())
        self.dep.resume(holder)
        self.check()
        self.assertNotIn(holder, {c["holder"] for c in self.calls()[count:]})

    def test_service_that_fails_in_each_way(self):
        # Guards against windows that are given up while the service fails.
        for mode in ("down", "slow", "busy", "garbled", "silent"):
            self.duty("mode", mode=mode, delay_ms=1_000)
            self.use(calls=1)
            time.sleep(WINDOW_SECONDS + 1)
        self.duty("mode", mode="ok")
        self.check()

    def test_counting_gateway_is_killed(self):
        # Guards against the loss of counts that were handed over.
        self.use(2)
        time.sleep(1.2)
        self.dep.kill("gateway-3")
        self.check()

    def test_stopping_gateway_hands_over_its_last_counts(self):
        # Guards against the loss of what began in the last second of a stop.
        self.use(2)
        self.terminate("gateway-3")
        served = 0
        while self.is_served(served):
            served += 1
            self.began["anna"] += 1
        self.assertGreater(served, 10)
        self.dep.wait_end("gateway-3")
        self.check()

    def is_served(self, number):
        """Return whether the third gateway still serves a call."""
        try:
            got = self.ask(
                self.fronts[2],
                "/look/x",
                f"last{number}",
                Credential=CUSTOMERS["anna"],
                Deadline_Ms="200",
            )
        except httpx.TransportError:
            return False
        return got.status_code == 200

    def test_stopping_holder_hands_over_the_duties(self):
        # Guards against windows that are missed by a planned stop.
        holder = self.holder()
        self.use()
        self.terminate(holder)
        self.dep.wait_end(holder)
        front = int(holder[-1]) % 3
        self.use(front)
        self.check()
        self.assertNotEqual(self.holder(), holder)

    def test_store_that_refuses_for_a_while(self):
        # Guards against windows that are given up while the store fails.
        self.set_store_mode("busy")
        self.use()
        time.sleep(8)
        self.set_store_mode("ok")
        self.use()
        self.check()

    def test_pauses_of_the_holder_at_random_times(self):
        # Guards against a pause between the check of the lease and the call.
        for length in (0.3, 2.1, 2.6, 3.2):
            self.use(calls=1)
            holder = self.holder()
            process = self.dep.process_by_name[holder]
            process.send_signal(signal.SIGSTOP)
            timer = threading.Timer(
                length, process.send_signal, [signal.SIGCONT]
            )
            timer.start()
            timer.join()
            time.sleep(length % 1)
        self.check()
