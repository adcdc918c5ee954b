"""Signals of the operating system, caught for the whole life of a process.

Programs call :func:`catch` before they import the rest of the package, so
this module imports next to nothing.  The handlers do no work and stay until
the process ends; what arrives is kept in a pipe until an event loop reads it.
"""

import os
import signal

_NAMES = (
    "SIGHUP",
    "SIGINT",
    "SIGTERM",
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGPROF",
    "SIGPOLL",
    "SIGPWR",
    "SIGSTKFLT",
)
# Every signal whose default action ends a process, but for SIGQUIT, which
# operators use for a core dump, those that tell of a fault, and the real-time
# signals: runtimes and libraries use them and install handlers of their own.
CAUGHT = tuple(
    getattr(signal, name) for name in _NAMES if hasattr(signal, name)
)
_READ_BYTES = 4_096


class Inbox:
    """Signals that arrived, in their order, until they are read."""

    def __init__(self):
        """Keep every signal of ``CAUGHT`` from now on."""
        self.descriptor, writer = os.pipe()
        os.set_blocking(self.descriptor, False)
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in CAUGHT:
            signal.signal(number, _do_nothing)

    def read(self):
        """Return the numbers of the signals that arrived, without waiting."""
        try:
            return list(os.read(self.descriptor, _READ_BYTES))
        except BlockingIOError:
            return []


def catch():
    """Return the inbox of this process's signals."""
    return Inbox()


def ignore():
    """Ignore the signals from now on, up to the exit of the process.

    The interpreter resets handlers to the default action while it exits, but
    leaves ignored signals alone.
    """
    for number in CAUGHT:
        signal.signal(number, signal.SIG_IGN)


def name_of(number):
    """Return the name of a signal, or its number where it has none."""
    try:
        return signal.Signals(number).name
    except ValueError:
        return str(number)


def _do_nothing(_number, _frame):
    pass
