"""The states of a process and the signals that change them."""

import enum
import os
import signal
import sys

import anyio

from clementinewall import errors
from clementinewall import logs
from clementinewall import signals

_log = logs.PartLog("life")

EXIT_SETTINGS = 2
EXIT_ABORTED = 3


class State(enum.Enum):
    """A state of the process between its start and its end."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "leaving"
    ENDED = "ended"


class Event(enum.Enum):
    """An event that may change the state."""

    STARTED = "started"
    STOP = "stop"
    ABORT = "abort"
    RELOAD = "reload"
    OTHER = "other signal"
    DRAINED = "drained"
    OUT_OF_TIME = "out of time"


_NEXT = {
    (State.STARTING, Event.STARTED): State.SERVING,
    (State.STARTING, Event.STOP): State.DRAINING,
    (State.STARTING, Event.ABORT): State.ENDED,
    (State.SERVING, Event.STOP): State.DRAINING,
    (State.SERVING, Event.ABORT): State.ENDED,
    (State.DRAINING, Event.ABORT): State.ENDED,
    (State.DRAINING, Event.DRAINED): State.ENDED,
    (State.DRAINING, Event.OUT_OF_TIME): State.ENDED,
}


def next_state(state, event):
    """Return the state after ``event``, ``state`` if it has no transition."""
    return _NEXT.get((state, event), state)


def event_of(number, interrupts):
    """Return the event of a signal; ``interrupts`` counts earlier SIGINTs."""
    if number == signal.SIGHUP:
        return Event.RELOAD
    if number == signal.SIGTERM:
        return Event.STOP
    if number == signal.SIGINT:
        return Event.ABORT if interrupts else Event.STOP
    return Event.OTHER


class Lifecycle:
    """The state of this process; ``draining`` is set when it has to stop.

    ``settings`` stay in effect until the process ends.
    """

    def __init__(self, inbox, settings, read_settings):
        """Read signals from ``inbox``.

        ``read_settings`` returns the present settings of the file, or raises
        :class:`errors.SettingsError`.
        """
        self.settings = settings
        self.state = State.STARTING
        self.draining = anyio.Event()
        self._inbox = inbox
        self._read_settings = read_settings
        self._interrupts = 0
        self._is_aborted = False

    async def watch(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Handle signals until one aborts the process.

        Signals that arrived earlier are handled before the task reports that
        it has started.
        """
        self._handle_signals()
        task_status.started()
        while not self._is_aborted:
            await anyio.wait_readable(self._inbox.descriptor)
            self._handle_signals()

    def _handle_signals(self):
        for number in self._inbox.read():
            event = event_of(number, self._interrupts)
            if number == signal.SIGINT:
                self._interrupts += 1
            self.handle_event(event, signals.name_of(number))

    def handle_event(self, event, by=None):
        """Apply an event; ``by`` names the signal that caused it, if any."""
        before = self.state
        self.state = next_state(before, event)
        fields = {"event": event.value, "state": self.state.value}
        if by is not None:
            fields["signal"] = by
        if self.state is not before:
            _log.info("state changed", before=before.value, **fields)
        else:
            _log.info("state unchanged", **fields)
        if self.state is State.DRAINING:
            self.draining.set()
        if event is Event.RELOAD:
            self._compare_settings()
        if event is Event.ABORT and before is not State.ENDED:
            _log.warning("stopped at once")
            self._is_aborted = True

    def _compare_settings(self):
        try:
            found = self._read_settings()
        except errors.SettingsError as exc:
            _log.warning(
                "settings file invalid; the present settings stay in effect",
                why=exc.message,
            )
            return
        if found == self.settings:
            _log.info("settings file unchanged")
        else:
            _log.info("settings file changed, in force at the next start")


def load(read_settings):
    """Return the settings for the start of a process.

    :raises SystemExit: with 2, after writing the mistakes to standard error.
    """
    try:
        return read_settings()
    except errors.SettingsError as exc:
        _fail(exc)


def run(serve, life, flush):
    """Run ``serve(life)``, which returns the event that ends the process.

    It is not called if the process was told to stop before.  ``flush()``
    writes the buffered log lines; an aborted process exits right after it,
    with 3.

    :raises SystemExit: with 2 if the settings turn out to be unusable, such
        as an address that is already in use.
    """
    try:
        anyio.run(_run, serve, life, flush)
    except BaseExceptionGroup as group:
        found, rest = group.split(errors.SettingsError)
        if rest is not None:
            raise
        _fail(*_leaves(found))
    finally:
        signals.ignore()
        flush()


async def _run(serve, life, flush):
    async with anyio.create_task_group() as group:
        await group.start(_watch, life, flush)
        end = Event.DRAINED
        if not life.draining.is_set():
            end = await serve(life)
        life.handle_event(end)
        group.cancel_scope.cancel()


async def _watch(life, flush, *, task_status):
    await life.watch(task_status=task_status)
    # Cancelled tasks may take seconds to end, while the operator who aborted
    # the process waits.
    flush()
    os._exit(EXIT_ABORTED)


def _fail(*found):
    for exc in found:
        sys.stderr.write(f"{exc.message}\n")
    raise SystemExit(EXIT_SETTINGS) from None


def _leaves(group):
    for exc in group.exceptions:
        if isinstance(exc, BaseExceptionGroup):
            yield from _leaves(exc)
        else:
            yield exc
