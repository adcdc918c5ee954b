"""Whether the process at an endpoint's address is that of its record.

An endpoint may start again under its id and address, with other software,
before its new record is known.  Its connections end with its process, so an
open one shows that the process still runs.
"""

import enum
import typing

from clementinewall import clock

# A process that has ended is back after this time at the earliest.
MIN_RESTART_MS = 1_000


class Doubt(enum.Enum):
    """Which new connections may lead to another process than the record's."""

    NONE = "none"
    # Those that are opened after the process may have been replaced.
    RESTARTED = "restarted"
    EACH_CONNECTION = "each connection"


class Evidence(typing.NamedTuple):
    """What is known of the process of a record.

    ``is_connected`` tells whether a connection to it is open, ``seen_at``
    when it was last known to run, ``None`` if nothing but its record is known,
    and ``has_ended`` whether there is a sign
    that it has ended: its last connection was closed or a new one refused.
    """

    is_connected: bool
    seen_at: clock.Millis | None
    has_ended: bool


def needs_report(evidence, doubt, now):
    """Tell whether a new connection has to ask which process answers."""
    if doubt is not Doubt.RESTARTED:
        return doubt is Doubt.EACH_CONNECTION
    if evidence.has_ended:
        return True
    if evidence.is_connected or evidence.seen_at is None:
        return False
    return now - evidence.seen_at >= MIN_RESTART_MS
