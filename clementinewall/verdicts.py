"""Whether a request that failed may have run.

A verdict depends on how far the bytes came: an attempt that never reached an
endpoint is ``NOT_RUN``; one of which any byte was written without an answer
is ``MAY_HAVE_RUN``; one that was answered is ``RAN``.  A call that is not
idempotent may be retried only after ``NOT_RUN``.
"""

import enum


class Verdict(enum.Enum):
    """Whether a call that did not end with its answer has run."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Progress(enum.IntEnum):
    """How far an attempt came, in order."""

    NEVER_CONNECTED = 0
    NOTHING_SENT = 1
    SENT_IN_PART = 2
    SENT_WHOLE = 3
    REFUSED = 4
    ANSWERED = 5


_BY_PROGRESS = {
    Progress.NEVER_CONNECTED: Verdict.NOT_RUN,
    Progress.NOTHING_SENT: Verdict.NOT_RUN,
    # An endpoint may act on a request whose last bytes it never received, if
    # the part received suffices.  Counted as "not run", a booking would be
    # made twice.
    Progress.SENT_IN_PART: Verdict.MAY_HAVE_RUN,
    Progress.SENT_WHOLE: Verdict.MAY_HAVE_RUN,
    Progress.REFUSED: Verdict.NOT_RUN,
    Progress.ANSWERED: Verdict.RAN,
}


def verdict_of(progress):
    """Return the verdict for an attempt that ended at ``progress``."""
    return _BY_PROGRESS[progress]


def worst(first, second):
    """Return the combined verdict of two attempts of one request."""
    order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
    return max(first, second, key=order.index)


def may_retry(verdict, idempotent):
    """Tell whether another attempt is allowed."""
    return idempotent or verdict is Verdict.NOT_RUN
