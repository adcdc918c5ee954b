"""Bookings run at most once, and the verdict "not run" is true."""

import time

import httpx

from standins import bringup
from tests.integration import base
from tests.integration import callers


class BookingsTest(base.DeploymentCase):
    """Bookings resent through every entry while parts fail."""

    def runs(self, key, services=("orders-1", "orders-2")):
        """Return how often the services ran the key, as they counted it."""
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
        """Guards against running a booking once for each entry.

        A caller sends copies of its booking to all addresses at once.
        """
        self.bring_up()
        for number in range(5):
            answers = self.book_everywhere(f"same-{number}")
            self.assertEqual(1, self.runs(f"same-{number}"))
            self.assertEqual([200] * 3, [a.status_code for a in answers])
            self.assertEqual(1, len({a.text for a in answers}))

    def test_a_lost_answer_is_reported_as_may_have_run(self):
        """Guards against the verdict "not run" for a call that ran.

        The service runs the call, but its answer is lost.  On "not run" the
        caller would book again with a new key.
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

    def test_a_refused_call_is_retried_elsewhere(self):
        """One service endpoint refuses calls without running them."""
        self.bring_up()
        self.dep.faults("orders-1", mode="refuse")
        for number in range(4):
            answer = callers.book(self.url(1), f"refused-{number}")
            self.assertEqual(200, answer.status_code, answer.text)
            self.assertEqual(1, self.runs(f"refused-{number}"))

    def test_an_outage_of_the_log_refuses_as_not_run(self):
        """Guards against late or wrong refusals while the log is down.

        No intent can be committed: the verdict must be "not run", without
        delay, and the key must be usable once the log is back.
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

    def test_lost_append_answers_run_nothing_twice(self):
        """Guards against double runs and blocked keys after unknown appends.

        The log accepts every append, but its answers are lost.  The intent
        may be appended again or abandoned.
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

    def test_the_owner_is_killed_during_the_call(self):
        """Guards against a second run after the owner was killed.

        The entry that dispatched a booking leaves an intent without outcome.
        No entry may run it again, and callers must get the error at once,
        not at a deadline.
        """
        self.bring_up()
        for name in ("orders-1", "orders-2"):
            self.dep.faults(name, mode="stall")
        work = base.Background(
            callers.book, [(self.url(1), "died", "pears", 20.0)]
        )
        bringup.wait_until(lambda: self.runs("died") == 1, 10, "a run")
        home = self.owner_of("died")
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

    def test_a_resumed_owner_runs_nothing_twice(self):
        """Guards against a second run by an owner that was paused.

        Another entry acts as the owner meanwhile.  The paused one continues
        where it stopped, and must find that its intent is not the valid one.
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

    def test_keys_survive_the_replacement_of_all_entries(self):
        """Guards against a second run when no entry has the key in memory.

        Every entry is replaced in turn; a resend must get the kept answer.
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

    def test_a_ticket_expires_with_its_intent(self):
        """Guards against a second run after the log dropped the intent.

        The caller resends much later.  A plain key would be taken for new; a
        ticket must be refused as expired.
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
        """Guards against answering a second order with the first one's answer.

        A caller uses one key for two orders by mistake.
        """
        self.bring_up(2, 1)
        callers.book(self.url(1), "twice", "pears")
        answer = callers.book(self.url(2), "twice", "plums")
        self.assertEqual("key_reused", answer.json()["code"])

    def book_until_done(self, key):
        """Resend until answered with 200; return whether it was."""
        for _ in range(20):
            answer = callers.book(self.url(2), key)
            if answer.status_code == 200:
                return True
            time.sleep(0.3)
        return False

    def owner_of(self, key):
        """Return the entry that dispatched the booking of ``key``."""
        for name in self.entries:
            if "chose an endpoint" in self.dep.log_of(name):
                return name
        raise AssertionError(f"no entry dispatched {key}")


def _behind_proxies(dep):
    dep.engine("engine-1", "a")
    for number in (1, 2):
        name = f"orders-{number}"
        dep.service(name, "ab"[number - 1])
        via = dep.proxy(f"proxy-{number}", dep.address_by_name[name])
        dep.fleet["endpoint"][name]["address"] = via
