"""Whether a request that failed may have run.

A verdict is decided where the bytes were: an attempt that never reached an
endpoint is ``NOT_RUN``; one of which any byte was written and no answer came
is ``MAY_HAVE_RUN``; one that was answered is ``RAN``.  Only ``NOT_RUN`` lets
a call that is not idempotent be tried again.
"""

import enum


class Verdict(enum.Enum):
    """What is known of a call that did not end with its answer."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Progress(enum.IntEnum):
    """How far an attempt came, in the order in which it gets there."""

    NEVER_CONNECTED = 0
    NOTHING_SENT = 1
    SENT_IN_PART = 2
    SENT_WHOLE = 3
    REFUSED = 4
    ANSWERED = 5


_BY_PROGRESS = {
    Progress.NEVER_CONNECTED: Verdict.NOT_RUN,
    Progress.NOTHING_SENT: Verdict.NOT_RUN,
    # An endpoint may act on a request whose last bytes it never got: the
    # body may have been whole for its purpose.  Calling this "not run"
    # would book twice.
    Progress.SENT_IN_PART: Verdict.MAY_HAVE_RUN,
    Progress.SENT_WHOLE: Verdict.MAY_HAVE_RUN,
    Progress.REFUSED: Verdict.NOT_RUN,
    Progress.ANSWERED: Verdict.RAN,
}


def verdict_of(progress):
    """Return the verdict for an attempt that ended at ``progress``."""
    return _BY_PROGRESS[progress]


def worst(first, second):
    """Return the verdict of two attempts of one request, taken together."""
    order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
    return max(first, second, key=order.index)


def may_retry(verdict, idempotent):
    """Tell whether another attempt keeps the promise of its kind."""
    return idempotent or verdict is Verdict.NOT_RUN
