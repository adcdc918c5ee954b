"""The requests that began through this gateway, by window and customer."""

import collections
import secrets

# Rows of a message: so many names fit into one datagram with ease.
MAX_ROWS = 40
# A window that no candidate took over in this time is reported without it.
KEEP_WINDOWS = 6
ID_BYTES = 6


class Counter:
    """Counts, and hands over the counts to the candidates.

    Counts are totals of a window, so that a message that comes twice or late
    changes nothing.  It is a source of :class:`Collection`.
    """

    def __init__(self, window_clock):
        """Start in the current window."""
        self._clock = window_clock
        self._process_id = secrets.token_hex(ID_BYTES)
        self._current = window_clock.window()
        self._first = self._current
        self._counts_by_window = collections.defaultdict(collections.Counter)
        # Windows whose final counts a candidate has, by its address.
        self._confirmed_by_ip = collections.defaultdict(set)
        self._candidate_by_ip = {}
        self._is_closed = False

    def count(self, customer):
        """Count a request of a customer that an endpoint began to run."""
        self._counts_by_window[self._window()][customer.name] += 1

    def _window(self):
        """Return the current window, which a small correction can't end.

        The counts of the one before may have been handed over as final.
        """
        window = self._clock.window()
        if window != self._current - 1:
            self._current = window
        # Counts began before the clock was set back.
        self._first = min(self._first, self._current)
        return self._current

    def close(self):
        """End the current window, as no further request will begin."""
        self._is_closed = True

    def messages(self, ip):
        """Return what the candidate at ``ip`` lacks, as plain data."""
        current = self._window()
        oldest = max(self._first, current - KEEP_WINDOWS)
        self._forget_before(oldest)
        confirmed = self._confirmed_by_ip[ip]
        found = []
        for window in range(oldest, current + 1):
            if window not in confirmed:
                found += self._rows(window, current)
        return found

    def _rows(self, window, current):
        """Return the messages of a window; the last item names its size."""
        counts = self._counts_by_window.get(window, {})
        is_final = window < current or self._is_closed
        size = len(counts) if is_final else None
        rows = sorted(counts.items())
        starts = range(0, len(rows), MAX_ROWS) or (0,)
        return [
            [self._process_id, window, rows[at : at + MAX_ROWS], size]
            for at in starts
        ]

    def confirm(self, ip, data):
        """Record which windows the candidate at ``ip`` has in full.

        :raises TypeError, ValueError: if malformed.
        """
        candidate_id, process_id, window, is_whole = data
        if self._candidate_by_ip.get(ip) != candidate_id:
            # It has restarted and knows nothing of before.
            self._candidate_by_ip[ip] = candidate_id
            self._confirmed_by_ip[ip].clear()
        if process_id == self._process_id and is_whole is True:
            self._confirmed_by_ip[ip].add(int(window))

    def _forget_before(self, window):
        for old in [w for w in self._counts_by_window if w < window]:
            del self._counts_by_window[old]
        for confirmed in self._confirmed_by_ip.values():
            confirmed.difference_update([w for w in confirmed if w < window])
