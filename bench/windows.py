"""Counts in sliding windows of time."""

import bisect


def most_in_window(times, length):
    """Return the most of ``times``, in order, that any window has.

    A window has the given ``length`` and holds its start, not its end.
    """
    return max(
        (
            bisect.bisect_left(times, start + length) - place
            for place, start in enumerate(times)
        ),
        default=0,
    )
