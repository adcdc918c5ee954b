"""What is leaving gets no new work and is in no new answer."""

import signal
import time

import httpx

from standins import bringup
from tests.integration import base
from tests.integration import callers


class LeavingTest(base.DeploymentCase):
    """Leaving endpoints and instances."""

    def addresses(self, number):
        """Return the addresses that entry ``number`` names."""
        answer = httpx.get(self.url(number) + "/v1/addresses").json()
        return [row["address"] for row in answer["addresses"]]

    def test_a_leaving_entry_is_in_no_new_answer(self):
        """An entry is asked to stop and goes on serving for a while.

        The instance list still shows it, as it always lags.
        """
        # Callers keep this answer longer than the others take to drop it on
        # a busy machine, so that one still comes afterwards.
        limits = {"keep_addresses_ms": 5_000}
        self.bring_up(3, 1, entry_2={"limits": limits})
        gone = self.url(2).removeprefix("http://")
        self.assertIn(gone, self.addresses(1))
        self.dep.terminate("entry-2")
        bringup.wait_until(
            lambda: (
                gone not in self.addresses(1) and gone not in self.addresses(3)
            ),
            1.5,
            "the answers without it",
        )
        events = callers.stream(self.url(2), "kept answer", 5)
        self.assertEqual(
            callers.expected("kept answer", 5), callers.texts(events)
        )
        self.assertEqual(0, self.dep.wait_end("entry-2"))

    def test_a_killed_entry_leaves_the_answers(self):
        """An entry dies without a word."""
        self.bring_up(3, 1)
        gone = self.url(2).removeprefix("http://")
        self.dep.kill("entry-2")
        bringup.wait_until(
            lambda: gone not in self.addresses(1), 6, "the answers"
        )

    def test_a_draining_engine_gets_no_new_work_with_the_log_down(self):
        """The log goes down right after the drain was accepted.

        Some entries may not have read the record yet; they get it from
        their peers, and the engine itself is told by its steward.
        """
        self.bring_up()
        self.dep.operate("drain", "engine-1")
        self.dep.faults("log", mode="down")
        time.sleep(3.0)
        before = self.dep.ask("engine-1", "/state")["arrived"]
        for number in range(9):
            text = f"after {number}"
            events = callers.stream(self.url(number % 3 + 1), text, 4)
            self.assertEqual(callers.expected(text, 4), callers.texts(events))
        after = self.dep.ask("engine-1", "/state")["arrived"]
        self.assertEqual(before, after)

    def test_a_second_interrupt_ends_at_once(self):
        """An operator has no time to wait for the streams."""
        self.bring_up(2, 1)
        process = self.dep.process_by_name["entry-2"]
        process.send_signal(signal.SIGINT)
        time.sleep(0.2)
        process.send_signal(signal.SIGINT)
        self.assertEqual(3, self.dep.wait_end("entry-2", 5))
        self.assertIn("stopped at once", self.dep.log_of("entry-2"))

    def test_a_second_term_does_not_shorten_the_drain(self):
        """The platform repeats SIGTERM while callers still come."""
        self.bring_up(2, 1)
        self.dep.terminate("entry-2")
        time.sleep(0.2)
        self.dep.terminate("entry-2")
        events = callers.stream(self.url(2), "after both", 5)
        self.assertEqual(
            callers.expected("after both", 5), callers.texts(events)
        )
        self.assertEqual(0, self.dep.wait_end("entry-2", 5))
        self.assertNotIn("stopped at once", self.dep.log_of("entry-2"))
