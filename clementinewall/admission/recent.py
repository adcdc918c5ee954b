"""Recent admissions by service and group, of this gateway and its cell.

Counts decay exponentially, so that each group takes a few numbers however
many requests it sends.
"""

import math
import typing

from clementinewall import clock
from clementinewall import domain
from clementinewall.policy import room

# Counts fall to 37% in this time: long enough for some requests of each
# customer, short enough to follow a burst.
DECAY_MS = 5_000
# A report of a peer that is older says nothing of the load now.
MAX_REPORT_AGE_MS = 10_000
# Smaller counts are dropped.
MIN_COUNT = 0.02
# Bounds of the memory and of a report.
MAX_GROUPS = 300
MAX_REPORTED_GROUPS = 40
MAX_REPORTED_SERVICES = 8
MAX_COUNT = 1e6
# Entitlements change slowly; they are computed once in this time.
REFRESH_MS = 200


class Group(typing.NamedTuple):
    """A customer or caller, at one priority, at one service."""

    service: str
    owner: str
    priority: int


class Tally:
    """Decaying counts of one group or service."""

    __slots__ = ("admitted", "asked", "at", "lacking", "refused")

    def __init__(self, at):
        """Start at zero."""
        self.at = at
        self.asked = 0.0
        self.admitted = 0.0
        self.refused = 0.0
        # Requests for which there was no room in time.
        self.lacking = 0.0

    def decay(self, now):
        """Apply the time that passed."""
        factor = _decay(now - self.at)
        self.at = now
        self.asked *= factor
        self.admitted *= factor
        self.refused *= factor
        self.lacking *= factor


class _Report(typing.NamedTuple):
    at: clock.Millis
    totals_by_service: dict
    counts_by_group: dict


class Recent:
    """Counts requests here, and keeps what the peers of the cell reported."""

    def __init__(self, now):
        """Start without requests."""
        self._now = now
        self._tally_by_group = {}
        self._total_by_service = {}
        self._report_by_ip = {}
        self._computed_by_service = {}

    def record(self, group, is_admitted, is_lacking, is_new):
        """Count a request and the decision on it.

        One that was refused before isn't counted again as asked for.
        """
        now = self._now()
        if (
            group not in self._tally_by_group
            and len(self._tally_by_group) >= MAX_GROUPS
        ):
            self._drop_smallest(now)
        tally = self._tally_by_group.setdefault(group, Tally(now))
        total = self._total_by_service.setdefault(group.service, Tally(now))
        for counts in (tally, total):
            counts.decay(now)
            counts.asked += is_new
            counts.admitted += is_admitted
            counts.refused += not is_admitted
            counts.lacking += is_lacking and is_new

    def standing(self, group):
        """Return the group's :class:`room.Standing`."""
        _, standings = self._computed(group.service)
        key = group.owner, group.priority
        return standings.get(key, room.Standing())

    def load(self, service):
        """Return the :class:`room.Load` of a service."""
        return self._computed(service)[0]

    def _computed(self, service):
        now = self._now()
        at, load, standings = self._computed_by_service.get(
            service, (None, None, None)
        )
        if at is None or now - at >= REFRESH_MS:
            load, standings = self._compute(service, now)
            self._computed_by_service[service] = now, load, standings
        return load, standings

    def _compute(self, service, now):
        self._sweep(now)
        asked, admitted, refused, lacking = self._own_total(service)
        counts_by_key = {}
        for group, tally in self._tally_by_group.items():
            if group.service == service:
                key = group.owner, group.priority
                counts_by_key[key] = [tally.asked, tally.admitted]
        for report in self._report_by_ip.values():
            factor = _decay(now - report.at)
            total = report.totals_by_service.get(service)
            if total is not None:
                asked += factor * total[0]
                admitted += factor * total[1]
                refused += factor * total[2]
                lacking += factor * total[3]
            for group, counts in report.counts_by_group.items():
                if group.service == service:
                    key = group.owner, group.priority
                    sums = counts_by_key.setdefault(key, [0.0, 0.0])
                    sums[0] += factor * counts[0]
                    sums[1] += factor * counts[1]
        demands = [
            room.Demand(owner, priority, *sums)
            for (owner, priority), sums in counts_by_key.items()
        ]
        load = room.Load(
            min(1.0, lacking / max(1.0, asked)), refused / max(1.0, admitted)
        )
        return load, room.standings(demands)

    def _own_total(self, service):
        total = self._total_by_service.get(service)
        if total is None:
            return 0.0, 0.0, 0.0, 0.0
        return total.asked, total.admitted, total.refused, total.lacking

    def _sweep(self, now):
        """Decay all counts; drop those that are over."""
        for by_key in (self._tally_by_group, self._total_by_service):
            for key, tally in list(by_key.items()):
                tally.decay(now)
                if tally.asked + tally.refused < MIN_COUNT:
                    del by_key[key]
        for ip, report in list(self._report_by_ip.items()):
            if now - report.at > MAX_REPORT_AGE_MS:
                del self._report_by_ip[ip]

    def _drop_smallest(self, now):
        self._sweep(now)
        by_size = sorted(
            self._tally_by_group, key=lambda g: self._tally_by_group[g].asked
        )
        for group in by_size[: MAX_GROUPS // 10]:
            del self._tally_by_group[group]

    def report(self):
        """Return the counts as plain data, or ``None`` if there are none."""
        self._sweep(self._now())
        if not self._total_by_service:
            return None
        totals = {
            name: [round(count, 2) for count in self._own_total(name)]
            for name in list(self._total_by_service)[:MAX_REPORTED_SERVICES]
        }
        largest = sorted(
            self._tally_by_group.items(), key=lambda item: -item[1].asked
        )
        rows = [
            [*group, round(tally.asked, 2), round(tally.admitted, 2)]
            for group, tally in largest[:MAX_REPORTED_GROUPS]
        ]
        return [totals, rows]

    def take_report(self, ip, data):
        """Replace what a peer reported.

        :raises AttributeError, TypeError, ValueError: if malformed.
        """
        totals, rows = data
        if len(totals) > MAX_REPORTED_SERVICES:
            raise ValueError(f"counts of {len(totals)} services")
        if len(rows) > MAX_REPORTED_GROUPS:
            raise ValueError(f"counts of {len(rows)} groups")
        totals_by_service = {
            _text(name): [_count(value) for value in (a, b, c, d)]
            for name, (a, b, c, d) in totals.items()
        }
        counts_by_group = {}
        for service, owner, priority, asked, admitted in rows:
            if type(priority) is not int:
                raise ValueError(f"priority {priority!r}")
            group = Group(_text(service), _text(owner), priority)
            counts_by_group[group] = _count(asked), _count(admitted)
        self._report_by_ip[ip] = _Report(
            self._now(), totals_by_service, counts_by_group
        )


def _decay(passed_ms):
    return math.exp(-max(0, passed_ms) / DECAY_MS)


def _text(value):
    if type(value) is not str or len(value) > domain.MAX_TEXT:
        raise ValueError(f"name {value!r}")
    return value


def _count(value):
    if type(value) not in (int, float) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"count {value!r}")
    return float(value)
