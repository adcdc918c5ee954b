"""What a candidate knows of the counts of all gateways."""

import collections
import secrets

# Windows that are kept; reports are due long before.
KEEP_WINDOWS = 16
# Clocks of gateways differ a little.
MAX_AHEAD = 1
MAX_NAME = 200
MAX_COUNT = 2**53
ID_BYTES = 6


class _ProcessCounts:
    """The counts of one process in one window."""

    def __init__(self):
        self.count_by_customer = {}
        # How many customers there are in the end, once that is known, and
        # those whose final counts have come.  A customer may be known by
        # counts of the open window only.
        self.size = None
        self.final_names = set()

    @property
    def is_whole(self):
        return self.size is not None and self.size <= len(self.final_names)


class Ledger:
    """Adds up the counts; a sink of :class:`Collection`."""

    def __init__(self, window_clock):
        """Start without counts; ``window_clock`` tells which window it is."""
        self._clock = window_clock
        self._own_id = secrets.token_hex(ID_BYTES)
        # Counts by process, by address, by window.
        self._by_window = {}

    @property
    def first_window(self):
        """Return the first window of which anything is known, or ``None``."""
        return min(self._by_window, default=None)

    def take(self, ip, data):
        """Take in a message; return whether its window is known in full.

        :raises TypeError, ValueError: if malformed.
        """
        process_id, window, rows, size = data
        if type(window) is not int or not (size is None or type(size) is int):
            raise ValueError(f"counts of window {window!r}, size {size!r}")
        checked = [_row(row) for row in rows]
        reply = [self._own_id, str(process_id), window]
        current = self._clock.window()
        if window > current + MAX_AHEAD:
            raise ValueError(f"window {window} has not begun")
        self._forget_before(current - KEEP_WINDOWS)
        if window < current - KEEP_WINDOWS:
            return [*reply, True]
        processes = self._by_window.setdefault(window, {}).setdefault(
            ip, collections.OrderedDict()
        )
        counts = processes.setdefault(str(process_id), _ProcessCounts())
        known = counts.count_by_customer
        for name, count in checked:
            known[name] = max(count, known.get(name, 0))
        if size is not None:
            counts.size = size
            counts.final_names.update(name for name, _ in checked)
        return [*reply, counts.is_whole]

    def _forget_before(self, window):
        for old in [w for w in self._by_window if w < window]:
            del self._by_window[old]

    def totals(self, window):
        """Return the counts of a window by customer, sorted."""
        found = collections.Counter()
        for processes in self._by_window.get(window, {}).values():
            for counts in processes.values():
                found.update(counts.count_by_customer)
        return dict(sorted(found.items()))

    def is_complete(self, window, ips):
        """Return whether the gateways at ``ips`` told all of a window.

        Of a gateway that restarted the newest process counts: the ones before
        tell nothing more.
        """
        by_ip = self._by_window.get(window, {})
        for ip in ips:
            processes = by_ip.get(ip)
            if (
                not processes
                or not next(reversed(processes.values())).is_whole
            ):
                return False
        return True


def _row(row):
    name, count = row
    if type(name) is not str or not 0 < len(name) <= MAX_NAME:
        raise ValueError(f"{name!r} is no customer")
    if type(count) is not int or not 0 <= count < MAX_COUNT:
        raise ValueError(f"{count!r} is no count")
    return name, count
