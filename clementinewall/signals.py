"""Handling of the operating system's signals.

Programs call :func:`catch` before they import the rest of the package, so
this module imports very little.  The handlers do nothing and stay installed
until the process ends; the numbers of the signals are kept in a pipe until an
event loop reads them.
"""

import os
import select
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
# Every signal whose default action ends a process, except SIGQUIT, which
# operators use for a core dump, those that report a fault, and the real-time
# signals: runtimes and libraries use them and install handlers of their own.
CAUGHT = tuple(
    getattr(signal, name) for name in _NAMES if hasattr(signal, name)
)
_READ_BYTES = 4_096


class Inbox:
    """The signals that arrived and are not read yet, in order."""

    def __init__(self):
        """Catch every signal of ``CAUGHT`` from now on."""
        self.descriptor, writer = os.pipe()
        os.set_blocking(self.descriptor, False)
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in CAUGHT:
            signal.signal(number, _do_nothing)

    def wait(self, seconds):
        """Wait until a signal has arrived, at most ``seconds``."""
        select.select([self.descriptor], [], [], seconds)

    def read(self):
        """Return the numbers of the signals that arrived, without waiting."""
        try:
            return list(os.read(self.descriptor, _READ_BYTES))
        except BlockingIOError:
            return []


def catch():
    """Install the handlers and return the inbox of the signals."""
    return Inbox()


def ignore():
    """Ignore the signals from now on until the process has exited.

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
