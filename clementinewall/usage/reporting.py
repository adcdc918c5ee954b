"""Reports the usage of each window, as the gateway that has the duties.

What is reported of a window is first written under the lease, and only what
is written is sent.  Whoever sends a report, however often, sends the same.
"""

import collections
import json
import typing

import anyio

from clementinewall import clock
from clementinewall import errors
from clementinewall import logs
from clementinewall import metrics
from clementinewall.platform import duty_calls
from clementinewall.platform import records

_log = logs.PartLog("usage")

VALUE_KEY = "usage"
POLL_INTERVAL_MS = 250
# Time for the last counts of a window to arrive.
MIN_WAIT_MS = 500
# A gateway that is silent or late is waited for this long after the end.
MAX_WAIT_MS = 6_000
# Windows in the record, and those not accepted yet: a new holder sends them
# once more.
KEEP_DECIDED = 4
# Later reports are of no use to anybody.
GIVE_UP_MS = 30_000
RETRY_MS = 300
MAX_RETRY_MS = 2_000


class Report(typing.NamedTuple):
    """What is reported of a window."""

    window: int
    count_by_customer: dict[str, int]


class UsageReporter:
    """Decides windows and sends their reports."""

    def __init__(self, holder, client, ledger, window_clock, live_ips, ticker):
        """Report what ``ledger`` knows, by ``client``, under ``holder``.

        ``live_ips()`` returns the addresses of the gateways that may have
        counts.
        """
        self._holder = holder
        self._client = client
        self._ledger = ledger
        self._windows = window_clock
        self._live_ips = live_ips
        self._clock = ticker
        # Reports as written to the store, and which of them were accepted.
        self._report_by_window = {}
        self._accepted = set()
        self._tries_by_window = collections.Counter()
        self._known_value = None
        # Windows before may have been decided in a record that can't be read.
        self._first_undecided = 0
        self._retry_ms = RETRY_MS
        self._retry_at = 0

    async def run(self):
        """Poll until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))

    async def poll(self):
        """Decide the windows that are due, then send what isn't accepted."""
        if self._clock.now() < self._retry_at:
            return
        self._apply_record()
        due = self._due_windows()
        # A standby doesn't know what was accepted, so that only windows
        # without a record are a reason to claim.
        if not due and not (self._holder.is_acting() and self._unsent()):
            return
        if not await self._holder.ensure():
            self._retry_at = self._clock.now() + RETRY_MS
            return
        # Claiming may have read what an earlier holder has decided.
        self._apply_record()
        due = self._due_windows()
        if due and not await self._decide(due):
            self._back_off()
            return
        is_all_sent = True
        for report in self._unsent():
            if not is_all_sent and self._tries_by_window[report.window]:
                break
            is_all_sent &= await self._send(report)
        if is_all_sent:
            self._retry_ms = RETRY_MS
        else:
            self._back_off()

    def _back_off(self):
        self._retry_at = self._clock.now() + self._retry_ms
        self._retry_ms = min(MAX_RETRY_MS, 2 * self._retry_ms)

    def _apply_record(self):
        """Take over what was decided, as the store has it."""
        value = self._holder.value_by_key.get(VALUE_KEY)
        if value == self._known_value:
            return
        self._known_value = value
        if value is None:
            return
        try:
            rows = json.loads(value)["windows"]
            found = {
                int(window): Report(
                    int(window), {str(n): int(c) for n, c in counts.items()}
                )
                for window, counts in rows
            }
        except records.DECODE_ERRORS as exc:
            self._first_undecided = self._windows.window()
            _log.error(
                "record of the reports is unreadable",
                next_window=self._first_undecided,
                why=repr(exc),
            )
            return
        self._report_by_window = found

    def _due_windows(self):
        """Return the windows to decide now, oldest first."""
        if self._report_by_window:
            # Also windows of which nothing is known here are reported.
            first = max(self._report_by_window) + 1
        else:
            first = self._ledger.first_window
        if first is None:
            return []
        first = max(
            first, self._first_undecided, self._windows.window(GIVE_UP_MS)
        )
        due = []
        for window in range(first, self._windows.window()):
            if not self._is_due(window):
                break
            due.append(window)
        return due

    def _is_due(self, window):
        since_end_ms = self._windows.since_end_ms(window)
        if since_end_ms < MIN_WAIT_MS:
            return False
        if since_end_ms >= MAX_WAIT_MS:
            return True
        return self._ledger.is_complete(window, self._live_ips())

    async def _decide(self, due):
        """Write the reports of windows; return whether they were written."""
        found = dict(self._report_by_window)
        for window in due:
            found[window] = Report(window, self._ledger.totals(window))
        newest = sorted(found)[-max(KEEP_DECIDED, len(due)) :]
        unsent = [report.window for report in self._unsent()]
        kept = sorted({*newest, *unsent})
        value = json.dumps(
            {"windows": [list(found[window]) for window in kept]},
            separators=(",", ":"),
        ).encode()
        try:
            is_written = await self._holder.write(
                VALUE_KEY, value, self._known_value
            )
        except errors.LogUnavailable as exc:
            _log.info("usage not decided yet", windows=due, why=exc.message)
            return False
        if not is_written:
            return False
        self._apply_record()
        ips = self._live_ips()
        for window in due:
            report = self._report_by_window[window]
            _log.info(
                "usage decided",
                window=window,
                requests=sum(report.count_by_customer.values()),
                customers=len(report.count_by_customer),
                complete=self._ledger.is_complete(window, ips),
                after_ms=self._windows.since_end_ms(window),
            )
        return True

    def _unsent(self):
        """Return the reports that are to be sent, the least tried first.

        A service that carries out calls without an answer would get no other
        window while the oldest one is repeated.
        """
        self._accepted &= self._report_by_window.keys()
        tries = self._tries_by_window
        for window in [w for w in tries if w not in self._report_by_window]:
            del tries[window]
        return [
            self._report_by_window[window]
            for window in sorted(
                self._report_by_window, key=lambda w: (tries[w], w)
            )
            if window not in self._accepted
            and self._windows.since_end_ms(window) < GIVE_UP_MS
        ]

    async def _send(self, report):
        """Send a report; return whether it needs no further try."""
        self._tries_by_window[report.window] += 1
        outcome = await self._client.send(
            duty_calls.usage_report(report.window, report.count_by_customer)
        )
        metrics.count("usage_reports", outcome=outcome.value)
        _log.info(
            "usage reported",
            window=report.window,
            outcome=outcome.value,
            after_ms=self._windows.since_end_ms(report.window),
        )
        if outcome in (
            duty_calls.Outcome.ACCEPTED,
            duty_calls.Outcome.REJECTED,
        ):
            self._accepted.add(report.window)
            return True
        return False
