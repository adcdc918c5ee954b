"""Streams are complete despite faults of engines, entries and networks."""

import time

import httpx

from standins import bringup
from tests.integration import base
from tests.integration import callers


class EngineFaultsTest(base.DeploymentCase):
    """One faulty engine, one healthy one and one entry."""

    def bring_up_two(self, **engine_options):
        """Start engine-1, the faulty one, near the entry and engine-2 far."""

        def prepare(dep):
            dep.engine("engine-1", "a", **engine_options)
            dep.engine("engine-2", "b")

        self.bring_up(1, 1, prepare)

    def check_whole(self, prompt="a long history", tokens=12, count=4):
        """Stream ``count`` answers and check every position and text."""
        for number in range(count):
            text = f"{prompt} {number}"
            events = callers.stream(self.url(), text, tokens)
            self.assertEqual(
                callers.expected(text, tokens), callers.texts(events)
            )

    def test_repeated_positions_are_dropped(self):
        """Guards against duplicate text in an answer.

        An engine repeats positions that it sent before.
        """
        self.bring_up_two()
        self.dep.faults("engine-1", mode="double")
        self.check_whole()

    def test_a_gap_is_filled_from_another_engine(self):
        """Guards against answers that lack text unnoticed.

        An engine leaves a position out.
        """
        self.bring_up_two()
        self.dep.faults("engine-1", mode="gap")
        self.check_whole()

    def test_a_truncated_answer_is_resumed_elsewhere(self):
        """Guards against a truncated answer taken for a complete one.

        An engine closes the stream cleanly, but too early.
        """
        self.bring_up_two()
        self.dep.faults("engine-1", mode="truncate")
        self.check_whole()

    def test_a_stuck_engine_is_abandoned(self):
        """Guards against waiting for a stuck engine until the deadline.

        An engine accepts the request and then sends nothing.
        """

        def prepare(dep):
            dep.engine("engine-1", "a")
            dep.engine("engine-2", "b")
            dep.classes(
                quick={
                    "kind": "model",
                    "first_ms": 100,
                    "gap_ms": 100,
                    "deadline_ms": 20000,
                }
            )

        self.bring_up(1, 1, prepare)
        self.dep.faults("engine-1", mode="stuck")
        started = time.monotonic()
        for number in range(3):
            text = f"stuck {number}"
            events = callers.stream(self.url(), text, 5, {"X-Class": "quick"})
            self.assertEqual(callers.expected(text, 5), callers.texts(events))
        self.assertLess(time.monotonic() - started, 15)

    def test_a_killed_engine_does_not_end_its_streams(self):
        """Guards against broken answers when an engine's process is killed.

        The engine is in the middle of many streams.
        """
        self.bring_up_two(options=["--gap-ms=40"])
        work = base.Background(
            lambda n: callers.texts(
                callers.stream(self.url(), f"kill {n}", 40)
            ),
            [(n,) for n in range(8)],
        )
        time.sleep(0.8)
        self.dep.kill("engine-1")
        for (number,), events in work.join():
            self.assertEqual(callers.expected(f"kill {number}", 40), events)
        self.assertEqual([], work.errors)
        self.assertEqual(8, len(work.results))

    def test_a_connection_cut_in_an_event_is_resumed(self):
        """Guards against partial and lost events after a connection breaks.

        The connection is cut in the middle of an event.
        """

        def prepare(dep):
            dep.engine("engine-1", "a", options=["--gap-ms=20"])
            via = dep.proxy("proxy-1", dep.address_by_name["engine-1"])
            dep.fleet["endpoint"]["engine-1"]["address"] = via

        self.bring_up(1, 1, prepare)
        for after in (333, 777, 1234):
            self.dep.faults("proxy-1", mode="cut", after=after)
            work = base.Background(
                lambda n: callers.texts(
                    callers.stream(self.url(), f"cut {n}", 30)
                ),
                [(after,)],
            )
            time.sleep(0.4)
            self.dep.faults("proxy-1", mode="ok")
            for _, events in work.join():
                self.assertEqual(callers.expected(f"cut {after}", 30), events)
            self.assertEqual([], work.errors)


class EntryLostTest(base.DeploymentCase):
    """An entry is killed or paused while it serves callers."""

    def test_a_caller_resumes_at_another_entry(self):
        """Guards against repeated positions when a caller changes entries.

        The entry is killed in mid-stream; the caller sends its last position
        to another entry.
        """
        self.bring_up(2, 1)
        seen = []
        body = {
            "model": bringup.MODEL,
            "prompt": "entry lost",
            "max_tokens": 60,
            "stream": True,
        }
        try:
            for event in callers.iterate(self.url(1), "entry lost", 60):
                seen.append(event)
                if len(seen) == 10:
                    self.dep.kill("entry-1")
        except httpx.HTTPError:
            pass
        self.assertLess(len(seen), 61, body)
        position = seen[-1][0]
        rest = callers.stream(
            self.url(2),
            "entry lost",
            60,
            {"Last-Event-ID": str(position)},
        )
        self.assertEqual(
            callers.expected("entry lost", 60), callers.texts(seen + rest)
        )

    def test_a_paused_entry_delays_no_callers_of_others(self):
        """Callers of one entry are served while another is paused."""
        self.bring_up(2, 1)
        self.dep.pause("entry-1")
        events = callers.stream(self.url(2), "others", 10)
        self.assertEqual(callers.expected("others", 10), callers.texts(events))
        self.dep.resume("entry-1")
        events = callers.stream(self.url(1), "again", 10)
        self.assertEqual(callers.expected("again", 10), callers.texts(events))
