"""The states of a process and its signals."""

import itertools
import os
import signal
import unittest

import anyio

from clementinewall import errors
from clementinewall import lifecycle
from clementinewall import signals

Event = lifecycle.Event
State = lifecycle.State

# In the order of Event: started, stop, abort, reload, other, drained, out.
EXPECTED = {
    State.STARTING: (
        "serving leaving ended starting starting starting starting"
    ),
    State.SERVING: "serving leaving ended serving serving serving serving",
    State.DRAINING: "leaving leaving ended leaving leaving ended ended",
    State.ENDED: "ended ended ended ended ended ended ended",
}
ORDER = tuple(State)


class Handlers(unittest.TestCase):
    """Which signals the package takes for itself."""

    def test_real_time_signals_are_left_to_runtimes_and_libraries(self):
        real_time = set(range(signal.SIGRTMIN, signal.SIGRTMAX + 1))
        self.assertEqual(real_time & set(signals.CAUGHT), set())


class Transitions(unittest.TestCase):
    """``next_state`` over all pairs."""

    def test_each_pair(self):
        for state, row in EXPECTED.items():
            wanted = row.split()
            self.assertEqual(len(wanted), len(Event))
            for event, name in zip(Event, wanted, strict=True):
                with self.subTest(state=state, event=event):
                    found = lifecycle.next_state(state, event)
                    self.assertIs(found, State(name))

    def test_no_event_leads_back(self):
        for state, event in itertools.product(State, Event):
            after = lifecycle.next_state(state, event)
            self.assertGreaterEqual(ORDER.index(after), ORDER.index(state))

    def test_every_state_can_end(self):
        for state in State:
            events = (Event.STOP, Event.OUT_OF_TIME)
            for event in events:
                state = lifecycle.next_state(state, event)
            self.assertIs(state, State.ENDED)

    def test_only_a_second_interrupt_aborts(self):
        for number, earlier in itertools.product(signals.CAUGHT, range(3)):
            event = lifecycle.event_of(number, earlier)
            again = number == signal.SIGINT and earlier > 0
            self.assertEqual(event is Event.ABORT, again)

    def test_hang_up_and_unknown_signals_change_no_state(self):
        stops = (signal.SIGTERM, signal.SIGINT)
        for number, state in itertools.product(signals.CAUGHT, State):
            if number not in stops:
                event = lifecycle.event_of(number, 1)
                self.assertIs(lifecycle.next_state(state, event), state)


class Pipe:
    """Replaces the inbox; signals are written by the test."""

    def __init__(self, *numbers):
        """Hold these signals already."""
        self.descriptor, self._writer = os.pipe()
        self.send(*numbers)

    def send(self, *numbers):
        """Add signals."""
        self._pending = bytes(numbers)
        os.write(self._writer, self._pending)

    def read(self):
        """Return what was sent last."""
        if self._pending:
            os.read(self.descriptor, len(self._pending))
        pending, self._pending = self._pending, b""
        return list(pending)

    def close(self):
        """Close both ends."""
        os.close(self.descriptor)
        os.close(self._writer)


class LifecycleTest(unittest.TestCase):
    """A life cycle that gets signals."""

    def make(self, *numbers, read=lambda: "settings"):
        """Return a life cycle for which signals wait already."""
        self.pipe = Pipe(*numbers)
        self.addCleanup(self.pipe.close)
        return lifecycle.Lifecycle(self.pipe, "settings", read)

    def watched(self, life):
        """Return ``life`` after it handled what waits."""

        async def handle():
            async with anyio.create_task_group() as group:
                await group.start(life.watch)
                group.cancel_scope.cancel()

        anyio.run(handle)
        return life

    def test_signals_before_the_watch_are_handled(self):
        life = self.watched(self.make(signal.SIGHUP, signal.SIGTERM))
        self.assertIs(life.state, State.DRAINING)
        self.assertTrue(life.draining.is_set())

    def test_further_signals_do_not_drain_again(self):
        life = self.watched(self.make(signal.SIGTERM))
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
            self.pipe.send(number)
            self.watched(life)
            self.assertIs(life.state, State.DRAINING)

    def test_a_second_interrupt_ends_the_watch(self):
        life = self.make(signal.SIGINT, signal.SIGINT)
        anyio.run(life.watch)
        self.assertIs(life.state, State.ENDED)

    def test_started_after_a_stop_does_not_serve(self):
        life = self.watched(self.make(signal.SIGTERM))
        life.handle_event(Event.STARTED)
        self.assertIs(life.state, State.DRAINING)

    def test_an_invalid_file_keeps_the_settings(self):
        def read():
            raise errors.SettingsError("file: key: found 1, allowed is 2")

        life = self.watched(self.make(signal.SIGHUP, read=read))
        self.assertEqual(life.settings, "settings")
        self.assertIs(life.state, State.STARTING)

    def test_changed_settings_are_not_applied(self):
        make = self.make(signal.SIGHUP, read=lambda: "other")
        self.assertEqual(self.watched(make).settings, "settings")
