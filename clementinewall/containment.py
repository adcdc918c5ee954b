"""Containment of exceptions that nobody expected.

All tasks of a gateway share a task group, so an exception that leaves one of
them ends the process.  What others write is read by every gateway, and one
record would end them all.  So a fault costs the step in which it came about:
a record, a poll, an engine.
"""

import contextlib

from clementinewall import logs
from clementinewall import metrics


@contextlib.contextmanager
def contained(part, step, **fields):
    """Log an unexpected exception with its traceback, and go on.

    ``part`` is the :class:`logs.PartLog` of the component, ``step`` says what
    is given up, and ``fields`` what it was about.
    """
    try:
        yield
    except Exception as exc:
        metrics.count("contained_faults", step=step)
        part.error(f"{step} failed unexpectedly", why=repr(exc), **fields)
        logs.traceback(part)
