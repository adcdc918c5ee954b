"""Draining parts get no new work and appear in no new answers."""

import signal
import time

import httpx

from standins import bringup
from tests.integration import base
from tests.integration import callers


class DrainingTest(base.DeploymentCase):
    """Endpoints and entries that drain, stop or are killed."""

    def addresses(self, number):
        """Return the addresses that entry ``number`` answers with."""
        answer = httpx.get(self.url(number) + "/v1/addresses").json()
        return [row["address"] for row in answer["addresses"]]

    def test_a_draining_entry_is_in_no_new_answer(self):
        """Guards against sending callers to an entry that drains.

        The entry still serves for a while, and the instance list, which
        lags, still has it.
        """
        # Longer than the other entries take to remove the address on a busy
        # machine, so that the drain lasts until the stream below.
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

    def test_a_killed_entry_is_removed_from_answers(self):
        """An entry is killed and announces nothing."""
        self.bring_up(3, 1)
        gone = self.url(2).removeprefix("http://")
        self.dep.kill("entry-2")
        bringup.wait_until(
            lambda: gone not in self.addresses(1), 6, "the answers"
        )

    def test_a_draining_engine_gets_no_new_work_with_the_log_down(self):
        """Guards against new work for a draining engine in a log outage.

        The log goes down right after the drain was accepted.  Entries that
        have not read the record get it from peers, and the engine gets its
        order from its steward.
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
        """A second SIGINT skips the drain."""
        self.bring_up(2, 1)
        process = self.dep.process_by_name["entry-2"]
        process.send_signal(signal.SIGINT)
        time.sleep(0.2)
        process.send_signal(signal.SIGINT)
        self.assertEqual(3, self.dep.wait_end("entry-2", 5))
        self.assertIn("stopped at once", self.dep.log_of("entry-2"))

    def test_a_second_sigterm_does_not_shorten_the_drain(self):
        """The platform repeats SIGTERM while callers still connect."""
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
