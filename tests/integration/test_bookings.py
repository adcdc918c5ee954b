"""Bookings run at most once; "not run" is true."""

import time

import httpx

from standins import bringup
from tests.integration import base
from tests.integration import callers


class BookingsTest(base.DeploymentCase):
    """Resends through every entry, under failures."""

    def runs(self, key, services=("orders-1", "orders-2")):
        """Return how often the services ran the key, by their own count."""
        return sum(
            self.dep.ask(name, "/executions").get(f"clinic/{key}", 0)
            for name in services
        )

    def book_everywhere(self, key):
        """Send the same booking through every entry at the same time."""
        urls = [self.url(n + 1) for n in range(len(self.entries))]
        work = base.Background(callers.book, [(url, key) for url in urls])
        work.join()
        return [answer for _, answer in work.results]

    def test_copies_at_the_same_time_run_once(self):
        """A caller in doubt sends its booking to all addresses at once.

        Two entries that both ran it would bill the pears twice.
        """
        self.bring_up()
        for number in range(5):
            answers = self.book_everywhere(f"same-{number}")
            self.assertEqual(1, self.runs(f"same-{number}"))
            self.assertEqual([200] * 3, [a.status_code for a in answers])
            self.assertEqual(1, len({a.text for a in answers}))

    def test_a_lost_answer_is_not_called_not_run(self):
        """The service runs the call, then its answer is lost.

        Told "not run", the caller would book again under a new key.
        """
        self.bring_up(prepare=_behind_proxies)
        self.dep.faults("orders-1", mode="stall")
        self.dep.faults("orders-2", mode="stall")
        work = base.Background(
            callers.book, [(self.url(1), "lost", "pears", 20.0)]
        )
        bringup.wait_until(
            lambda: self.runs("lost") == 1, 10, "the service's run"
        )
        self.dep.faults("proxy-1", mode="refuse")
        self.dep.faults("proxy-2", mode="refuse")
        work.join()
        answer = work.results[0][1]
        self.assertEqual("may_have_run", answer.json()["verdict"])
        self.dep.faults("proxy-1", mode="ok")
        self.dep.faults("proxy-2", mode="ok")
        again = callers.book(self.url(2), "lost")
        self.assertEqual("booking_in_doubt", again.json()["code"])
        self.assertEqual(1, self.runs("lost"))

    def test_a_refusal_is_tried_elsewhere(self):
        """One service endpoint refuses before it runs anything."""
        self.bring_up()
        self.dep.faults("orders-1", mode="refuse")
        for number in range(4):
            answer = callers.book(self.url(1), f"refused-{number}")
            self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(1, self.runs(f"refused-{number}"))

    def test_an_outage_of_the_log_refuses_as_not_run(self):
        """The log is down, so no intent can be announced.

        The refusal says "not run", comes at once, and the key is free
        again afterwards.
        """
        self.bring_up()
        callers.book(self.url(1), "before")
        self.dep.faults("log", mode="down")
        started = time.monotonic()
        answer = callers.book(self.url(1), "outage")
        self.assertLess(time.monotonic() - started, 4.5)
        self.assertEqual("not_run", answer.json()["verdict"], answer.text)
        self.assertIn("retry-after", answer.headers)
        self.assertEqual(0, self.runs("outage"))
        self.dep.faults("log", mode="ok")
        self.assertTrue(self.book_until_done("outage"))
        self.assertEqual(1, self.runs("outage"))

    def test_lost_append_answers_double_nothing(self):
        """The log takes every append, but its answers are lost.

        Appending an intent again must not run its call twice, and giving
        it up must not leave the key blocked.
        """
        self.bring_up()
        self.dep.faults("log", mode="lose_answers")
        first = callers.book(self.url(1), "silent")
        self.dep.faults("log", mode="ok")
        if first.status_code != 200:
            self.assertEqual("not_run", first.json()["verdict"])
            self.assertEqual(0, self.runs("silent"))
        self.assertTrue(self.book_until_done("silent"))
        self.assertEqual(1, self.runs("silent"))

    def test_the_home_entry_dies_under_the_call(self):
        """The entry that dispatched a booking is killed before its end.

        Its intent stays behind without an outcome; nobody may run it again,
        and the caller must hear so at once, not at a deadline.
        """
        self.bring_up()
        for name in ("orders-1", "orders-2"):
            self.dep.faults(name, mode="stall")
        work = base.Background(
            callers.book, [(self.url(1), "died", "pears", 20.0)]
        )
        bringup.wait_until(lambda: self.runs("died") == 1, 10, "a run")
        home = self.home_of("died")
        self.dep.kill(home)
        for name in ("orders-1", "orders-2"):
            self.dep.faults(name, mode="ok")
        left = [n for n in (1, 2, 3) if f"entry-{n}" != home]
        time.sleep(2.5)
        for number in left:
            answer = callers.book(self.url(number), "died")
            self.assertEqual(409, answer.status_code, answer.text)
            self.assertEqual("may_have_run", answer.json()["verdict"])
        self.assertEqual(1, self.runs("died"))
        work.join()

    def test_a_paused_home_runs_nothing_when_it_wakes(self):
        """The home entry is paused; another acts in its place.

        When the first one wakes it goes on where it stood, and must find
        that its call is no longer its own.
        """
        self.bring_up()
        callers.book(self.url(1), "warm")
        for number in range(6):
            key = f"paused-{number}"
            name = self.entries[number % 3]
            self.dep.pause(name)
            other = (number + 1) % 3 + 1
            answer = callers.book(self.url(other), key)
            self.dep.resume(name)
            self.assertEqual(200, answer.status_code, answer.text)
            self.book_everywhere(key)
            self.assertEqual(1, self.runs(key))

    def test_keys_outlive_the_replacement_of_all_entries(self):
        """Every entry is replaced, one at a time; all memory is new.

        A resend must get the kept answer and no second run.
        """
        self.bring_up(2, 1)
        first = callers.book(self.url(1), "kept")
        for name in self.entries:
            self.dep.terminate(name)
            self.assertEqual(0, self.dep.wait_end(name))
            self.dep.start(name)
            self.dep.wait_ready([name])
        again = callers.book(self.url(1), "kept")
        self.assertEqual(first.text, again.text)
        self.assertEqual("1", again.headers["x-kept-answer"])
        self.assertEqual(1, self.runs("kept"))

    def test_a_ticket_outlives_the_log(self):
        """The log drops the intent; the caller resends much later.

        A plain key would be taken for new and run again.
        """
        self.bring_up(1, 1)
        answer = httpx.post(
            self.url() + "/v1/tickets", headers={"X-Caller": "clinic"}
        )
        ticket = answer.json()["idempotency_key"]
        self.assertEqual(200, callers.book(self.url(), ticket).status_code)
        self.dep.http.post(
            f"http://{self.dep.address_by_name['log']}/trim",
            json={"keep": 0},
        )

        def expired():
            again = callers.book(self.url(), ticket)
            return again.status_code == 410 and again

        again = bringup.wait_until(expired, 5, "the expiry")
        self.assertEqual("may_have_run", again.json()["verdict"])
        self.assertEqual(1, self.runs(ticket))

    def test_a_key_for_another_request_is_refused(self):
        """A caller uses a key twice by mistake, for two orders.

        Giving the first order's answer would lose the second unseen.
        """
        self.bring_up(2, 1)
        callers.book(self.url(1), "twice", "pears")
        answer = callers.book(self.url(2), "twice", "plums")
        self.assertEqual("key_reused", answer.json()["code"])

    def book_until_done(self, key):
        """Resend as a caller does, following the verdicts."""
        for _ in range(20):
            answer = callers.book(self.url(2), key)
            if answer.status_code == 200:
                return True
            time.sleep(0.3)
        return False

    def home_of(self, key):
        """Return the entry that dispatched the booking of ``key``."""
        for name in self.entries:
            if "chose an endpoint" in self.dep.log_of(name):
                return name
        raise AssertionError(f"nobody dispatched {key}")


def _behind_proxies(dep):
    dep.engine("engine-1", "a")
    for number in (1, 2):
        name = f"orders-{number}"
        dep.service(name, "ab"[number - 1])
        via = dep.proxy(f"proxy-{number}", dep.address_by_name[name])
        dep.fleet["endpoint"][name]["address"] = via
